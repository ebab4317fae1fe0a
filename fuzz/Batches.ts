/**
 * Batches of odd inputs, one kind for each thing that a process reads.
 */
import * as net from "node:net";
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as routedFleets from "../standins/platform/RoutedFleet";
import * as clientInputs from "./ClientInputs";
import * as fuzzFleets from "./FuzzFleet";
import * as halfAnswers from "./HalfAnswers";
import * as mutations from "./Mutation";
import * as oddConnections from "./OddConnection";
import * as peerInputs from "./PeerInputs";
import * as repetitions from "./Repetitions";
import * as storeInputs from "./StoreInputs";

/** Sends one batch; resolves to the number of inputs. */
type Batch = (fleet: fuzzFleets.FuzzFleet, random: randoms.Random) => Promise<number>;

const CLIENTS = 80;
const PEERS = 60;
const IDLE_CONNECTIONS = 400;
const ODD_CALLS = 48;
const PARALLEL_CALLS = 8;
const STORE_ROUNDS = 12;
const SETTINGS_ROUNDS = 15;
const SIGNALS = 40;
const OUTPUT_CALLS = 40;
const REPETITION_ROUNDS = 3;
const HALF_CALLS = 240;
const HALF_PATHS = ["/oddplain/1", "/oddonce/1", "/oddstream/1"];
/** Share of the rounds with a configuration of this many wrong routes. */
const LARGE_SHARE = 0.1;
const LARGE_ROUTES = 2_000_000;
const ROUND_MS = 150;
const CALL_TIMEOUT_MS = 20_000;
/** Signals that don't end a program by default, or that the program handles. */
const HARMLESS_SIGNALS = ["SIGHUP", "SIGHUP", "SIGCONT", "SIGWINCH", "SIGPIPE", "SIGURG"] as const;
const STAGED_HEADERS = { ...routedFleets.STAGED_HEADERS, "Deadline-Ms": "1500" };

/** All kinds of batches, in the order of the first round of a run. */
export const BATCHES = {
    clients: sendClients,
    engines: callOddEngines,
    peers: sendPeers,
    store: readOddStore,
    records: publishOddValues,
    settings: writeOddSettings,
    signals: sendSignals,
    connections: openManyConnections,
    output: holdOutput,
    repetition: sendRepetitions,
    "half-answers": callHalfEngines,
} satisfies Record<string, Batch>;

/** The kind of a batch. */
export type BatchKind = keyof typeof BATCHES;

async function sendClients(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    const { target } = fleet;
    const byName = { callers: target.callerAddress, ready: target.readyAddress, admin: target.adminAddress };
    const inputs = Array.from({ length: CLIENTS }, () => clientInputs.createClientInput(random));
    const sockets = await Promise.all(
        inputs.map(input => oddConnections.sendParts(byName[input.address], input)),
    );
    await clocks.sleep(clocks.systemClock, ROUND_MS);
    sockets.forEach(socket => socket.destroy());
    return inputs.length;
}

async function callOddEngines(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    await fleet.addOddEngines(random);
    await clocks.sleep(clocks.systemClock, ROUND_MS);
    let nextCall = 0;
    await Promise.all(Array.from({ length: PARALLEL_CALLS }, async () => {
        while (nextCall < ODD_CALLS) {
            const path = fuzzFleets.ODD_PATHS[nextCall++ % fuzzFleets.ODD_PATHS.length]!;
            await call(fleet.target.callerAddress, path, STAGED_HEADERS);
        }
    }));
    fleet.removeOddEngines();
    return ODD_CALLS;
}

async function sendPeers(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    const inputs = Array.from({ length: PEERS }, () => peerInputs.createPeerInput(random));
    const sockets: net.Socket[] = [];
    for (const input of inputs) {
        sockets.push(await oddConnections.sendParts(fleet.target.peerAddress, input));
    }
    await clocks.sleep(clocks.systemClock, ROUND_MS);
    sockets.forEach(socket => socket.destroy());
    return inputs.length;
}

async function readOddStore(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    fleet.setStoreOdd(random);
    for (let round = 0; round < STORE_ROUNDS; round++) {
        fleet.publishSound(); // Ends a watch.
        await clocks.sleep(clocks.systemClock, ROUND_MS);
    }
    fleet.setStoreOdd(undefined);
    fleet.restoreStore();
    return STORE_ROUNDS;
}

async function publishOddValues(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    for (let round = 0; round < STORE_ROUNDS; round++) {
        fleet.store.put("op/config", storeInputs.createConfiguration(random, fleet.createConfiguration()));
        fleet.store.put(`servers/changed-${round}`, storeInputs.createRecord(random, fleet.createRecord(round)));
        if (random() < LARGE_SHARE) {
            const Routes = new Array<number>(LARGE_ROUTES).fill(1);
            fleet.store.put("op/config", { ...fleet.createConfiguration(), Routes });
        }
        fleet.store.put("op/evacuate/zone-x", mutations.createOddValue(random));
        await clocks.sleep(clocks.systemClock, ROUND_MS);
        await Promise.all(
            fuzzFleets.SOUND_CALLS.map(({ path, headers }) =>
                call(fleet.target.callerAddress, path, { ...headers, "Deadline-Ms": "1000" })
            ),
        );
    }
    for (let round = 0; round < STORE_ROUNDS; round++) {
        fleet.store.delete(`servers/changed-${round}`);
    }
    fleet.store.delete("op/evacuate/zone-x");
    fleet.publishSound();
    return 2 * STORE_ROUNDS;
}

