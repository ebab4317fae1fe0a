import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as views from "./PublishedView";

/** Decodes keys of the form kind/name; the content is the service's name. */
function decode(item: routing.PublishedItem): routing.PublishedRecord {
    const [kind, name] = item.key.split("/");
    const text = Buffer.from(item.content ?? []).toString();
    switch (kind) {
        case "instance":
            return {
                kind: "instance",
                instance: {
                    id: name!,
                    startedMs: 1,
                    service: text,
                    softwareVersion: "v1",
                    address: `10.0.0.1:${name!.length}`,
                    failureDomain: "a",
                    state: "ready",
                    slots: 1,
                    coldLeftMs: 0,
                },
            };
        case "out":
            return { kind: "out-of-service", failureDomain: name! };
        case "unreadable":
            return { kind: "unreadable", reason: "test" };
        case undefined:
        default:
            return { kind: "other" };
    }
}

function storedItem(key: string, revision: number, text = "desk"): routing.PublishedItem {
    return { key, era: 0, revision, content: Buffer.from(text) };
}

function deletion(key: string, revision: number): routing.PublishedItem {
    return { key, era: 0, revision, content: undefined };
}

function newView(clock = new clocks.ManualClock()): views.PublishedView {
    return new views.PublishedView({ clock, log: logs.silentLog, decode });
}

function instanceIds(view: views.PublishedView): string[] {
    return view.instances("desk").map(instance => instance.id).sort();
}

vitest.describe("PublishedView", () => {
    const cases: readonly {
        readonly name: string;
        readonly updates: readonly (readonly routing.PublishedItem[])[];
        readonly expected: readonly string[];
    }[] = [
        {
            name: "adds instances",
            updates: [[storedItem("instance/a", 2), storedItem("instance/b", 3)]],
            expected: ["a", "b"],
        },
        {
            name: "removes a deleted instance",
            updates: [[storedItem("instance/a", 2)], [deletion("instance/a", 3)]],
            expected: [],
        },
        {
            name: "ignores an older copy",
            updates: [[storedItem("instance/a", 5)], [storedItem("instance/a", 4, "x")]],
            expected: ["a"],
        },
        {
            name: "ignores an older deletion",
            updates: [[storedItem("instance/a", 5)], [deletion("instance/a", 4)]],
            expected: ["a"],
        },
        {
            name: "doesn't restore a deleted instance from an older copy",
            updates: [[storedItem("instance/a", 2)], [deletion("instance/a", 4)], [storedItem("instance/a", 3)]],
            expected: [],
        },
        {
            name: "remembers a deletion that arrives before the deleted item",
            updates: [[deletion("instance/a", 4)], [storedItem("instance/a", 3)]],
            expected: [],
        },
        {
            name: "adds an instance that registered again after its deletion",
            updates: [[deletion("instance/a", 4)], [storedItem("instance/a", 5)]],
            expected: ["a"],
        },
        {
            name: "ignores unreadable and unknown keys",
            updates: [[storedItem("unreadable/a", 4), storedItem("foreign", 5)]],
            expected: [],
        },
    ];
    vitest.it.each(cases)("$name", ({ updates, expected }) => {
        const view = newView();
        for (const items of updates) {
            view.apply({ items, era: 0, revision: 10, isWhole: false }, "test");
        }
        vitest.expect(instanceIds(view)).toEqual(expected);
    });

    vitest.it("removes keys that a complete update omits, unless they are newer", () => {
        const view = newView();
        view.apply(
            { items: [storedItem("instance/a", 2), storedItem("instance/b", 9)], era: 0, revision: 9, isWhole: false },
            "test",
        );
        view.apply({ items: [], era: 0, revision: 5, isWhole: true }, "test");
        vitest.expect(instanceIds(view)).toEqual(["b"]);
        vitest.expect(view.position.revision).toBe(9);
    });

    vitest.it("takes failure domains out of service and back", () => {
        const view = newView();
        view.apply({ items: [storedItem("out/a", 2)], era: 0, revision: 2, isWhole: false }, "test");
        vitest.expect(view.isOutOfService("a")).toBe(true);
        view.apply({ items: [deletion("out/a", 3)], era: 0, revision: 3, isWhole: false }, "test");
        vitest.expect(view.isOutOfService("a")).toBe(false);
    });
});

