/**
 * Replays a burst that holds have to handle: calls at 1.5 times the capacity of a service reach several entries for four
 * seconds, and its instances reject what they can't queue, one after the other, with a time for which they want nothing
 * more from that entry.
 */
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as randoms from "../../common/Random";
import * as routing from "../../common/Routing";
import * as views from "../published/PublishedView";
import * as fleetFixtures from "../shares/FleetFixture";
import * as pools from "./InstancePool";
import * as leavingInstances from "./LeavingInstances";
import * as budgets from "./ServiceRetryBudget";

const ENTRIES = ["entry-1", "entry-2", "entry-3"];
const INSTANCES = ["a", "b", "c", "d"];
const SLOTS = 8;
const QUEUE = 4;
const CALL_MS = 200;
const HOLD_MS = 1_000;
const MAX_SENDS = 5;
/** Time that a caller waits for its call, over all its attempts. */
const PATIENCE_MS = 4_000;
/** Retry delay of a caller that is rejected for another reason than a hold. */
const RETRY_AFTER_MS = 300;
const BURST_END_MS = 4_000;
const END_MS = 10_000;
/** Four instances with eight slots do 160 calls a second. */
const callsPerSecond = (atMs: number): number => atMs < BURST_END_MS ? 240 : 80;

interface Result {
    served: number;
    /** Arrivals at instances, which reject the calls. */
    rejected: number;
    /** Arrivals from entries in the time for which the instance wanted nothing from them. */
    unwanted: number;
    /** Most arrivals at one instance within 20 ms, the time over which three entries may return. */
    peak: number;
}

interface Caller {
    atMs: number;
    readonly giveUpAtMs: number;
    readonly entry: number;
}

class Instance {
    readonly endTimesMs: number[] = [];
    readonly unwantedUntilMs = new Map<string, number>();
    readonly arrivals: number[] = [];

    /** When an arriving call is done; undefined if it is rejected. */
    accept(nowMs: number): number | undefined {
        const open = this.endTimesMs.filter(endMs => endMs > nowMs).sort((a, b) => a - b);
        if (open.length >= SLOTS + QUEUE) {
            return undefined;
        }
        const startMs = open.length < SLOTS ? nowMs : open[open.length - SLOTS]!;
        this.endTimesMs.push(startMs + CALL_MS);
        return startMs + CALL_MS;
    }
}

function decode(item: routing.PublishedItem): routing.PublishedRecord {
    const id = item.key;
    const base = {
        service: "desk",
        softwareVersion: "v1",
        failureDomain: "a",
        state: "ready",
        startedMs: 1,
        coldLeftMs: 0,
    } as const;
    return { kind: "instance", instance: { ...base, id, address: `10.0.0.1:${id}`, slots: SLOTS } };
}

function createPool(clock: clocks.Clock, random: () => number, self: string): pools.InstancePool {
    const view = new views.PublishedView({ clock, log: logs.silentLog, decode });
    const items = INSTANCES.map((key, index) => ({ key, era: 0, revision: index + 1, content: new Uint8Array() }));
    view.apply({ items, era: 0, revision: items.length, isWhole: true }, "test");
    return new pools.InstancePool({
        clock,
        log: logs.silentLog,
        random,
        view,
        leaving: new leavingInstances.LeavingInstances(clock),
        failureDomain: "a",
        fleet: fleetFixtures.knownFleet(ENTRIES, self),
        coldRateLimit: () => ({ factor: 1, extra: 0 }),
    });
}

