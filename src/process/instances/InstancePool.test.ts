import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as views from "../published/PublishedView";
import * as fleetFixtures from "../shares/FleetFixture";
import * as pools from "./InstancePool";
import * as leavingInstances from "./LeavingInstances";

const SHARED_PROMPT = [{ id: "shared", tokens: 900 }, { id: "own", tokens: 100 }];

function createInstance(id: string, overrides: Partial<routing.RoutedInstance> = {}): routing.RoutedInstance {
    const place = { service: "desk", softwareVersion: "v1", address: "10.0.0.1:80", failureDomain: "a" };
    return { id, startedMs: 1, ...place, state: "ready", slots: 8, coldLeftMs: 0, ...overrides };
}

/** A pool whose store lists these instances at revision 1. */
function createScenario(instances: readonly routing.RoutedInstance[]) {
    const clock = new clocks.ManualClock();
    const decode = (item: routing.PublishedItem): routing.PublishedRecord => ({
        kind: "instance",
        instance: JSON.parse(Buffer.from(item.content!).toString()) as routing.RoutedInstance,
    });
    const view = new views.PublishedView({ clock, log: logs.silentLog, decode });
    const leaving = new leavingInstances.LeavingInstances(clock);
    const pool = new pools.InstancePool({
        clock,
        log: logs.silentLog,
        random: () => 0,
        view,
        leaving,
        failureDomain: "a",
        fleet: fleetFixtures.knownFleet(["entry-1"]),
        coldRateLimit: () => ({ factor: 1, extra: 0 }),
    });
    const publish = (revision: number, published: readonly routing.RoutedInstance[]): void => {
        const items = published.map(instance => {
            const content = Buffer.from(JSON.stringify(instance));
            return { key: `instance/${instance.id}`, era: 0, revision, content };
        });
        view.apply({ items, era: 0, revision, isWhole: false }, "store");
    };
    publish(1, instances);
    const choose = (overrides: Partial<pools.CallRequirements> = {}): string | undefined =>
        pool.choose({
            service: "desk",
            promptTokens: 0,
            promptParts: [],
            inputBytesByDomain: new Map(),
            triedIncarnations: new Set(),
            softwareVersion: undefined,
            ...overrides,
        })?.instance.id;
    return { clock, pool, leaving, publish, choose };
}

vitest.describe("an instance that has said that it is leaving", () => {
    const cases: readonly {
        readonly name: string;
        readonly others?: readonly routing.RoutedInstance[];
        readonly published?: readonly routing.RoutedInstance[];
        readonly waitMs?: number;
        readonly requirements?: Partial<pools.CallRequirements>;
        readonly chosen: string | undefined;
    }[] = [
        { name: "isn't chosen beside another one", others: [createInstance("other")], chosen: "other" },
        {
            name: "isn't chosen for a retry",
            others: [createInstance("tried"), createInstance("other")],
            requirements: { triedIncarnations: new Set(["tried@1"]) },
            chosen: "other",
        },
        {
            name: "isn't chosen for a prompt that it has read",
            others: [createInstance("other")],
            requirements: { promptTokens: 1_000, promptParts: SHARED_PROMPT },
            chosen: "other",
        },
        {
            name: "isn't chosen after the store has published it as ready again",
            others: [createInstance("other")],
            published: [createInstance("leaving", { slots: 9 })],
            waitMs: 60_000,
            chosen: "other",
        },
        { name: "is chosen for a short call at first, when it is the only one", chosen: "leaving" },
        { name: "isn't chosen later, when it is the only one", waitMs: 1_000, chosen: undefined },
        {
            name: "isn't chosen for a prompt, when it is the only one",
            requirements: { promptTokens: 1_000 },
            chosen: undefined,
        },
        {
            name: "isn't chosen when it is the only one and draining",
            published: [createInstance("leaving", { state: "draining" })],
            chosen: undefined,
        },
        {
            name: "doesn't affect a new start under its id",
            published: [createInstance("leaving", { startedMs: 2 })],
            waitMs: 60_000,
            chosen: "leaving",
        },
        {
            name: "doesn't affect a new instance at its address",
            others: [createInstance("successor")],
            waitMs: 60_000,
            chosen: "successor",
        },
    ];
    vitest.it.each(cases)("$name", ({ others = [], published = [], waitMs = 0, requirements, chosen }) => {
        const { clock, pool, leaving, publish, choose } = createScenario([createInstance("leaving"), ...others]);
        pool.trafficOf(createInstance("leaving")).begin(1_000, SHARED_PROMPT.map(part => part.id)).end("ok");
        leaving.record({ instance: "leaving", startedMs: 1, ageMs: 0 });
        publish(2, published);
        clock.advance(waitMs);
        vitest.expect(choose(requirements)).toBe(chosen);
    });

    vitest.it(
        "isn't one where a prompt is expected, nor a usable stage worker, also when the others are paused",
        () => {
            const { pool, leaving } = createScenario([createInstance("leaving"), createInstance("other")]);
            leaving.record({ instance: "leaving", startedMs: 1, ageMs: 0 });
            pool.trafficOf(createInstance("other")).begin(0, []).end("unreachable");
            vitest.expect(pool.usableInstances("desk").map(instance => instance.id)).toEqual(["other"]);
            vitest.expect(pool.expectedPlacement("desk", 1_000, SHARED_PROMPT).missingTokens).toBe(100);
            vitest.expect(pool.leavingIds).toEqual(["leaving"]);
        },
    );
});

vitest.describe("an instance without a measured call time", () => {
    vitest.it.each([
        { name: "a faster one than any difference counts for", callMs: 1 },
        { name: "one as fast as the shortest time that counts", callMs: 5 },
        { name: "a slow one", callMs: 80 },
    ])("gets calls beside $name", ({ callMs }) => {
        const { clock, pool, choose } = createScenario([createInstance("measured"), createInstance("new")]);
        const ticket = pool.trafficOf(createInstance("measured")).begin(0, []);
        clock.advance(callMs);
        ticket.end("ok");
        vitest.expect(choose()).toBe("new"); // The source of random numbers decides ties in favour of the last one.
    });
});
