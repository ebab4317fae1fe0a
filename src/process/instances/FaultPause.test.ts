import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as faultPauses from "./FaultPause";
import * as traffic from "./InstanceTraffic";

const CALL_INTERVAL_MS = 60;
const DURATION_MS = 60_000;

/** Calls whose answers take a while are sent to an instance whenever it isn't given up; returns the number sent. */
function replay(answerMs: number, answerAt: (ms: number) => "faulty" | "sound"): number {
    const clock = new clocks.ManualClock();
    const startMs = clock.now();
    const pause = new faultPauses.FaultPause();
    let sent = 0;
    for (; clock.now() - startMs < DURATION_MS; clock.advance(CALL_INTERVAL_MS)) {
        if (!pause.isActive(clock.now())) {
            sent++;
            pause.recordSend(clock.now());
            const answer = answerAt(clock.now() - startMs);
            clock.schedule(answerMs, () => {
                if (answer === "faulty") {
                    pause.recordFault(clock.now());
                }
                else {
                    pause.recordSuccess();
                }
            });
        }
    }
    return sent;
}

vitest.describe("of 1,000 calls in a minute, an instance gets", () => {
    vitest.it.each(
        [
            { name: "few if its answers are faulty", answerMs: 5, answerAt: () => "faulty", calls: [3, 8] },
            { name: "few more if that takes long to show", answerMs: 600, answerAt: () => "faulty", calls: [13, 20] },
            { name: "all if they are sound", answerMs: 5, answerAt: () => "sound", calls: [1_000, 1_000] },
            {
                name: "all but a third if they are faulty for 10 s only",
                answerMs: 5,
                answerAt: (ms: number) => ms < 10_000 ? "faulty" : "sound",
                calls: [700, 760],
            },
            {
                name: "all if every third one is faulty",
                answerMs: 5,
                answerAt: (ms: number) => ms / CALL_INTERVAL_MS % 3 === 0 ? "faulty" : "sound",
                calls: [1_000, 1_000],
            },
        ] as const,
    )("$name", ({ answerMs, answerAt, calls }) => {
        const sent = replay(answerMs, answerAt);
        vitest.expect(sent).toBeGreaterThanOrEqual(calls[0]);
        vitest.expect(sent).toBeLessThanOrEqual(calls[1]);
    });
});

vitest.describe("a pause", () => {
    vitest.it("lets one call try the instance, and others wait for its outcome", () => {
        const pause = new faultPauses.FaultPause();
        [0, 1, 2].forEach(ms => pause.recordFault(ms));
        vitest.expect([pause.isActive(4_999), pause.isActive(5_002)]).toEqual([true, false]);
        pause.recordSend(5_010);
        vitest.expect(pause.isActive(5_020)).toBe(true);
        pause.recordSuccess();
        vitest.expect(pause.isActive(5_020)).toBe(false);
    });

    vitest.it.each(["failed", "unreachable", "refused", "cancelled"] as const)(
        "isn't caused by calls that end as %s",
        outcome => {
            const counts = new traffic.InstanceTraffic(new clocks.ManualClock());
            for (let count = 0; count < 100; count++) {
                counts.begin(0, []).end(outcome);
            }
            vitest.expect(counts.isGivenUp).toBe(false);
        },
    );
});
