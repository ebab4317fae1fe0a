import * as fc from "fast-check";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";
import * as ports from "../../common/Ports";
import * as memberships from "./Membership";

const { expect, it } = vitest;

const SEED = 23;

function createRow(instance: string, failureDomain = "d0", state: "live" | "leaving" = "live"): ports.ListedInstance {
    return { instance, role: "agent", service: "s", failureDomain, address: "10.0.0.1:1", state };
}

function createHello(instance: string, incarnation = 1): messages.Hello {
    return { kind: "hello", protocol: 1, role: "agent", instance, failureDomain: "d0", incarnation, service: "s" };
}

function createView(subsetSize = 32, self = "self"): [memberships.Membership, clocks.ManualClock] {
    const clock = new clocks.ManualClock();
    const options = { clock, self, failureDomain: "d0", region: "r", subsetSize };
    return [new memberships.Membership(options), clock];
}

const initialRows = [createRow("a"), createRow("b")];
const cases: [string, (view: memberships.Membership) => void, string[]][] = [
    ["uses the listed agents", () => undefined, ["a", "b"]],
    [
        "leaves out agents listed as leaving",
        view => view.updateList([createRow("a", "d0", "leaving"), createRow("b")]),
        ["b"],
    ],
    ["ignores an empty list", view => view.updateList([]), ["a", "b"]],
    ["removes unlisted members that aren't connected", view => view.updateList([createRow("b")]), ["b"]],
    ["keeps unlisted members that are connected", view => {
        view.noteConnected(createHello("a"));
        view.updateList([createRow("b")]);
    }, ["a", "b"]],
    ["removes an unlisted member when its connection is lost", view => {
        view.noteConnected(createHello("c"));
        view.noteLost("c");
    }, ["a", "b"]],
    ["keeps the reported draining state if the list shows the member as live", view => {
        view.noteConnected(createHello("a", 5));
        view.noteDraining("a");
        view.updateList([createRow("a"), createRow("b")]);
        view.noteLost("a");
        view.noteConnected(createHello("a", 5));
    }, ["b"]],
    ["uses a draining member again after it reported accepting work", view => {
        view.noteConnected(createHello("a", 5));
        view.noteDraining("a");
        view.noteServing("a");
    }, ["a", "b"]],
    ["uses a draining member again after it restarted", view => {
        view.noteConnected(createHello("a", 5));
        view.noteDraining("a");
        view.noteLost("a");
        view.noteConnected(createHello("a", 6));
    }, ["a", "b"]],
    ["keeps the listed leaving state after the row was removed", view => {
        view.noteConnected(createHello("a"));
        view.updateList([createRow("a", "d0", "leaving"), createRow("b")]);
        view.updateList([createRow("b")]);
    }, ["b"]],
];
it.each(cases)("%s", (_name, change, expected) => {
    const [view] = createView();
    view.updateList(initialRows);
    change(view);
    expect(view.agents("s").map(member => member.instance).sort()).toEqual(expected);
});

it("marks a lost member as unconnected and replaces it in a full subset until the retry time", () => {
    const [view, clock] = createView(2);
    view.updateList([createRow("a"), createRow("b"), createRow("c")]);
    const first = view.agents("s")[0]!.instance;
    let changes = 0;
    view.onChange(() => changes++);
    view.noteLost(first);
    expect(view.find(first)).toMatchObject({ connected: false, lostAtMs: clock.now() });
    expect(view.agents("s").map(member => member.instance)).not.toContain(first);
    clock.advance(20_000);
    expect(changes).toBe(2);
    expect(view.agents("s")[0]!.instance).toBe(first);
    expect(view.listAgeMs).toBe(20_000);
});

it("selects bounded subsets over all failure domains, and replaces at most one member when one leaves", () => {
    fc.assert(
        fc.property(fc.integer({ min: 40, max: 200 }), fc.nat(1_000), (count, salt) => {
            const rows = Array.from({ length: count }, (_, index) => createRow(`i${index}`, `d${index % 4}`));
            const [view] = createView(16, `self${salt}`);
            view.updateList(rows);
            const before = view.agents("s").map(member => member.instance);
            expect(new Set(view.agents("s").map(member => member.failureDomain)).size).toBe(4);
            expect(view.peers(6).filter(member => member.failureDomain === "d0").length).toBe(3);
            view.updateList(rows.filter(other => other.instance !== before[3]));
            const after = view.agents("s").map(member => member.instance);
            expect(after.length).toBe(16);
            expect(after.filter(instance => !before.includes(instance)).length).toBeLessThanOrEqual(1);
        }),
        { seed: SEED },
    );
});
