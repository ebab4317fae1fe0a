import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as accounts from "../../connection/ReadAccount";
import * as readTurns from "../../connection/ReadTurns";
import * as loopWatches from "./LoopWatch";

/** A watch with its log, and turns in which a peer has cost something. */
function createWatch(): {
    clock: clocks.ManualClock;
    lines: Record<string, unknown>[];
    pauses: emitters.Emitter<number>;
    turns: readTurns.ReadTurns;
    watch: loopWatches.LoopWatch;
} {
    const clock = new clocks.ManualClock();
    const lines: Record<string, unknown>[] = [];
    const log = logs.createLog("test", "info", line => lines.push(JSON.parse(line) as Record<string, unknown>));
    const pauses = new emitters.Emitter<number>();
    const turns = new readTurns.ReadTurns(clock, () => undefined);
    const watch = new loopWatches.LoopWatch({ clock, log, onPause: pauses.event, turns });
    return { clock, lines, pauses, turns, watch };
}

const instance: accounts.Peer = { kind: "instance", address: "10.0.0.1:80" };
const caller: accounts.Peer = { kind: "caller", address: "10.0.0.2" };

vitest.describe("the watch of the event loop", () => {
    vitest.it.each([
        { name: "a late loop, with the costliest peer", costsMs: [300, 40], peer: instance, costMs: 300 },
        { name: "a late loop, with a caller", costsMs: [3, 400], peer: caller, costMs: 400 },
        { name: "a late loop to which no peer has contributed", costsMs: [0, 0], peer: undefined, costMs: undefined },
    ])("logs $name", ({ costsMs, peer, costMs }) => {
        const { clock, lines, pauses, turns, watch } = createWatch();
        turns.costs.record(instance, clock.now(), costsMs[0]!);
        turns.costs.record(caller, clock.now(), costsMs[1]!);
        pauses.fire(812.4);
        vitest.expect(lines).toMatchObject([{ decision: "loop-late", lateMs: 812, omitted: 0 }]);
        const { kind, peer: address, costMs: logged } = lines[0]!;
        vitest.expect({ kind, address, logged }).toEqual({ kind: peer?.kind, address: peer?.address, logged: costMs });
        watch.dispose();
    });

    vitest.it.each([
        { name: "most of the time", msPerSecond: 700, lines: 2 },
        { name: "a small part of it", msPerSecond: 200, lines: 0 },
    ])("logs a peer that takes $name, each 5 s at most", ({ msPerSecond, lines: expected }) => {
        const { clock, lines, turns, watch } = createWatch();
        for (let elapsedMs = 0; elapsedMs < 9_500; elapsedMs += 10) {
            turns.costs.record(instance, clock.now(), msPerSecond / 100);
            clock.advance(10);
        }
        vitest.expect(lines.filter(line => line["decision"] === "costly-peer")).toHaveLength(expected);
        vitest.expect(watch.largestShare).toBeCloseTo(msPerSecond / 1_000, 1);
        watch.dispose();
    });

    vitest.it("logs the lines for one kind of event each 5 s at most", () => {
        const { clock, lines, pauses, watch } = createWatch();
        for (let elapsedMs = 0; elapsedMs < 20_000; elapsedMs += 250) {
            pauses.fire(250);
            clock.advance(250);
        }
        vitest.expect(lines).toHaveLength(4);
        vitest.expect(lines[1]).toMatchObject({ omitted: 19 });
        watch.dispose();
    });

    vitest.it("measures the delay of the event loop since it was asked last", async () => {
        const { watch } = createWatch();
        await new Promise(resolve => setTimeout(resolve, 50));
        const endMs = clocks.systemClock.now() + 200;
        while (clocks.systemClock.now() < endMs) {
            // The event loop is blocked.
        }
        await new Promise(resolve => setTimeout(resolve, 50));
        vitest.expect(watch.takeDelaySeconds()).toBeGreaterThan(0.1);
        watch.dispose();
    });
});
