import * as result from "true-myth/result";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as readers from "./PublishedReader";
import * as views from "./PublishedView";

/** Time for which an instance serves on after its record was deleted. */
const DRAIN_MS = 2_000;
/** Time after which records that expired in an outage are back. */
const REGISTRATION_MS = 2_000;
const STEP_MS = 5;
const LENGTH_MS = 20_000;
const INSTANCE_KEY = "instance-1";

interface Span {
    readonly fromMs: number;
    readonly toMs: number;
}

/** What happens to the store. */
interface Scenario {
    /** When the watches that wait are cut, without an outage. */
    readonly cutsAtMs?: readonly number[];
    /** While each watch that would wait is cut; the store answers all other calls. */
    readonly unwatched?: Span;
    /** Each connection that was opened before turns silent; later ones are sound. */
    readonly silentAtMs?: number;
    /** While the store resets all calls. */
    readonly outage?: Span;
    readonly deletedAtMs: number;
}

const record: routing.RoutedInstance = {
    id: INSTANCE_KEY,
    startedMs: 1,
    service: "desk",
    softwareVersion: "v1",
    address: "10.0.0.1:80",
    failureDomain: "a",
    state: "ready",
    slots: 1,
    coldLeftMs: 0,
};

function isIn(atMs: number, span: Span | undefined): boolean {
    return span !== undefined && isBetween(atMs, span.fromMs, span.toMs);
}

function isBetween(atMs: number, fromMs: number, toMs: number): boolean {
    return atMs > fromMs && atMs <= toMs;
}

/** A store with one instance, which is deleted as the scenario says. */
class ScenarioStore implements routingPorts.PublishedStore {
    constructor(private readonly clock: clocks.Clock, private readonly scenario: Scenario) {}

    list(): ReturnType<routingPorts.PublishedStore["list"]> {
        const item = { key: INSTANCE_KEY, era: 0, revision: 1, content: Buffer.from("x") };
        return Promise.resolve(result.ok({ items: [item], era: 0, revision: 1, nextAfter: undefined }));
    }

    async watch(revision: number, waitMs: number): ReturnType<routingPorts.PublishedStore["watch"]> {
        const startMs = this.clock.now();
        const { cutsAtMs = [], silentAtMs = Infinity, deletedAtMs, outage, unwatched } = this.scenario;
        for (;;) {
            await clocks.sleep(this.clock, STEP_MS);
            const nowMs = this.clock.now();
            const hasEvents = nowMs >= deletedAtMs && revision < 2;
            const isCut = !hasEvents && isIn(nowMs, unwatched);
            if (isCut || isIn(nowMs, outage) || cutsAtMs.some(cutMs => isBetween(cutMs, startMs, nowMs))) {
                return result.err(codes.failure(codes.codes.upstreamReset, "test"));
            }
            if (isBetween(silentAtMs, startMs, nowMs)) {
                await clocks.sleep(this.clock, waitMs);
                return result.err(codes.failure(codes.codes.upstreamTimeout, "test"));
            }
            if (hasEvents) {
                const item = { key: INSTANCE_KEY, era: 0, revision: 2, content: undefined };
                return result.ok({ items: [item], era: 0, revision: 2, isHistoryLost: false });
            }
            if (nowMs - startMs >= waitMs) {
                return result.ok({ items: [], era: 0, revision, isHistoryLost: false });
            }
        }
    }

    async readPosition(): ReturnType<routingPorts.PublishedStore["readPosition"]> {
        await clocks.sleep(this.clock, STEP_MS);
        const nowMs = this.clock.now();
        return isIn(nowMs, this.scenario.outage)
            ? result.err(codes.failure(codes.codes.upstreamReset, "test"))
            : result.ok({ era: 0, revision: nowMs >= this.scenario.deletedAtMs ? 2 : 1 });
    }

    decode(): routing.PublishedRecord {
        return { kind: "instance", instance: record };
    }
}

/** The time at which a reader's view no longer has the instance. */
async function findRemovalMs(scenario: Scenario): Promise<number> {
    const clock = new clocks.ManualClock(0);
    const store = new ScenarioStore(clock, scenario);
    const view = new views.PublishedView({ clock, log: logs.silentLog, decode: () => store.decode() });
    const reader = new readers.PublishedReader({
        clock,
        log: logs.silentLog,
        store,
        view,
        random: () => 1,
        instance: "self",
        peerNames: () => ["other-1", "other-2", "other-3"],
    });
    reader.start();
    let removedMs = Infinity;
    while (clock.now() < LENGTH_MS && removedMs === Infinity) {
        clock.advance(STEP_MS);
        await new Promise(resolve => setImmediate(resolve));
        removedMs = view.position.revision > 0 && view.instances("desk").length === 0 ? clock.now() : Infinity;
    }
    reader.dispose();
    view.dispose();
    return removedMs;
}

vitest.describe("an instance whose record is deleted leaves the view before it stops serving", () => {
    // Guards against a failed call that is taken for an outage, after which the deletion waits for a new registration.
    vitest.it.each<Scenario & { readonly name: string }>([
        { name: "without a fault", deletedAtMs: 4_000 },
        { name: "just after the watch was cut", cutsAtMs: [4_000], deletedAtMs: 4_020 },
        { name: "at the time of the cut", cutsAtMs: [4_000], deletedAtMs: 4_000 },
        { name: "a second after the cut", cutsAtMs: [4_000], deletedAtMs: 5_000 },
        { name: "between two cuts", cutsAtMs: [4_000, 4_200], deletedAtMs: 4_190 },
        {
            name: "while watches are cut again and again",
            cutsAtMs: Array.from({ length: 40 }, (_, index) => 3_000 + index * 150),
            deletedAtMs: 4_020,
        },
        {
            name: "just after two watches in succession were cut",
            unwatched: { fromMs: 3_990, toMs: 4_010 },
            deletedAtMs: 4_030,
        },
        {
            name: "after each watch that waited was cut for long",
            unwatched: { fromMs: 3_000, toMs: 9_000 },
            deletedAtMs: 8_900,
        },
        { name: "while each is cut", unwatched: { fromMs: 3_000, toMs: 9_000 }, deletedAtMs: 3_040 },
        { name: "after the connection had turned silent and was given up", silentAtMs: 3_000, deletedAtMs: 5_020 },
    ])("$name", async scenario => {
        vitest.expect(await findRemovalMs(scenario) - scenario.deletedAtMs).toBeLessThan(DRAIN_MS);
    });
});

vitest.describe("an instance whose record expired in an outage stays in the view until it may be back", () => {
    vitest.it.each([
        { name: "a short one", toMs: 4_600 },
        { name: "a long one", toMs: 9_000 },
    ])("$name", async ({ toMs }) => {
        const removedMs = await findRemovalMs({ outage: { fromMs: 4_000, toMs }, deletedAtMs: toMs - 100 });
        vitest.expect(removedMs - toMs).toBeGreaterThanOrEqual(REGISTRATION_MS);
    });
});