async function writeOddSettings(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    const sound = JSON.stringify(fleet.target.settings);
    for (let round = 0; round < SETTINGS_ROUNDS; round++) {
        const changed = random() < 0.7
            ? JSON.stringify(mutations.mutateDocument(random, fleet.target.settings)) ?? ""
            : mutations.mutateBytes(random, Buffer.from(sound));
        fleet.target.writeSettings(changed);
        await clocks.sleep(clocks.systemClock, ROUND_MS);
    }
    fleet.target.writeSettings(sound);
    return SETTINGS_ROUNDS;
}

async function sendSignals(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    for (let count = 0; count < SIGNALS; count++) {
        const entry = mutations.pick(random, fleet.entries);
        if (entry.isAlive) {
            process.kill(entry.pid, mutations.pick(random, HARMLESS_SIGNALS));
        }
        await clocks.sleep(clocks.systemClock, random() < 0.5 ? 0 : 10);
    }
    return SIGNALS;
}

/** Many connections that send nothing, or only part of what they should. */
async function openManyConnections(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    const { target } = fleet;
    const addresses = [target.callerAddress, target.peerAddress, target.readyAddress, target.adminAddress];
    const sockets = Array.from({ length: IDLE_CONNECTIONS }, () => {
        const socket = oddConnections.openConnection(mutations.pick(random, addresses));
        socket.write(mutations.pick(random, ["", "GET /look/1 HTTP/1.1\r\nHost: desk.example\r\n", "\u0000\u0000"]));
        return socket;
    });
    await clocks.sleep(clocks.systemClock, ROUND_MS);
    sockets.forEach(socket => mutations.pick(random, [true, false]) ? socket.resetAndDestroy() : socket.destroy());
    return sockets.length;
}

/** Leaves the standard output unread while calls are served, and reads it again. */
async function holdOutput(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    const output = fleet.target.process.output;
    output?.pause();
    for (let count = 0; count < OUTPUT_CALLS; count++) {
        const { path, headers } = mutations.pick(random, fuzzFleets.SOUND_CALLS);
        await call(fleet.target.callerAddress, path, headers);
    }
    output?.resume();
    return OUTPUT_CALLS;
}

/** Has peers send units without an end while sound calls are made. */
async function sendRepetitions(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    for (let round = 0; round < REPETITION_ROUNDS; round++) {
        await repetitions.sendRepetition(fleet, random);
    }
    return REPETITION_ROUNDS;
}

/** Calls engines that break off their answers, and checks that no caller gets a part as the whole. */
async function callHalfEngines(fleet: fuzzFleets.FuzzFleet, random: randoms.Random): Promise<number> {
    const answers = new halfAnswers.HalfAnswers(random);
    await fleet.addOddEngines(random, question => answers.create(question));
    await clocks.sleep(clocks.systemClock, ROUND_MS);
    let nextCall = 0;
    await Promise.all(Array.from({ length: PARALLEL_CALLS }, async () => {
        while (nextCall < HALF_CALLS) {
            const path = HALF_PATHS[nextCall++ % HALF_PATHS.length]!;
            const attempt = `half-${nextCall}`;
            const answer = await request(fleet.target.callerAddress, path, { "Attempt-Id": attempt });
            const isWhole = answer !== "hung" && answer?.status === 200 && answer.isComplete;
            if (isWhole && !answers.mayBeWhole(attempt, answer.body)) {
                const detail = `${path}, ${answer.body.length} bytes`;
                fleet.findings.push({ check: "no part of an answer is given as the whole", detail });
            }
        }
    }));
    fleet.removeOddEngines();
    return HALF_CALLS;
}

/** Sends a call; resolves to its status, to 0 without an answer, and to `hung` if it doesn't end. */
export async function call(address: string, path: string, headers: Record<string, string>): Promise<number | "hung"> {
    const answer = await request(address, path, headers);
    return answer === "hung" ? "hung" : answer?.isComplete === true ? answer.status : 0;
}

/** Sends a call; resolves to its answer, to undefined without one, and to `hung` if it doesn't end. */
async function request(
    address: string,
    path: string,
    headers: Record<string, string>,
): Promise<routedFleets.Answer | "hung" | undefined> {
    const signal = AbortSignal.timeout(CALL_TIMEOUT_MS);
    const callHeaders = {
        Host: "desk.example",
        "Attempt-Id": `sound-${process.pid}-${nextAttempt++}`,
        "Deadline-Ms": "5000",
        Authorization: `Token ${routedFleets.TEAM_KEY}`,
        ...headers,
    };
    try {
        return await routedFleets.sendRequest(address, "POST", path, callHeaders, "body", signal);
    }
    catch {
        return signal.aborted ? "hung" : undefined; // The process refused or reset the connection, which the checks judge.
    }
}

let nextAttempt = 1;
