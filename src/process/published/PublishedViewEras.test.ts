import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as views from "./PublishedView";
import * as storeEras from "./StoreEra";

/** The content of a key; an object's JSON, or undefined for a deletion. */
type Content = Record<string, unknown> | undefined;

const READY = { service: "desk", state: "ready", startedMs: 5, coldLeftMs: 0 };
const DRAINING = { ...READY, state: "draining" };

/** Decodes keys of the form kind/name, with an instance's or configuration's fields as content. */
function decode(item: routing.PublishedItem): routing.PublishedRecord {
    const [kind, name] = item.key.split("/");
    const content = JSON.parse(Buffer.from(item.content ?? []).toString()) as Record<string, unknown>;
    switch (kind) {
        case "instance": {
            const fixed = { id: name!, address: "10.0.0.1:1", failureDomain: "a", slots: 1 };
            return { kind: "instance", instance: { ...fixed, ...content } as routing.RoutedInstance };
        }
        case "configuration": {
            const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
            const fixed = { version: Number(content["version"]), routes: [], services: [], teams: undefined, limits };
            return { kind: "configuration", configuration: fixed };
        }
        case undefined:
        default:
            return { kind: "out-of-service", failureDomain: name! };
    }
}

function item(key: string, era: number, revision: number, content: Content): routing.PublishedItem {
    return { key, era, revision, content: content && Buffer.from(JSON.stringify(content)) };
}

function whole(era: number, revision: number, items: readonly routing.PublishedItem[]): views.PublishedUpdate {
    return { items, era, revision, isWhole: true };
}

function changes(era: number, revision: number, items: readonly routing.PublishedItem[]): views.PublishedUpdate {
    return { items, era, revision, isWhole: false };
}

/** What a view has in force. */
function summarize(
    view: views.PublishedView,
): { ready: string[]; out: readonly string[]; version: number | undefined } {
    return {
        ready: view.instances("desk").filter(({ state }) => state === "ready").map(({ id }) => id).sort(),
        out: view.outOfServiceDomains,
        version: view.table?.configuration.version,
    };
}

class Fixture {
    readonly clock = new clocks.ManualClock();
    readonly view = this.newView();

    newView(): views.PublishedView {
        return new views.PublishedView({ clock: this.clock, log: logs.silentLog, decode });
    }

    /** Applies an update that a peer would send to `to`. */
    passOn(from: views.PublishedView, to: views.PublishedView): void {
        to.apply(from.updateSince(to.position), "peer", 1_000);
    }
}

const BEFORE = [
    item("instance/a", 1, 10, READY),
    item("instance/b", 1, 11, READY),
    item("configuration/one", 1, 12, { version: 3 }),
];
/** The same, as the backup at revision 20 has it in a later era. */
const restored = (era: number): routing.PublishedItem[] => BEFORE.map(known => ({ ...known, era }));

/** What the lost seconds held, what a view has after the restore, and what it has when the time to wait is over. */
const cases: readonly {
    readonly name: string;
    readonly backup?: readonly routing.PublishedItem[];
    readonly lost: routing.PublishedItem;
    readonly after: Partial<ReturnType<typeof summarize>>;
    readonly waitMs: number;
    readonly later: Partial<ReturnType<typeof summarize>>;
}[] = [
    {
        name: "a configuration",
        lost: item("configuration/one", 1, 30, { version: 4 }),
        after: { version: 4 },
        waitMs: 60_000,
        later: { version: 4 },
    },
    {
        name: "an instance that registered",
        lost: item("instance/c", 1, 30, READY),
        after: { ready: ["a", "b", "c"] },
        waitMs: storeEras.MISSING_INSTANCE_MS,
        later: { ready: ["a", "b"] },
    },
    {
        name: "an instance that was deleted",
        lost: item("instance/b", 1, 30, undefined),
        after: { ready: ["a"] },
        waitMs: storeEras.LEFT_INSTANCE_MS,
        later: { ready: ["a", "b"] },
    },
    {
        name: "an instance that drains",
        lost: item("instance/b", 1, 30, DRAINING),
        after: { ready: ["a"] },
        waitMs: storeEras.LEFT_INSTANCE_MS,
        later: { ready: ["a", "b"] },
    },
    {
        name: "a later start of an instance",
        lost: item("instance/b", 1, 30, { ...READY, startedMs: 6 }),
        after: { ready: ["a", "b"] },
        waitMs: storeEras.MISSING_INSTANCE_MS,
        later: { ready: ["a"] },
    },
    {
        name: "a failure domain taken out of service",
        lost: item("out/a", 1, 30, {}),
        after: { out: ["a"] },
        waitMs: storeEras.SERVICE_STATE_MS,
        later: { out: [] },
    },
    {
        name: "a failure domain back in service",
        backup: [item("out/a", 1, 13, {})],
        lost: item("out/a", 1, 30, undefined),
        after: { out: [] },
        waitMs: storeEras.SERVICE_STATE_MS,
        later: { out: ["a"] },
    },
];

