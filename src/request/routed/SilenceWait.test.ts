import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as calls from "./RoutedCall";
import * as silenceWaits from "./SilenceWait";
import * as senders from "./UpstreamSender";

const STEP_MS = 250;
const DURATION_MS = 10_000;
const DEADLINE_MS = 60_000;
const STATE: silenceWaits.WaitState = { hasBegun: () => true, canMove: () => true };

/** Whether a stream that has begun is moved while bytes arrive in each step. */
function isMoved(bytesPerStep: number, hasEvents: boolean): boolean {
    const clock = new clocks.ManualClock(0);
    const call = { hardDeadlineAtMs: DEADLINE_MS, route: { kind: "idempotent" } } as unknown as calls.RoutedCall;
    const sent = {
        sentAtMs: -1,
        ticket: { expectedFirstEventMs: 100 },
        traffic: { quietMs: 1_000 },
        elsewhereMs: () => 100,
    } as unknown as senders.SentCall;
    const silence = new silenceWaits.SilenceWait(clock, call, STATE);
    silence.recordEvents();
    while (clock.now() < DURATION_MS) {
        clock.advance(STEP_MS);
        if (silence.nextBytesWaitMs(sent) === 0) {
            return true;
        }
        silence.recordBytes(bytesPerStep);
        if (hasEvents) {
            silence.recordEvents();
        }
    }
    return false;
}

vitest.describe("a stream that has begun", () => {
    vitest.it.each([
        { name: "stays while small events come slowly", bytes: 20, hasEvents: true, moved: false },
        { name: "stays while a large event comes slowly", bytes: 500, hasEvents: false, moved: false },
        { name: "is moved when only a byte comes now and then", bytes: 1, hasEvents: false, moved: true },
    ])("$name", ({ bytes, hasEvents, moved }) => {
        vitest.expect(isMoved(bytes, hasEvents)).toBe(moved);
    });
});

vitest.describe("a stream that always has bytes ready", () => {
    // Guards against streams that never end, since nobody waits for their next bytes when the deadline passes.
    vitest.it.each([
        { name: "before the deadline", checksMs: [DEADLINE_MS - 1], isEnded: false },
        { name: "as soon as the deadline has passed", checksMs: [DEADLINE_MS + 49], isEnded: false },
        { name: "read late by this process", checksMs: [DEADLINE_MS + 5_000, DEADLINE_MS + 5_050], isEnded: false },
        { name: "for a while after it", checksMs: [DEADLINE_MS + 60, DEADLINE_MS + 160], isEnded: true },
    ])("$name: ended $isEnded", ({ checksMs, isEnded }) => {
        const clock = new clocks.ManualClock(0);
        const call = { hardDeadlineAtMs: DEADLINE_MS } as unknown as calls.RoutedCall;
        const silence = new silenceWaits.SilenceWait(clock, call, STATE);
        const checks = checksMs.map(atMs => {
            clock.skip(atMs - clock.now());
            return silence.checkOverrun();
        });
        vitest.expect(checks.at(-1)).toBe(isEnded);
    });
});
