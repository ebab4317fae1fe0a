import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as versionHistories from "./VersionHistory";

const MINUTE_MS = 60_000;
const LONG_AGO_MS = -2 * MINUTE_MS;

function instance(id: string, softwareVersion: string, startedMs = LONG_AGO_MS): routing.RoutedInstance {
    return {
        id,
        startedMs,
        service: "model",
        softwareVersion,
        address: "10.0.0.1:1",
        failureDomain: "a",
        state: "ready",
        slots: 1,
        coldLeftMs: 0,
    };
}

vitest.describe("the only version of a service in the last minute", () => {
    interface Step {
        readonly atMs: number;
        readonly from?: routing.RoutedInstance;
        readonly to?: routing.RoutedInstance;
    }
    const old = instance("a", "v1");
    const cases: readonly {
        readonly name: string;
        readonly listed: readonly routing.RoutedInstance[];
        /** What the store's history says; undefined if it can't be read. */
        readonly past?: versionHistories.PastVersions;
        readonly steps?: readonly Step[];
        readonly atMs: number;
        readonly expected: string | undefined;
    }[] = [
        { name: "is that of all instances", listed: [old, instance("b", "v1")], atMs: MINUTE_MS, expected: "v1" },
        { name: "isn't known with two", listed: [old, instance("b", "v2")], atMs: MINUTE_MS, expected: undefined },
        {
            name: "isn't known while the other one has gone less than a minute ago",
            listed: [old, instance("b", "v2")],
            steps: [{ atMs: 10_000, from: instance("b", "v2") }],
            atMs: 69_000,
            expected: undefined,
        },
        {
            name: "is known a minute after the other one has gone",
            listed: [old, instance("b", "v2")],
            steps: [{ atMs: 10_000, from: instance("b", "v2") }],
            atMs: 70_001,
            expected: "v1",
        },
        {
            name: "isn't known after an instance restarted under its id with another version",
            listed: [old],
            steps: [{ atMs: MINUTE_MS, from: old, to: instance("a", "v2", 1) }],
            atMs: MINUTE_MS + 1,
            expected: undefined,
        },
        {
            name: "stays known while records of the only version change",
            listed: [old],
            steps: [{ atMs: MINUTE_MS, from: old, to: { ...old, state: "draining" } }],
            atMs: MINUTE_MS + 1,
            expected: "v1",
        },
        {
            name: "isn't known to a process that has just started, while instances start",
            listed: [old, instance("b", "v1", 0)],
            atMs: 1,
            expected: undefined,
        },
        {
            name: "is known to a process that has just started, when no instance has started or left for longer",
            listed: [old],
            past: { versions: [], hasUnknown: false },
            atMs: 1,
            expected: "v1",
        },
        {
            name: "isn't known to a process that has just started and can't read the store's history",
            listed: [old],
            atMs: 1,
            expected: undefined,
        },
        {
            name: "isn't known when the last instance of another version left without a successor before the start",
            listed: [old],
            past: { versions: [{ service: "model", softwareVersion: "v2" }], hasUnknown: false },
            atMs: 1,
            expected: undefined,
        },
        {
            name: "is known a minute after such an instance left",
            listed: [old],
            past: { versions: [{ service: "model", softwareVersion: "v2" }], hasUnknown: false },
            atMs: MINUTE_MS + 1,
            expected: "v1",
        },
        {
            name: "isn't known when an instance of any service and version left before the start",
            listed: [old],
            past: { versions: [], hasUnknown: true },
            atMs: 1,
            expected: undefined,
        },
        {
            name: "is known when instances of other services left before the start",
            listed: [old],
            past: { versions: [{ service: "encode", softwareVersion: "v9" }], hasUnknown: false },
            atMs: 1,
            expected: "v1",
        },
        {
            name: "isn't known when another version left before the first instance that the process has seen",
            listed: [],
            past: { versions: [{ service: "model", softwareVersion: "v2" }], hasUnknown: false },
            steps: [{ atMs: 100, to: instance("a", "v1", 100) }],
            atMs: 200,
            expected: undefined,
        },
        {
            name: "is known when the process has seen the first instance of all",
            listed: [],
            past: { versions: [], hasUnknown: false },
            steps: [{ atMs: 100, to: instance("a", "v1", 100) }],
            atMs: 200,
            expected: "v1",
        },
        { name: "isn't known without an instance", listed: [], atMs: 2 * MINUTE_MS, expected: undefined },
    ];
    vitest.it.each(cases)("$name", ({ listed, past, steps = [], atMs, expected }) => {
        const clock = new clocks.ManualClock(0);
        const history = new versionHistories.VersionHistory(clock);
        listed.forEach(other => history.change(undefined, other));
        history.markListed();
        if (past !== undefined) {
            history.completePast(past);
        }
        for (const step of steps) {
            clock.advance(step.atMs - clock.now());
            history.change(step.from, step.to);
        }
        clock.advance(atMs - clock.now());
        vitest.expect(history.findOnlyVersion("model", clock.now() - MINUTE_MS)).toBe(expected);
    });

    vitest.it("isn't known before the first listing", () => {
        const history = new versionHistories.VersionHistory(new clocks.ManualClock());
        history.change(undefined, old);
        vitest.expect(history.findOnlyVersion("model", 0)).toBeUndefined();
    });

    vitest.it("tells when a version appears that no other instance has", () => {
        const history = new versionHistories.VersionHistory(new clocks.ManualClock());
        const listener = vitest.vi.fn();
        history.onNewVersion(listener);
        history.change(undefined, old);
        history.change(undefined, instance("b", "v1"));
        history.change(old, { ...old, slots: 2 });
        vitest.expect(listener).toHaveBeenCalledTimes(1);
        history.change(undefined, instance("c", "v2"));
        vitest.expect(listener).toHaveBeenCalledTimes(2);
    });
});
