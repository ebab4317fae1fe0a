import * as result from "true-myth/result";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as storeHistories from "./StoreHistory";
import * as versionHistories from "./VersionHistory";

const LIFETIME_MS = 30_000;
/** Calls of the search for the oldest change, which doubles twice at a time and then bisects. */
const MAX_CALLS = 17;
const POSITION: positions.Position = { era: 0, revision: 1_000 };

/** A change of an instance's record; without a version, its deletion. */
interface Change {
    readonly revision: number;
    readonly id: string;
    readonly version?: string;
    readonly service?: string;
}

function instance(id: string, softwareVersion: string, service = "model"): routing.RoutedInstance {
    return {
        id,
        startedMs: -2 * LIFETIME_MS,
        service,
        softwareVersion,
        address: "10.0.0.1:1",
        failureDomain: "a",
        state: "ready",
        slots: 1,
        coldLeftMs: 0,
    };
}

/** A store that has the changes since `oldest`. */
function createStore(changes: readonly Change[], oldest: number, era = POSITION.era) {
    const byRevision = new Map(changes.map(change => [change.revision, change]));
    const watched: number[] = [];
    const store: Pick<routingPorts.PublishedStore, "watch" | "decode"> = {
        watch: revision => {
            watched.push(revision);
            const isHistoryLost = revision < oldest;
            const items = changes.filter(change => change.revision > revision).map(change => ({
                key: change.id,
                era,
                revision: change.revision,
                content: change.version === undefined ? undefined : Buffer.from("record"),
            }));
            return Promise.resolve(result.ok({ items, ...POSITION, era, isHistoryLost }));
        },
        decode: item => {
            const change = byRevision.get(item.revision);
            return change?.version === undefined
                ? { kind: "unreadable", reason: "empty" }
                : { kind: "instance", instance: instance(item.key, change.version, change.service) };
        },
    };
    return { store, watched };
}

function createHistory(store: Pick<routingPorts.PublishedStore, "watch" | "decode">) {
    const clock = new clocks.ManualClock();
    const versions = new versionHistories.VersionHistory(clock);
    versions.change(undefined, instance("b", "v2"));
    versions.markListed();
    const view = { position: POSITION, versions };
    const history = new storeHistories.StoreHistory({ clock, log: logs.silentLog, store, view });
    return { clock, history, findOnlyVersion: () => versions.findOnlyVersion("model", clock.now() - LIFETIME_MS) };
}

vitest.describe("an entry that starts after the loss of all entries", () => {
    const departed: readonly Change[] = [
        { revision: 700, id: "a", version: "v1" },
        { revision: 960, id: "a" },
    ];
    vitest.it.each([
        { name: "knows the only version when nothing has left", changes: [], oldest: 400, expected: "v2" },
        {
            name: "doesn't take the present version for the one that left",
            changes: departed,
            oldest: 400,
            expected: undefined,
        },
        {
            name: "finds a departure at the end of the history that the store has",
            changes: [{ revision: 401, id: "a" }],
            oldest: 400,
            expected: undefined,
        },
        {
            name: "doesn't guess when a record left that the store no longer has",
            changes: [{ revision: 960, id: "a" }],
            oldest: 900,
            expected: undefined,
        },
        {
            name: "knows the only version when instances of other services left",
            changes: [{ revision: 700, id: "c", version: "v1", service: "encode" }, { revision: 960, id: "c" }],
            oldest: 400,
            expected: "v2",
        },
        {
            name: "sees an instance that restarted with another version under its id",
            changes: [{ revision: 700, id: "b", version: "v1" }, { revision: 960, id: "b", version: "v2" }],
            oldest: 400,
            expected: undefined,
        },
        {
            name: "knows the only version when nothing has changed for as long as the store keeps changes",
            changes: [],
            oldest: 1_001,
            expected: "v2",
        },
    ])("$name", async ({ changes, oldest, expected }) => {
        const { store } = createStore(changes, oldest);
        const { history, findOnlyVersion } = createHistory(store);
        vitest.expect(findOnlyVersion()).toBeUndefined();
        await history.complete();
        vitest.expect(findOnlyVersion()).toBe(expected);
    });

    vitest.it("doesn't use the history of another era", async () => {
        const { store } = createStore([], 400, 1);
        const { history, findOnlyVersion } = createHistory(store);
        await history.complete();
        vitest.expect(findOnlyVersion()).toBeUndefined();
    });

    vitest.it("reads the history once for all callers that come at the same time", async () => {
        const { store, watched } = createStore([], 400);
        const { history } = createHistory(store);
        await Promise.all([history.complete(), history.complete()]);
        await history.complete();
        vitest.expect(new Set(watched).size).toBe(watched.length);
        vitest.expect(watched.length).toBeLessThanOrEqual(MAX_CALLS);
    });

    vitest.it("reads again some time after a failure", async () => {
        let calls = 0;
        const { store } = createStore([], 400);
        const { clock, history, findOnlyVersion } = createHistory({
            ...store,
            watch: (...parameters) =>
                calls++ === 0
                    ? Promise.resolve(result.err(codes.failure(codes.codes.sourceUnavailable, "")))
                    : store.watch(...parameters),
        });
        await history.complete();
        await history.complete();
        vitest.expect(calls).toBe(1);
        clock.advance(500);
        await history.complete();
        vitest.expect(findOnlyVersion()).toBe("v2");
    });
});
