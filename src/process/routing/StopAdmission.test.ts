import * as vitest from "vitest";
import * as admissions from "./StopAdmission";

const STOP: admissions.PlannedStop = { startedMs: 1_000, deadlineMs: 8_500 };
const DEADLINE_MS = 5_000;

/** A call that arrives so long after the start of the stop, with its deadline as in a burst of five-second calls. */
function arrived(
    sinceMs: number,
    { expectedMs = 1_000, ...change }: Partial<Omit<admissions.ArrivedCall, "expectedMs">> & { expectedMs?: number } =
        {},
): admissions.ArrivedCall {
    const arrivedMs = STOP.startedMs + sinceMs;
    const hardDeadlineAtMs = arrivedMs + DEADLINE_MS;
    return { arrivedMs, expectedMs: () => expectedMs, hardDeadlineAtMs, isStream: true, ...change };
}

vitest.describe("a stopping entry without a successor", () => {
    // Guards against streams that are passed on and then cut at the end of the stop (review/6).
    vitest.it.each([
        { name: "a stream at once", call: arrived(0), isTaken: true },
        { name: "a stream soon", call: arrived(2_999, { expectedMs: 4_501 }), isTaken: true },
        { name: "a stream late, though it is expected to end in time", call: arrived(3_000), isTaken: false },
        { name: "a stream at the last moment", call: arrived(4_499), isTaken: false },
        {
            name: "a stream late whose deadline ends it in time",
            call: arrived(4_000, { hardDeadlineAtMs: STOP.deadlineMs }),
            isTaken: true,
        },
        {
            name: "a call that is expected to take longer, but whose deadline ends it in time",
            call: arrived(4_000, { expectedMs: 5_000, hardDeadlineAtMs: STOP.deadlineMs }),
            isTaken: true,
        },
        { name: "a stream soon that takes too long", call: arrived(2_900, { expectedMs: 4_601 }), isTaken: false },
        { name: "a plain call late", call: arrived(4_000, { isStream: false }), isTaken: true },
        {
            name: "a plain call late that takes too long",
            call: arrived(4_000, { isStream: false, expectedMs: 3_501 }),
            isTaken: false,
        },
    ])("takes $name: $isTaken", ({ call, isTaken }) => {
        vitest.expect(admissions.isTaken(STOP, call)).toBe(isTaken);
    });

    // The load of review/6: streams that arrive all the time, and whose first event comes after 3 s instead of 0.1 s.
    vitest.it("cuts no stream that arrived later than 3 s after the start of the stop", () => {
        const taken = Array.from({ length: 450 }, (_, index) => arrived(index * 10, { expectedMs: 860 }))
            .filter(call => admissions.isTaken(STOP, call));
        const lateMs = taken.map(({ arrivedMs }) => arrivedMs - STOP.startedMs).filter(sinceMs => sinceMs > 3_000);
        vitest.expect(taken.length).toBeGreaterThan(250);
        vitest.expect(lateMs).toEqual([]);
    });
});
