/**
 * Entries for routed calls and stand-ins of the platform in one process, for tests and the demo.
 */
import * as http from "node:http";
import * as platformCalls from "../../platform/PlatformCalls";
import * as platformStages from "../../platform/PlatformStages";
import * as platformStores from "../../platform/PlatformStore";
import * as clocks from "../../src/common/Clock";
import * as logs from "../../src/common/Log";
import * as processCounters from "../../src/process/metrics/ProcessCounters";
import * as routeEntries from "../../src/process/routing/RouteEntry";
import * as freePorts from "../FreePorts";
import * as engines from "./PlatformEngineStandIn";
import * as stores from "./PlatformStoreStandIn";

/** API key of the only team. */
export const TEAM_KEY = "key-of-gilders";
/** Headers of a call with a prompt. */
export const PROMPT_HEADERS = { Model: "m", "Token-Count": "1460,80", "Prefix-Hash": "5c:800,91:410,e4:250" };
/** Headers of a call with a prompt and pieces for two stages. */
export const STAGED_HEADERS = { ...PROMPT_HEADERS, Pieces: "2,3", "Piece-Key": "frame-7" };
const WAIT_POLL_MS = 10;
const WAIT_TIMEOUT_MS = 8_000;

/** An answer as received by a caller. */
export interface Answer {
    readonly status: number;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** Whether the body was received completely. */
    readonly isComplete: boolean;
}

/** A store, engines (by default of four services) and entries. */
export class RoutedFleet {
    readonly store = new stores.PlatformStoreStandIn();
    readonly engines: engines.PlatformEngineStandIn[] = [];
    readonly entries: routeEntries.RouteEntry[] = [];
    private readonly readyAddresses: string[] = [];
    private nextAttemptNumber = 1;

    /** Starts the store and the engines, and publishes configuration 1. */
    async start(engineOptions: readonly engines.EngineOptions[] = DEFAULT_ENGINES): Promise<void> {
        await this.store.listen();
        this.publish();
        for (const options of engineOptions) {
            await this.addEngine(options);
        }
    }

    /** Starts an engine and puts its record into the store. */
    async addEngine(options: engines.EngineOptions): Promise<void> {
        const engine = new engines.PlatformEngineStandIn(options);
        await engine.listen();
        this.engines.push(engine);
        const publish = (): void => this.store.put(`servers/${options.id}`, engine.createStoreRecord());
        engine.onRestart = publish;
        publish();
    }

    /** Publishes a configuration with `change` merged into its top level. */
    publish(version = 1, change: Record<string, unknown> = {}): void {
        this.store.put("op/config", { ...createConfiguration(version), ...change });
    }

    /** Starts an entry that reads the store at `storeAddress`, by default that of the fleet; its seeds are the other entries. */
    async addEntry(
        storeAddress = this.store.address,
        stopLimitSeconds = 8,
        seeds: readonly string[] = this.entries.map(other => other.peerAddress),
    ): Promise<routeEntries.RouteEntry> {
        const [peerPort, adminPort, readyPort] = await freePorts.findFreePorts(3);
        const name = `entry-${this.entries.length + 1}`;
        const entry = await routeEntries.RouteEntry.start({
            role: "route-entry",
            instance: name,
            failureDomain: "zone-a",
            region: "here",
            callerListen: "127.0.0.1:0",
            readyListen: `127.0.0.1:${readyPort}`,
            readyPath: "/ready",
            peerListen: `127.0.0.1:${peerPort}`,
            adminListen: `127.0.0.1:${adminPort}`,
            store: storeAddress,
            seeds: [...seeds],
            failureDomains: ["zone-a"],
            isFirstStart: true,
            logLevel: "silent",
            cores: 1,
            stopLimitSeconds,
            repeats: { windowSeconds: 10, ratio: 0.2, slack: 50 },
            coldRate: { factor: 1.5, extra: 5 },
            memoryMegabytes: 350,
            storeReadsPerSecond: 2_000,
        }, {
            clock: clocks.systemClock,
            log: logs.silentLog,
            random: Math.random,
            store: platformStores.createPlatformStore(storeAddress),
            callWire: platformCalls.platformCalls,
            stageWire: platformStages.platformStages,
            counters: processCounters.noCounters,
            lacksSeeds: () => false,
        });
        this.entries.push(entry);
        this.readyAddresses.push(`127.0.0.1:${readyPort}`);
        return entry;
    }

    /** Starts an entry and waits until it serves calls of a path; resolves to its index. */
    async addServingEntry(path = "/look/ready", headers: Record<string, string> = {}): Promise<number> {
        const entry = this.entries.length;
        await this.addEntry();
        await this.waitUntil(async () => (await this.call(path, { entry, headers })).status === 200);
        return entry;
    }

    /** Status with which an entry answers the load balancer's readiness check. */
    async readyStatus(index = 0): Promise<number> {
        return (await sendRequest(this.readyAddresses[index]!, "GET", "/ready", {}, undefined)).status;
    }

    /** What an entry's admin server reports. */
    async status(index: number): Promise<Record<string, unknown>> {
        const answer = await sendRequest(this.entries[index]!.adminAddress, "GET", "/status", {}, undefined);
        return JSON.parse(answer.body) as Record<string, unknown>;
    }

    enginesOf(service: string): engines.PlatformEngineStandIn[] {
        return this.engines.filter(engine => engine.options.service === service);
    }

    /** Changes the options of all engines of a service. */
    changeEngines(service: string, change: Partial<engines.EngineOptions>): void {
        for (const engine of this.enginesOf(service)) {
            engine.options = { ...engine.options, ...change };
        }
    }

