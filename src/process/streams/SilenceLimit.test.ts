import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as traffic from "../instances/InstanceTraffic";
import * as silenceLimits from "./SilenceLimit";

const silentCall: silenceLimits.SilentCall = {
    waitedMs: 0,
    expectedMs: 300,
    quietMs: 20,
    remainingMs: 6_000,
    elsewhereMs: () => 300,
};

/** Time after which a call is moved, if nothing changes but its age and the time left. */
function findMoveMs(
    decide: (call: silenceLimits.SilentCall) => number,
    call: silenceLimits.SilentCall,
): number {
    let waitedMs = 0;
    for (;;) {
        const quietMs = call.quietMs === undefined ? undefined : call.quietMs + waitedMs * Number(call.quietMs > 100);
        const waitMs = decide({ ...call, quietMs, waitedMs, remainingMs: call.remainingMs - waitedMs });
        if (waitMs === 0) {
            return waitedMs;
        }
        waitedMs += waitMs;
    }
}

vitest.describe("firstEventWaitMs", () => {
    vitest.it.each([
        { name: "moves a call from an instance that is silent to all", call: { quietMs: 600 }, moveMs: 600 },
        { name: "waits longer without other streams there", call: { quietMs: undefined }, moveMs: 1_200 },
        { name: "waits longer while the instance serves others", call: {}, moveMs: 2_000 },
        { name: "waits for a large prompt in proportion", call: { expectedMs: 900 }, moveMs: 4_500 },
        { name: "stays when no other instance can take it", call: { elsewhereMs: () => undefined }, moveMs: 6_000 },
        {
            name: "stays when another instance couldn't be in time",
            call: { quietMs: 600, remainingMs: 800, elsewhereMs: () => 900 },
            moveMs: 800,
        },
    ])("$name", ({ call, moveMs }) => {
        vitest.expect(findMoveMs(silenceLimits.firstEventWaitMs, { ...silentCall, ...call })).toBe(moveMs);
    });
});

vitest.describe("nextEventWaitMs", () => {
    vitest.it.each([
        { name: "resumes a stream of a silent instance", call: { quietMs: 600 }, moveMs: 2_000 },
        { name: "waits longer while the instance serves others", call: {}, moveMs: 2_500 },
    ])("$name", ({ call, moveMs }) => {
        vitest.expect(findMoveMs(silenceLimits.nextEventWaitMs, { ...silentCall, ...call })).toBe(moveMs);
    });
});

vitest.describe("a burst of large prompts on an engine that may stop", () => {
    const PROMPT_TOKENS = 34_000;
    const TOKENS_PER_MS = 36;
    const TICK_MS = 50;

    /** Sends prompts to an engine and returns how many are moved away before they are read. */
    function countMoved(promptCount: number, stopsAtMs: number): number {
        const clock = new clocks.ManualClock(0);
        const counts = new traffic.InstanceTraffic(clock);
        const other = counts.begin(0, ["other"]);
        const calls = Array.from({ length: promptCount }, (_, index) => {
            const ticket = counts.begin(PROMPT_TOKENS, [`part-${index}`]);
            return { ticket, endsAtMs: (index + 1) * PROMPT_TOKENS / TOKENS_PER_MS, isOpen: true, isMoved: false };
        });
        for (; clock.now() < 8_000; clock.advance(TICK_MS)) {
            if (clock.now() < stopsAtMs) {
                other.recordEvent();
            }
            for (const call of calls.filter(({ isOpen }) => isOpen)) {
                if (clock.now() >= call.endsAtMs && clock.now() < stopsAtMs) {
                    call.ticket.recordEvent();
                    call.isOpen = false;
                    continue;
                }
                const waitMs = silenceLimits.firstEventWaitMs({
                    waitedMs: clock.now(),
                    expectedMs: call.ticket.expectedFirstEventMs,
                    quietMs: counts.quietMs,
                    remainingMs: 8_000 - clock.now(),
                    elsewhereMs: () => PROMPT_TOKENS / TOKENS_PER_MS,
                });
                call.isMoved = waitMs === 0;
                call.isOpen = !call.isMoved;
            }
        }
        return calls.filter(({ isMoved }) => isMoved).length;
    }

    vitest.it("leaves all prompts at the engine that reads them", () => {
        vitest.expect(countMoved(3, Infinity)).toBe(0);
    });

    vitest.it("moves the prompts that the stopped engine has not read", () => {
        vitest.expect(countMoved(3, 1_200)).toBe(2);
    });
});