vitest.describe("a store restored from a backup that lacks", () => {
    vitest.it.each(cases)("$name", ({ backup = [], lost, after, waitMs, later }) => {
        const { view, clock } = new Fixture();
        view.apply(whole(1, 20, [...BEFORE, ...backup]), "store");
        view.apply(changes(1, 30, [lost]), "store");
        view.apply(whole(2, 20, [...restored(2), ...backup.map(known => ({ ...known, era: 2 }))]), "store");
        vitest.expect(view.position).toEqual({ era: 2, revision: 20 });
        vitest.expect(summarize(view)).toMatchObject(after);
        clock.advance(waitMs - 1);
        vitest.expect(summarize(view)).toMatchObject(after);
        clock.advance(1);
        vitest.expect(summarize(view)).toMatchObject(later);
    });

    vitest.it.each(cases)("$name, for a process that learns of it from a peer", ({ backup = [], lost, after }) => {
        const fixture = new Fixture();
        const { view } = fixture;
        const cutOff = fixture.newView();
        for (const each of [view, cutOff]) {
            each.apply(whole(1, 20, [...BEFORE, ...backup]), "store");
        }
        view.apply(changes(1, 30, [lost]), "store");
        view.apply(whole(2, 20, [...restored(2), ...backup.map(known => ({ ...known, era: 2 }))]), "store");
        fixture.passOn(view, cutOff);
        vitest.expect(cutOff.position).toEqual({ era: 2, revision: 20 });
        vitest.expect(summarize(cutOff)).toMatchObject(after);
    });

    vitest.it.each(cases)("$name, which its writer writes again", ({ backup = [], lost, after, waitMs }) => {
        const { view, clock } = new Fixture();
        view.apply(whole(1, 20, [...BEFORE, ...backup]), "store");
        view.apply(changes(1, 30, [lost]), "store");
        view.apply(whole(2, 20, [...restored(2), ...backup.map(known => ({ ...known, era: 2 }))]), "store");
        view.apply(changes(2, 21, [{ ...lost, era: 2, revision: 21 }]), "store");
        clock.advance(waitMs);
        vitest.expect(summarize(view)).toMatchObject(after);
    });

    vitest.it.each(cases)("$name, twice in a row", ({ backup = [], lost, after, waitMs, later }) => {
        const { view, clock } = new Fixture();
        view.apply(whole(1, 20, [...BEFORE, ...backup]), "store");
        view.apply(changes(1, 30, [lost]), "store");
        for (const era of [2, 3]) {
            view.apply(whole(era, 20, [...restored(era), ...backup.map(known => ({ ...known, era }))]), "store");
            vitest.expect(summarize(view)).toMatchObject(after);
            clock.advance(waitMs - 1);
            vitest.expect(summarize(view)).toMatchObject(after);
        }
        clock.advance(1);
        vitest.expect(summarize(view)).toMatchObject(later);
    });
});

