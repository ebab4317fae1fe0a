import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as views from "../published/PublishedView";
import * as fleetFixtures from "../shares/FleetFixture";
import * as holds from "./InstanceHolds";
import * as pools from "./InstancePool";
import * as traffic from "./InstanceTraffic";
import * as leavingInstances from "./LeavingInstances";

const HOLD_MS = 2_000;
/** The random spread is always the longest; with two entries, it is this. */
const SPREAD_MS = 20;
/** Longest spread of callers with so much time left. */
const CALLER_SPREAD_MS = 505;

interface Fixture {
    readonly clock: clocks.ManualClock;
    readonly view: views.PublishedView;
    readonly pool: pools.InstancePool;
    readonly lines: Record<string, unknown>[];
}

/** Decodes `incarnation state` as the instance with the key's name. */
function decode(item: routing.PublishedItem): routing.PublishedRecord {
    const [incarnation, state] = Buffer.from(item.content ?? []).toString().split(" ");
    const base = { service: "desk", softwareVersion: "v1", failureDomain: "zone", slots: 8, coldLeftMs: 0 };
    const identity = { id: item.key, startedMs: Number(incarnation), address: `10.0.0.1:${item.key}` };
    return { kind: "instance", instance: { ...base, ...identity, state: state === "ready" ? state : "draining" } };
}

function createFixture(): Fixture {
    const clock = new clocks.ManualClock();
    const lines: Record<string, unknown>[] = [];
    const log = logs.createLog("entry-1", "info", line => lines.push(JSON.parse(line) as Record<string, unknown>));
    const view = new views.PublishedView({ clock, log: logs.silentLog, decode });
    const pool = new pools.InstancePool({
        clock,
        log,
        random: () => 1,
        view,
        leaving: new leavingInstances.LeavingInstances(clock),
        failureDomain: "zone",
        fleet: fleetFixtures.knownFleet(["entry-1", "entry-2"]),
        coldRateLimit: () => ({ factor: 1, extra: 0 }),
    });
    const fixture = { clock, view, pool, lines };
    publish(fixture, 1, "a", "1 ready");
    publish(fixture, 2, "b", "1 ready");
    return fixture;
}

function publish(fixture: Fixture, revision: number, key: string, content: string | undefined): void {
    const encoded = content === undefined ? undefined : Buffer.from(content);
    const position = { era: 0, revision };
    fixture.view.apply({ items: [{ key, ...position, content: encoded }], ...position, isWhole: false }, "test");
}

function startHold({ pool, view }: Fixture, id: string, source: holds.HoldSource = "call"): void {
    const instance = view.find(id)!;
    pool.holds.start(instance.address, instance, HOLD_MS, source);
}

function pause({ pool, view }: Fixture, id: string): void {
    pool.trafficOf(view.find(id)!).begin(0, []).end("unreachable");
}

function usableIds({ pool }: Fixture): string[] {
    return pool.usableInstances("desk").map(instance => instance.id).sort();
}