function replay(isHeeded: boolean): Result {
    const clock = new clocks.ManualClock();
    const random = randoms.createRandom(5);
    const instances = new Map(INSTANCES.map(id => [id, new Instance()] as const));
    const bound = { windowMs: 10_000, ratio: 0.2, slack: 50 };
    const entries = ENTRIES.map(name => ({
        pool: createPool(clock, random, name),
        budget: new budgets.ServiceRetryBudget(clock, "desk", () => bound, fleetFixtures.knownFleet(ENTRIES, name)),
    }));
    const result: Result = { served: 0, rejected: 0, unwanted: 0, peak: 0 };
    const callers: Caller[] = [];
    for (let atMs = 0; atMs < END_MS - PATIENCE_MS; atMs -= Math.log(1 - random()) * 1_000 / callsPerSecond(atMs)) {
        callers.push({ atMs, giveUpAtMs: atMs + PATIENCE_MS, entry: Math.floor(random() * ENTRIES.length) });
    }

    /** Sends one call until an instance accepts it; the retry delay if none does. */
    function runCall(caller: Caller): number | undefined {
        const { pool, budget } = entries[caller.entry]!;
        const triedIncarnations = new Set<string>();
        for (let sends = 0; sends < MAX_SENDS; sends++) {
            const chosen = pool.choose({
                service: "desk",
                promptTokens: 0,
                promptParts: [],
                inputBytesByDomain: new Map(),
                triedIncarnations,
                softwareVersion: undefined,
            });
            if (chosen === undefined) {
                return pool.holds.callerRetryAfterMs("desk") ?? RETRY_AFTER_MS;
            }
            if (sends === 0) {
                budget.countFirstCall();
            }
            else if (!budget.trySpend()) {
                return RETRY_AFTER_MS;
            }
            triedIncarnations.add(routing.incarnationKey(chosen.instance));
            const instance = instances.get(chosen.instance.id)!;
            const name = ENTRIES[caller.entry]!;
            const nowMs = clock.now();
            instance.arrivals.push(nowMs);
            result.unwanted += nowMs < (instance.unwantedUntilMs.get(name) ?? 0) ? 1 : 0;
            const ticket = chosen.traffic.begin(0, []);
            const endMs = instance.accept(nowMs);
            if (endMs !== undefined) {
                clock.schedule(endMs - nowMs, () => ticket.end("ok"));
                result.served++;
                return undefined;
            }
            result.rejected++;
            instance.unwantedUntilMs.set(name, nowMs + HOLD_MS);
            ticket.end("refused");
            if (isHeeded) {
                pool.holds.start(chosen.instance.address, chosen.instance, HOLD_MS, "call");
            }
        }
        return RETRY_AFTER_MS;
    }

    for (let nowMs = 0; nowMs < END_MS; nowMs++) {
        clock.advance(1);
        for (const caller of callers.filter(({ atMs }) => atMs >= nowMs && atMs < nowMs + 1)) {
            const retryAfterMs = runCall(caller);
            const returnAtMs = caller.atMs + (retryAfterMs ?? Infinity);
            if (returnAtMs < caller.giveUpAtMs) {
                callers.push({ ...caller, atMs: returnAtMs });
            }
        }
    }
    for (const { arrivals } of instances.values()) {
        const counts = arrivals.map(atMs => arrivals.filter(other => other >= atMs && other < atMs + 20).length);
        result.peak = Math.max(result.peak, ...counts);
    }
    return result;
}

vitest.describe("a burst on instances that ask for holds one after the other", () => {
    const heeded = replay(true);
    const ignored = replay(false);

    vitest.it("sends nothing that isn't wanted", () => {
        vitest.expect(ignored.unwanted).toBeGreaterThan(100);
        vitest.expect(heeded.unwanted).toBe(0);
    });

    vitest.it("causes a fifth of the rejections at most", () => {
        vitest.expect(heeded.rejected).toBeLessThan(ignored.rejected / 5);
    });

    vitest.it("serves as many callers, but for one hold of each instance in the six seconds", () => {
        vitest.expect(heeded.served).toBeGreaterThan(ignored.served * 5 / 6);
    });

    vitest.it("floods no instance, neither the next one nor after the hold", () => {
        vitest.expect(heeded.peak).toBeLessThanOrEqual(SLOTS + QUEUE);
    });
});