vitest.describe("a view", () => {
    vitest.it("follows revisions that are given out again", () => {
        const { view } = new Fixture();
        view.apply(whole(1, 20, BEFORE), "store");
        view.apply(changes(1, 30, [item("instance/b", 1, 30, { ...READY, slots: 2 })]), "store");
        view.apply(whole(2, 20, restored(2)), "store");
        view.apply(
            changes(2, 22, [
                item("instance/b", 2, 21, undefined),
                item("instance/c", 2, 22, READY),
                item("configuration/one", 2, 22, { version: 4 }),
            ]),
            "store",
        );
        vitest.expect(summarize(view)).toEqual({ ready: ["a", "c"], out: [], version: 4 });
    });

    vitest.it.each([
        { name: "complete content of an earlier era", update: whole(1, 900, [item("instance/z", 1, 900, READY)]) },
        { name: "changes of an earlier era", update: changes(1, 900, [item("instance/a", 1, 900, undefined)]) },
        { name: "mere changes of a later era", update: changes(3, 900, [item("instance/a", 3, 900, undefined)]) },
    ])("isn't changed by $name", ({ update }) => {
        const { view } = new Fixture();
        view.apply(whole(2, 20, restored(2)), "store");
        view.apply(update, "peer");
        vitest.expect(view.position).toEqual({ era: 2, revision: 20 });
        vitest.expect(summarize(view)).toEqual({ ready: ["a", "b"], out: [], version: 3 });
    });

    vitest.it("doesn't start the cold time of an instance anew for its record in a backup", () => {
        const { view, clock } = new Fixture();
        const cold = { ...READY, coldLeftMs: 1_000 };
        view.apply(whole(1, 20, [item("instance/a", 1, 10, cold)]), "store");
        clock.advance(5_000);
        view.apply(changes(1, 30, [item("instance/a", 1, 30, { ...cold, coldLeftMs: 0, slots: 2 })]), "store");
        view.apply(whole(2, 20, [item("instance/a", 2, 10, cold)]), "store");
        vitest.expect(view.find("a")!.coldUntilMs).toBeLessThanOrEqual(clock.now());
    });

    vitest.it("brings a process that was cut off over two eras up to date, and keeps what only that one knew", () => {
        const fixture = new Fixture();
        const { view, clock } = fixture;
        const cutOff = fixture.newView();
        for (const each of [view, cutOff]) {
            each.apply(whole(1, 20, BEFORE), "store");
        }
        cutOff.apply(changes(1, 30, [item("configuration/one", 1, 30, { version: 5 })]), "store");
        cutOff.apply(changes(1, 31, [item("instance/b", 1, 31, DRAINING)]), "store");
        view.apply(whole(2, 20, restored(2)), "store");
        view.apply(changes(2, 40, [item("instance/c", 2, 40, READY)]), "store");
        view.apply(whole(3, 18, restored(3)), "store");
        view.apply(changes(3, 19, [item("instance/d", 3, 19, READY)]), "store");
        fixture.passOn(view, cutOff);
        vitest.expect(summarize(cutOff)).toEqual({ ready: ["a", "c", "d"], out: [], version: 5 });
        clock.advance(storeEras.MISSING_INSTANCE_MS);
        vitest.expect(summarize(cutOff).ready).toEqual(["a", "d"]);
        vitest.expect(summarize(view).ready).toEqual(["a", "b", "d"]);
    });

    vitest.it("that starts in a new era takes what a peer keeps in force", () => {
        const fixture = new Fixture();
        const { view } = fixture;
        view.apply(whole(1, 20, BEFORE), "store");
        view.apply(
            changes(1, 31, [
                item("configuration/one", 1, 30, { version: 5 }),
                item("instance/b", 1, 31, undefined),
            ]),
            "store",
        );
        view.apply(whole(2, 20, restored(2)), "store");
        const started = fixture.newView();
        fixture.passOn(view, started);
        vitest.expect(summarize(started)).toEqual({ ready: ["a"], out: [], version: 5 });
        fixture.clock.advance(storeEras.LEFT_INSTANCE_MS);
        vitest.expect(summarize(started).ready).toEqual(["a", "b"]);
    });

    vitest.it("that lists the backup itself gets a kept configuration with the next update of a peer", () => {
        const fixture = new Fixture();
        const { view } = fixture;
        view.apply(whole(1, 20, BEFORE), "store");
        view.apply(changes(1, 30, [item("configuration/one", 1, 30, { version: 5 })]), "store");
        view.apply(whole(2, 20, restored(2)), "store");
        const started = fixture.newView();
        started.apply(whole(2, 20, restored(2)), "store");
        vitest.expect(summarize(started).version).toBe(3);
        view.apply(changes(2, 21, [item("instance/c", 2, 21, READY)]), "store");
        fixture.passOn(view, started);
        vitest.expect(summarize(started)).toMatchObject({ ready: ["a", "b", "c"], version: 5 });
    });
});
