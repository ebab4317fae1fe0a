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
const rejectUnexpectedCall = () => Promise.reject(new Error("unused"));

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

interface Scenario {
    readonly models: readonly string[];
    readonly fence: number;
    readonly checksFencing: boolean;
    readonly isListed: boolean;
    readonly canSend: boolean;
    readonly wanted: readonly string[];
    readonly holders: readonly string[];
    /** Fails every read of the weight store. */
    readonly hasStoreFailure: boolean;
    /** Raises the engine's fencing token on an order, as a later incarnation would. */
    readonly hasLaterIncarnation: boolean;
}

const defaultScenario: Scenario = {
    models: [],
    fence: 5,
    checksFencing: true,
    isListed: true,
    canSend: true,
    wanted: ["m"],
    holders: ["b"],
    hasStoreFailure: false,
    hasLaterIncarnation: false,
};

async function runScenario(
    scenario: Scenario,
): Promise<{ orders: string[]; reads: number; task: tasks.PlacementTask }> {
    const clock = new clocks.ManualClock(START_MS);
    const lease = new leases.OrderLease(clock);
    const models = new Set(scenario.models);
    const orders: string[] = [];
    let fence = scenario.fence;
    let reads = 0;
    const report = () => result.ok({ boot: "1", active: 0, models: [...models], fence, role: "generation" });
    const engine: ports.ModelEngine = {
        call: rejectUnexpectedCall,
        probe: rejectUnexpectedCall,
        stream: rejectUnexpectedCall,
        cacheEvents: rejectUnexpectedCall,
        exportCache: rejectUnexpectedCall,
        importCache: rejectUnexpectedCall,
        report: async () => report(),
        order: async order => {
            if (scenario.checksFencing && scenario.hasLaterIncarnation) {
                fence = order.fence + 1;
            }
            if (scenario.checksFencing && order.fence < fence) {
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
        return scenario.hasStoreFailure
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
        findLiveSlots: () => new Set(["a", "b"]),
        findHolders: () => scenario.holders,
        canSend: () => scenario.canSend,
        checksFencing: () => scenario.checksFencing,
        lease,
        policy: () => scenario.wanted,
        canUnload: (_inputs, _model, others) => others.length > 0,
    });
    task.start();
    for (let passedMs = 0; passedMs < 40_000; passedMs += 20) {
        lease.tick();
        if (scenario.isListed) {
            lease.confirmListed(clock.now());
        }
        clock.advance(20);
        await new Promise(setImmediate);
    }
    task.dispose();
    return { orders: orders.filter(order => !order.startsWith("role")), reads, task };
}

describe("PlacementTask", () => {
    const cases: [string, Partial<Scenario>, string[]][] = [
        ["loads a missing model", {}, [`load m ${START_MS}`]],
        ["uses a fencing token above the engine's", { fence: START_MS + 7 }, [`load m ${START_MS + 8}`]],
        ["loads under its lease on an engine that ignores fencing tokens", { checksFencing: false }, [
            `load m ${START_MS}`,
        ]],
        ["sends no orders when it isn't listed", { checksFencing: false, isListed: false }, []],
        ["sends no orders while `canSend` is false", { canSend: false }, []],
        ["sends no orders when its weight store reads fail", { hasStoreFailure: true }, []],
        ["unloads an unwanted model that another slot holds", { models: ["m"], wanted: [] }, [`unload m ${START_MS}`]],
        ["keeps the last replica", { models: ["m"], wanted: [], holders: [] }, []],
        ["stops when a later incarnation has sent an order", { hasLaterIncarnation: true }, []],
    ];
    it.each(cases)("%s", async (_name, overrides, expected) => {
        const scenario = { ...defaultScenario, ...overrides };
        const { orders, task } = await runScenario(scenario);
        expect(orders).toEqual(expected);
        expect(task.isSuperseded).toBe(scenario.hasLaterIncarnation);
    });

    const readCases: [string, Partial<Scenario>, number, number][] = [
        ["reads the weight store as often as the model requires", {}, 2, 2],
        ["waits for the retry time of the store after a failed read", { hasStoreFailure: true }, 5, 17],
        ["doesn't read when it isn't listed", { isListed: false }, 0, 0],
    ];
    it.each(readCases)("%s", async (_name, overrides, minReads, maxReads) => {
        const { reads } = await runScenario({ ...defaultScenario, ...overrides });
        expect(reads).toBeGreaterThanOrEqual(minReads);
        expect(reads).toBeLessThanOrEqual(maxReads);
    });
});