vitest.describe("the usable instances", () => {
    const cases: readonly {
        readonly name: string;
        readonly change: (fixture: Fixture) => void;
        readonly usable: readonly string[];
        /** Time until an instance of the service may be used. */
        readonly holdMs: number;
    }[] = [
        { name: "are all without a hold", change: () => undefined, usable: ["a", "b"], holdMs: 0 },
        { name: "exclude one that holds off", change: fixture => startHold(fixture, "a"), usable: ["b"], holdMs: 0 },
        {
            name: "include a paused one if the other holds off",
            change: fixture => {
                startHold(fixture, "a");
                pause(fixture, "b");
            },
            usable: ["b"],
            holdMs: 0,
        },
        {
            name: "are none if all hold off, paused or not",
            change: fixture => {
                startHold(fixture, "a");
                fixture.clock.advance(500);
                startHold(fixture, "b");
                pause(fixture, "b");
            },
            usable: [],
            holdMs: HOLD_MS + SPREAD_MS - 500,
        },
        {
            name: "exclude one until the spread after its hold has passed",
            change: fixture => {
                startHold(fixture, "a");
                fixture.clock.advance(HOLD_MS + SPREAD_MS - 1);
            },
            usable: ["b"],
            holdMs: 0,
        },
        {
            name: "include one again after that",
            change: fixture => {
                startHold(fixture, "a");
                fixture.clock.advance(HOLD_MS + SPREAD_MS);
            },
            usable: ["a", "b"],
            holdMs: 0,
        },
        {
            name: "include the next incarnation of one that held off",
            change: fixture => {
                startHold(fixture, "a");
                publish(fixture, 3, "a", "2 ready");
            },
            usable: ["a", "b"],
            holdMs: 0,
        },
        {
            name: "exclude one that was removed from the store in the meantime",
            change: fixture => {
                startHold(fixture, "a");
                publish(fixture, 3, "a", undefined);
                publish(fixture, 4, "a", "1 ready");
            },
            usable: ["b"],
            holdMs: 0,
        },
        {
            name: "aren't waited for if they leave",
            change: fixture => {
                startHold(fixture, "a");
                publish(fixture, 3, "a", "1 draining");
                publish(fixture, 4, "b", undefined);
            },
            usable: [],
            holdMs: 0,
        },
    ];
    vitest.it.each(cases)("$name", ({ change, usable, holdMs }) => {
        const fixture = createFixture();
        change(fixture);
        const { holds: instanceHolds } = fixture.pool;
        vitest.expect(usableIds(fixture)).toEqual(usable);
        vitest.expect(instanceHolds.serviceHoldMs("desk")).toBe(holdMs);
        const delayMs = instanceHolds.callerRetryAfterMs("desk");
        vitest.expect(delayMs === undefined).toBe(holdMs === 0);
        vitest.expect(delayMs ?? 0).toBeLessThanOrEqual(holdMs + CALLER_SPREAD_MS);
    });
});

vitest.describe("an address", () => {
    const cases: readonly {
        readonly name: string;
        readonly change: (fixture: Fixture) => void;
        readonly holdMs: number;
    }[] = [
        { name: "isn't held without a hold", change: () => undefined, holdMs: 0 },
        {
            name: "is held with the instance there",
            change: fixture => startHold(fixture, "a"),
            holdMs: HOLD_MS + SPREAD_MS,
        },
        {
            name: "stays held when the instance there isn't listed any more",
            change: fixture => {
                startHold(fixture, "a");
                publish(fixture, 3, "a", undefined);
            },
            holdMs: HOLD_MS + SPREAD_MS,
        },
        {
            name: "isn't held for the next incarnation there",
            change: fixture => {
                startHold(fixture, "a");
                publish(fixture, 3, "a", "2 ready");
            },
            holdMs: 0,
        },
        {
            name: "is held by an instance that isn't listed",
            change: fixture => {
                publish(fixture, 3, "a", undefined);
                fixture.pool.holds.start("10.0.0.1:a", undefined, HOLD_MS, "release");
            },
            holdMs: HOLD_MS + SPREAD_MS,
        },
    ];
    vitest.it.each(cases)("$name", ({ change, holdMs }) => {
        const fixture = createFixture();
        change(fixture);
        vitest.expect(fixture.pool.holds.remainingMsAt("10.0.0.1:a")).toBe(holdMs);
    });
});

vitest.it.each([
    { name: "a rejection without a hold", holdMs: undefined, isPaused: true },
    { name: "a rejection with a short hold", holdMs: 5, isPaused: true },
    { name: "a rejection with a hold as long as a pause", holdMs: 500, isPaused: false },
])("$name counts as evidence for a pause: $isPaused", ({ holdMs, isPaused }) => {
    const { pool, view } = createFixture();
    const counts = pool.trafficOf(view.find("a")!);
    for (let count = 0; count < 10; count++) {
        counts.begin(0, []).end(traffic.rejectionOutcome(holdMs));
    }
    vitest.expect(counts.isPaused).toBe(isPaused);
});

vitest.it("each hold is logged and counted", () => {
    const fixture = createFixture();
    startHold(fixture, "a", "stage-call");
    vitest.expect(fixture.lines).toMatchObject([{
        decision: "instance-hold",
        instance: "a",
        address: "10.0.0.1:a",
        source: "stage-call",
        statedMs: HOLD_MS,
        heldForMs: HOLD_MS + SPREAD_MS,
    }]);
    vitest.expect(fixture.pool.holds).toMatchObject({ heldCount: 1, count: 1 });
    fixture.clock.advance(HOLD_MS + SPREAD_MS);
    vitest.expect(fixture.pool.holds.heldCount).toBe(0);
});
