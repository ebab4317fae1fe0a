import * as result from "true-myth/result";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as configurations from "../../common/Configuration";
import * as logs from "../../common/Log";
import * as ports from "../../common/Ports";
import * as leases from "./OrderLease";
import * as tasks from "./PlacementTask";

const { describe, expect, it } = vitest;
const START_MS = 1_000_000;
const unused = () => Promise.reject(new Error("unused"));

const configuration = configurations.configurationSchema.parse({
    version: 1,
    preset: "p",
    presets: { p: { retryRatio: 0, hedgeRatio: 0, shedBelowPriority: 0, modelShare: { m: 0.1 } } },
    failureDomains: { z: { region: "r" } },
    teams: {},
    services: {
        chat: {
            kind: "engine",
            operations: {},
            warmConcurrency: 1,
            coldConcurrency: 1,
            slots: { a: { failureDomain: "z" }, b: { failureDomain: "z" } },
        },
    },
    pipelines: {},
    models: { m: { weightReads: 2 } },
});

interface Scene {
    readonly models: readonly string[];
    readonly fence: number;
    readonly checks: boolean;
    readonly listed: boolean;
    readonly maySend: boolean;
    readonly wanted: readonly string[];
    readonly holders: readonly string[];
    /** Fails every read of the weight store. */
    readonly storeFails: boolean;
    /** Raises the engine's number after the first report, as a later incarnation would. */
    readonly outbid: boolean;
}

const usual: Scene = {
    models: [],
    fence: 5,
    checks: true,
    listed: true,
    maySend: true,
    wanted: ["m"],
    holders: ["b"],
    storeFails: false,
    outbid: false,
};

async function play(scene: Scene): Promise<{ orders: string[]; reads: number; task: tasks.PlacementTask }> {
    const clock = new clocks.ManualClock(START_MS);
    const lease = new leases.OrderLease(clock);
    const models = new Set(scene.models);
    const orders: string[] = [];
    let fence = scene.fence;
    let reads = 0;
    const report = () => result.ok({ boot: "1", active: 0, models: [...models], fence, role: "generation" });
    const engine: ports.ModelEngine = {
        call: unused,
        probe: unused,
        stream: unused,
        cacheEvents: unused,
        exportCache: unused,
        importCache: unused,
        report: async () => report(),
        order: async order => {
            if (scene.checks && scene.outbid) {
                fence = order.fence + 1;
            }
            if (scene.checks && order.fence < fence) {
                return result.err(codes.failure(codes.codes.orderRefused, "old"));
            }
            fence = order.fence;
            orders.push(`${order.action} ${order.subject} ${order.fence}`);
            if (order.action === "load") {
                models.add(order.subject);
            }
            else if (order.action === "unload") {
                models.delete(order.subject);
            }
            return report();
        },
    };
    const read = async () => {
        reads++;
        return scene.storeFails
            ? result.err(codes.failure(codes.codes.overloaded, "rate", 2_000))
            : result.ok(undefined);
    };
    const task = new tasks.PlacementTask({
        clock,
        random: () => 0.5,
        log: logs.silentLog,
        engine,
        weightStore: { read },
        service: "chat",
        slot: "a",
        incarnation: START_MS,
        configuration: () => configuration,
        live: () => new Set(["a", "b"]),
        holders: () => scene.holders,
        maySend: () => scene.maySend,
        checksFencing: () => scene.checks,
        lease,
        findWanted: () => scene.wanted,
        mayUnload: (_inputs, _model, others) => others.length > 0,
    });
    task.start();
    for (let passedMs = 0; passedMs < 40_000; passedMs += 20) {
        lease.tick();
        if (scene.listed) {
            lease.confirmListed(clock.now());
        }
        clock.advance(20);
        await new Promise(setImmediate);
    }
    task.dispose();
    return { orders: orders.filter(order => !order.startsWith("role")), reads, task };
}

describe("PlacementTask", () => {
    const cases: [string, Partial<Scene>, string[]][] = [
        ["loads what is missing", {}, [`load m ${START_MS}`]],
        ["goes above the engine's number", { fence: START_MS + 7 }, [`load m ${START_MS + 8}`]],
        ["loads on an engine that ignores numbers, under its lease", { checks: false }, [`load m ${START_MS}`]],
        ["orders nothing when it isn't listed", { checks: false, listed: false }, []],
        ["orders nothing while it may not send", { maySend: false }, []],
        ["orders nothing when its reads fail", { storeFails: true }, []],
        ["unloads what is held elsewhere", { models: ["m"], wanted: [] }, [`unload m ${START_MS}`]],
        ["keeps the last replica", { models: ["m"], wanted: [], holders: [] }, []],
        ["stops when a later incarnation orders", { outbid: true }, []],
    ];
    it.each(cases)("%s", async (_name, change, expected) => {
        const scene = { ...usual, ...change };
        const { orders, task } = await play(scene);
        expect(orders).toEqual(expected);
        expect(task.isStopped).toBe(scene.outbid);
    });

    const readCases: [string, Partial<Scene>, number, number][] = [
        ["takes as many reads as the model has", {}, 2, 2],
        ["waits as long as the store says after a failure", { storeFails: true }, 5, 17],
        ["takes none when it isn't listed", { listed: false }, 0, 0],
    ];
    it.each(readCases)("%s", async (_name, change, least, most) => {
        const { reads } = await play({ ...usual, ...change });
        expect(reads).toBeGreaterThanOrEqual(least);
        expect(reads).toBeLessThanOrEqual(most);
    });
});
