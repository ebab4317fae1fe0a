import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as incarnations from "./Incarnation";
import * as pauseMonitors from "./PauseMonitor";

const { describe, expect, it } = vitest;

const THRESHOLD_MS = 200;

describe("PauseMonitor", () => {
    const cases: [string, (clock: clocks.ManualClock, monitor: pauseMonitors.PauseMonitor) => unknown, unknown][] = [
        ["no pause", (clock, monitor) => {
            clock.advance(10_000);
            return [monitor.check(), monitor.recentPauseMs(Infinity)];
        }, [0, 0]],
        ["a pause before the first dispatch", (clock, monitor) => {
            clock.skip(5_000);
            return [monitor.check(), monitor.check(), monitor.recentPauseMs(10)];
        }, [5_000, 0, 5_000]],
        ["a pause detected by the timer", (clock, monitor) => {
            clock.skip(5_000);
            clock.advance(100);
            return [monitor.check(), monitor.recentPauseMs(100), monitor.recentPauseMs(10)];
        }, [0, 5_000, 0]],
        ["a pause detected by the query for a recent pause", (clock, monitor) => {
            clock.skip(1_000);
            return monitor.recentPauseMs(0);
        }, 1_000],
        ["a pause with the time until its reads are done", (clock, monitor) => {
            clock.skip(1_000);
            monitor.check();
            clock.skip(150);
            const unreadMs = monitor.recentPauseMs(100);
            clock.advance(0);
            return [unreadMs, monitor.recentPauseMs(100)];
        }, [1_150, 1_150]],
        ["no pause for a delay equal to the threshold", (clock, monitor) => {
            clock.skip(THRESHOLD_MS);
            return monitor.check();
        }, 0],
    ];
    it.each(cases)("reports %s", (name, act, expected) => {
        const clock = new clocks.ManualClock();
        const monitor = new pauseMonitors.PauseMonitor({ clock, thresholdMs: THRESHOLD_MS });
        const pausesMs: number[] = [];
        monitor.onPause(pauseMs => pausesMs.push(pauseMs));
        expect(act(clock, monitor)).toEqual(expected);
        expect(pausesMs.length).toBe(name.startsWith("a pause") ? 1 : 0);
    });
});

describe("createIncarnation", () => {
    it.each([[0, 0.999], [0.5, 0], [1, 1]])("increases with random values %d and %d", (first, second) => {
        const clock = new clocks.ManualClock(1_800_000_000_000);
        const before = incarnations.createIncarnation(clock, () => first);
        clock.advance(1);
        const after = incarnations.createIncarnation(clock, () => second);
        expect([after > before, Number.isSafeInteger(after)]).toEqual([true, true]);
    });
});
