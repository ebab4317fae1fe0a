/**
 * Memory that a process uses for each element of its data structures.
 */
import * as net from "node:net";
import * as clocks from "../src/common/Clock";
import * as logs from "../src/common/Log";
import * as messages from "../src/common/Messages";
import * as peerConnections from "../src/connection/PeerConnection";
import * as prefixes from "../src/process/choice/PrefixHolders";
import * as stageHistories from "../src/process/choice/StageHistory";
import * as replicas from "../src/process/configuration/ConfigurationReplica";
import * as deltaLogs from "../src/process/configuration/DeltaLog";
import * as attemptMemories from "../src/process/keys/AttemptMemory";
import * as ledgers from "../src/process/keys/Ledger";
import * as memberships from "../src/process/membership/Membership";
import * as slopes from "./Slope";
import * as samples from "./SlopeSamples";

const CONNECTION_COUNTS = [100, 300, 900];
const SETTLE_MS = 300;
const ENTRY_COUNTS = [1_000, 5_000, 20_000];
const SLOT_COUNTS = [120, 1_200, 6_000, 12_000];
const ROW_COUNTS = [130, 1_300, 12_900];
const KEY_LIFETIME_MS = 600_000;
const clock = clocks.systemClock;

/** Creates a body of about 200 bytes. */
function createBody(index: number): unknown {
    return { operation: "book", input: { text: `${index} ${"x".repeat(150)}` }, sequence: index };
}

function fillLedger(count: number): ledgers.Ledger {
    const manualClock = new clocks.ManualClock();
    const lifetimeMs = (): number => KEY_LIFETIME_MS;
    const ledger = new ledgers.Ledger({
        clock: manualClock,
        capacity: count,
        lifetimeMs,
        startedWallMs: manualClock.wall(),
    });
    // Keys without a creation time are accepted only after a key lifetime has passed since the start.
    manualClock.skip(2 * KEY_LIFETIME_MS);
    for (let index = 0; index < count; index++) {
        const identity = { team: "team-1", service: "bookings", operation: "book", key: `key-${1e9 + index}` };
        const decision = ledger.begin(identity, "x".repeat(42) + index % 10);
        if (decision.kind === "run") {
            decision.run.settle({ code: 1_000, body: createBody(index) });
        }
    }
    return ledger;
}

function fillAttempts(count: number): attemptMemories.AttemptMemory {
    const memory = new attemptMemories.AttemptMemory({ clock, capacity: count });
    memory.dispose();
    for (let index = 0; index < count; index++) {
        const id = { request: `00000000-0000-4000-8000-${1e11 + index}`, stage: "book", attempt: 0 };
        memory.begin(id);
        memory.finish(id, { ...samples.createAnswer(0), body: createBody(index) });
    }
    return memory;
}

function fillPrefixes(count: number): prefixes.PrefixHolders {
    const holders = new prefixes.PrefixHolders(clock);
    for (let index = 0; index < count; index++) {
        holders.record(index.toString(16).padStart(40, "0"), `engine-${index % 32}`, true);
    }
    return holders;
}

function fillHistory(stages: number): stageHistories.StageHistory {
    const history = new stageHistories.StageHistory({ clock });
    for (let index = 0; index < stages; index++) {
        for (let sample = 1; sample <= 100; sample++) {
            history.record("pipeline-1", `stage-${index}`, sample * 37);
        }
    }
    return history;
}

function fillMembership(rows: number): memberships.Membership {
    const options = { clock, self: "self", failureDomain: "domain-1", region: "region-1" };
    const membership = new memberships.Membership(options);
    membership.updateList(
        JSON.parse(JSON.stringify(samples.createRows(rows))) as ReturnType<typeof samples.createRows>,
    );
    membership.agents("service-1");
    membership.peers(4);
    return membership;
}

function fillReplica(slots: number): replicas.ConfigurationReplica {
    const replica = new replicas.ConfigurationReplica({ clock, log: logs.silentLog });
    replica.offer(JSON.parse(JSON.stringify(samples.createConfiguration(1, slots))), "bench");
    return replica;
}

function fillDeltaLog(count: number): deltaLogs.DeltaLog {
    const log = new deltaLogs.DeltaLog();
    for (let index = 0; index < count; index++) {
        const path = ["services", "service-1", "slots", `engine-1-${index}`, "state"];
        log.add(index + 1, [{ path, value: "out" }, { path: ["version"], value: index + 2 }], 1_000_000);
    }
    return log;
}

function createContext(): peerConnections.PeerContext {
    const hello: messages.Hello = {
        kind: "hello",
        protocol: 1,
        role: "agent",
        instance: "agent-1",
        failureDomain: "domain-1",
        incarnation: 1,
    };
    return { clock, hello: () => hello, version: () => 1, heartbeat: () => samples.createHeartbeat(4) };
}

/** Measures connections with both ends in this process; each end counts as one connection. */
async function measureConnections(count: number): Promise<number> {
    const accepted: Promise<unknown>[] = [];
    const connections: clocks.Disposable[] = [];
    const context = createContext();
    const server = net.createServer(socket => {
        accepted.push(
            peerConnections.PeerConnection.accept(socket, context).then(result =>
                result.map(connection => connections.push(connection))
            ),
        );
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
    await clocks.sleep(clock, SETTLE_MS);
    const bytesBefore = slopes.readLiveBytes();
    for (let index = 0; index < count; index++) {
        const result = await peerConnections.PeerConnection.open(address, context);
        result.map(connection => connections.push(connection));
    }
    await Promise.all(accepted);
    const bytes = (slopes.readLiveBytes() - bytesBefore) / connections.length * count;
    connections.forEach(connection => connection.dispose());
    server.close();
    return bytes;
}

export async function measureAll(): Promise<slopes.Slope[]> {
    const createSlopeOfBytes = slopes.createSlopesIn("B");
    const createSlope = (
        symbol: string,
        quantity: string,
        per: string,
        sizes: number[],
        fill: (size: number) => unknown,
    ) => {
        fill(sizes[0]!);
        return createSlopeOfBytes(symbol, quantity, per, sizes, size => slopes.measureBytes(() => fill(size)));
    };
    const connections: { size: number; value: number }[] = [];
    await measureConnections(CONNECTION_COUNTS[0]!);
    for (const size of CONNECTION_COUNTS) {
        connections.push({ size, value: await measureConnections(size) });
    }
    return [
        { symbol: "m_peer", quantity: "peer connections", unit: "B", per: "connection", points: connections },
        createSlope("m_ledger", "ledger, answers of 200 B", "entry", ENTRY_COUNTS, fillLedger),
        createSlope("m_attempt", "attempt memory, answers of 200 B", "entry", ENTRY_COUNTS, fillAttempts),
        createSlope("m_prefix", "prefix holders", "prefix", ENTRY_COUNTS, fillPrefixes),
        createSlope("m_stage", "stage history", "stage", [10, 30, 60], fillHistory),
        createSlope("m_row", "membership", "listed instance", ROW_COUNTS, fillMembership),
        createSlope("m_config", "configuration in force", "slot", SLOT_COUNTS, fillReplica),
        createSlope("m_delta", "delta log, one edit a version", "version kept", [64, 128, 256], fillDeltaLog),
    ];
}