    /** Sends a call to an entry. */
    call(
        path: string,
        options: {
            readonly entry?: number;
            readonly method?: string;
            readonly headers?: Record<string, string>;
            readonly body?: string;
            readonly signal?: AbortSignal;
        } = {},
    ): Promise<Answer> {
        const headers = {
            Host: "desk.example",
            "Attempt-Id": `attempt-${this.nextAttemptNumber++}`,
            "Deadline-Ms": "5000",
            Authorization: `Token ${TEAM_KEY}`,
            ...options.headers,
        };
        const address = this.entries[options.entry ?? 0]!.callerAddress;
        return sendRequest(address, options.method ?? "POST", path, headers, options.body, options.signal);
    }

    /** Waits until the condition holds; rejects after `WAIT_TIMEOUT_MS`. */
    async waitUntil(condition: () => boolean | Promise<boolean>): Promise<void> {
        const timeoutAtMs = clocks.systemClock.now() + WAIT_TIMEOUT_MS;
        while (!await condition()) {
            if (clocks.systemClock.now() > timeoutAtMs) {
                throw new Error("condition not met within 8 s");
            }
            await clocks.sleep(clocks.systemClock, WAIT_POLL_MS);
        }
    }

    dispose(): void {
        this.entries.forEach(entry => entry.dispose());
        this.engines.forEach(engine => engine.dispose());
        this.store.dispose();
    }
}

const DEFAULT_ENGINES: readonly engines.EngineOptions[] = [
    { id: "desk-1", service: "desk", failureDomain: "zone-a" },
    { id: "desk-2", service: "desk", failureDomain: "zone-b" },
    { id: "model-1", service: "model", failureDomain: "zone-a", events: 6 },
    { id: "model-2", service: "model", failureDomain: "zone-b", events: 6 },
    { id: "archive-1", service: "archive", failureDomain: "zone-a" },
    { id: "ledger-1", service: "ledger", failureDomain: "zone-b" },
];

/** Creates a configuration of all services, with an additional route of the name `extraRoute` if given. */
export function createConfiguration(version: number, extraRoute?: string): Record<string, unknown> {
    const route = { Host: "desk.example", TimeoutMs: 4_000, GoalMs: 1_500, Priority: 1, Public: false };
    const pieces = { Slots: 1, Queue: 2, Batch: 4, CallMs: 20, ItemMs: 2, RoomMb: 10, HandleS: 4, LinkMbps: 1_000 };
    const service = { HealthPath: "/health", MaxConns: 100, Protocol: "h1", Tls: false, ColdS: 0, ColdPerS: 0 };
    const stages = [
        { Service: "archive", After: [], Bytes: 1_000 },
        { Service: "ledger", After: [0], Bytes: 1_000 },
    ];
    const stream = { ...route, Kind: "streaming", Service: "model", Sticky: true, GapAimMs: 400 };
    return {
        Version: version,
        Routes: [
            { ...route, Name: "book", Prefix: "/book/", Kind: "non_idempotent", Service: "desk", Attempts: 1 },
            { ...route, Name: "look", Prefix: "/look/", Kind: "idempotent", Service: "desk", Attempts: 2 },
            {
                ...route,
                Name: "open",
                Prefix: "/open/",
                Kind: "idempotent",
                Service: "desk",
                Attempts: 2,
                Public: true,
            },
            ...(extraRoute === undefined ? [] : [{
                ...route,
                Name: extraRoute,
                Prefix: `/${extraRoute}/`,
                Kind: "idempotent",
                Service: "desk",
                Attempts: 2,
            }]),
            { ...stream, Name: "notes", Prefix: "/notes/", Attempts: 2, Resumable: true },
            { ...stream, Name: "lists", Prefix: "/lists/", Attempts: 3, Resumable: true },
            { ...stream, Name: "once", Prefix: "/once/", Attempts: 1, Resumable: false },
            { ...stream, Name: "staged", Prefix: "/staged/", Attempts: 1, Resumable: false, Stages: stages },
            { ...stream, Name: "drafts", Prefix: "/drafts/", Attempts: 2, Resumable: true, Stages: stages },
        ],
        Services: [
            { ...service, Name: "desk" },
            { ...service, Name: "model", Engine: { Slots: 8, KvTokens: 100_000 } },
            { ...service, Name: "archive", Pieces: pieces },
            { ...service, Name: "ledger", Pieces: pieces },
        ],
        Limits: { HeaderBytes: 4_096, MaxBodyBytes: 10_000, HeaderTimeoutMs: 3_000, IdleTimeoutMs: 15_000 },
        Tenants: [{ Name: "gilders", ApiKeys: [TEAM_KEY] }],
    };
}

/** Sends a request on a connection of its own; rejects if there is no answer. */
export function sendRequest(
    address: string,
    method: string,
    path: string,
    headers: Record<string, string>,
    body: string | undefined,
    signal?: AbortSignal,
): Promise<Answer> {
    return new Promise((resolve, reject) => {
        const [host, port] = address.split(":");
        const request = http.request({ host, port, method, path, headers, agent: false, signal }, response => {
            const chunks: Buffer[] = [];
            const finish = (): void =>
                resolve({
                    status: response.statusCode ?? 0,
                    headers: response.headers,
                    body: Buffer.concat(chunks).toString("utf8"),
                    isComplete: response.complete,
                });
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", finish);
            response.on("close", finish);
        });
        request.on("error", reject);
        request.end(body);
    });
}