// Guards against instances that have left for good and are in use again (review/7), since no deletion follows.
vitest.describe("an update that is older than the view", () => {
    const later = { items: [storedItem("instance/b", 3)], era: 0, revision: 100, isWhole: true };
    vitest.it.each([
        { name: "a list", isWhole: true, items: [storedItem("instance/a", 50), storedItem("instance/b", 3)] },
        { name: "the changes of a watch or of another entry", isWhole: false, items: [storedItem("instance/a", 50)] },
        { name: "one with an item at the view's position", isWhole: false, items: [storedItem("instance/a", 100)] },
    ])("doesn't restore an instance that has left meanwhile: $name", ({ isWhole, items }) => {
        const view = newView();
        view.apply(later, "peer");
        view.apply({ items, era: 0, revision: 60, isWhole }, "store");
        vitest.expect(instanceIds(view)).toEqual(["b"]);
        vitest.expect(view.position.revision).toBe(100);
    });

    vitest.it("doesn't take a failure domain out of service again", () => {
        const view = newView();
        view.apply(later, "peer");
        view.apply({ items: [storedItem("out/a", 40)], era: 0, revision: 60, isWhole: true }, "store");
        vitest.expect(view.isOutOfService("a")).toBe(false);
    });

    vitest.it("adds what was written after the view's position, as the later pages of a list may have it", () => {
        const view = newView();
        view.apply(later, "peer");
        const items = [storedItem("instance/b", 3), storedItem("instance/c", 101)];
        view.apply({ items, era: 0, revision: 60, isWhole: true }, "store");
        vitest.expect(instanceIds(view)).toEqual(["b", "c"]);
    });

    vitest.it("is logged in one line", () => {
        const lines: Record<string, unknown>[] = [];
        const log = logs.createLog("entry", "info", line => void lines.push(JSON.parse(line)));
        const view = new views.PublishedView({ clock: new clocks.ManualClock(), log, decode });
        view.apply(later, "peer");
        const items = ["a", "d", "e"].map(name => storedItem(`instance/${name}`, 50));
        view.apply({ items, era: 0, revision: 60, isWhole: false }, "store");
        vitest.expect(lines.filter(line => line.decision === "outdated-items")).toEqual([
            vitest.expect.objectContaining({ items: 3, key: "instance/a", fromRevision: 60, revision: 100 }),
        ]);
    });
});

vitest.describe("a deletion during the grace time", () => {
    vitest.it.each([
        { name: "takes effect at its end", isRestored: false, expected: [] },
        { name: "is dropped when the instance registers again", isRestored: true, expected: ["a"] },
    ])("$name", ({ isRestored, expected }) => {
        const clock = new clocks.ManualClock();
        const view = newView(clock);
        view.apply({ items: [storedItem("instance/a", 2)], era: 0, revision: 2, isWhole: false }, "test");
        view.apply({ items: [deletion("instance/a", 3)], era: 0, revision: 3, isWhole: false }, "test", 1_000);
        vitest.expect(instanceIds(view)).toEqual(["a"]);
        if (isRestored) {
            view.apply({ items: [storedItem("instance/a", 4)], era: 0, revision: 4, isWhole: false }, "test");
        }
        clock.advance(1_001);
        vitest.expect(instanceIds(view)).toEqual(expected);
    });
});

vitest.describe("an update for another process", () => {
    const items = [storedItem("instance/a", 2), storedItem("instance/b", 4)];
    vitest.it.each([
        { name: "contains only newer items", since: 3, isWhole: false, keys: ["instance/b", "instance/a"] },
        { name: "is complete for a revision before the listing", since: 1, isWhole: true, keys: ["instance/b"] },
    ])("$name", ({ since, isWhole, keys }) => {
        const view = newView();
        view.apply({ items, era: 0, revision: 2, isWhole: true }, "test");
        view.apply({ items: [deletion("instance/a", 6)], era: 0, revision: 6, isWhole: false }, "test");
        const update = view.updateSince({ era: 0, revision: since });
        vitest.expect(update).toMatchObject({ era: 0, revision: 6, isWhole });
        vitest.expect(update.items.map(item => item.key)).toEqual(keys);
        const other = newView();
        other.apply(update, "peer");
        vitest.expect(instanceIds(other)).toEqual(["b"]);
    });

    vitest.it.each([
        { name: "changes", since: 2 },
        { name: "the complete content", since: 0 },
    ])("passes on a deletion that is still delayed here, in $name", ({ since }) => {
        const view = newView();
        view.apply(
            { items: [storedItem("instance/a", 1), storedItem("instance/b", 2)], era: 0, revision: 2, isWhole: true },
            "x",
        );
        view.apply({ items: [deletion("instance/a", 6)], era: 0, revision: 6, isWhole: false }, "peer", 1_000);
        vitest.expect(instanceIds(view)).toEqual(["a", "b"]);
        const clock = new clocks.ManualClock();
        const other = newView(clock);
        const known = [storedItem("instance/a", 1), storedItem("instance/b", 2)];
        other.apply({ items: known, era: 0, revision: 2, isWhole: true }, "x");
        other.apply(view.updateSince({ era: 0, revision: since }), "peer", 1_000);
        clock.advance(1_000);
        vitest.expect(instanceIds(other)).toEqual(["b"]);
    });
});
