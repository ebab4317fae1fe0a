import * as stream from "node:stream";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as moves from "./StreamMove";
import * as senders from "./UpstreamSender";

const rejected: senders.SendOutcome = { kind: "not-run", isInputLost: false };
const none: senders.SendOutcome = { kind: "none" };
const lost = { kind: "unknown", code: undefined } as unknown as senders.SendOutcome;

/** An answer whose headers have arrived, as far as a move looks at it. */
function createAnswer(status: number): senders.SendOutcome {
    const answer = { status, cancel: vitest.vi.fn() };
    return { kind: "answer", answer, sent: { ticket: { end: vitest.vi.fn() } } } as unknown as senders.SendOutcome;
}

/** When the things that may happen during a move do so, counted from its start; undefined for never. */
interface Course {
    readonly preparedAtMs?: number;
    readonly isPreparationFailed?: boolean;
    /** 0 unless given; undefined if the other instance isn't reached. */
    readonly reachedAtMs?: number | undefined;
    readonly sentOutcomeAtMs?: number;
    readonly outcome: senders.SendOutcome;
    readonly continuesAtMs?: number;
    readonly endsAtMs?: number;
}

interface Result {
    readonly end: senders.SendOutcome | undefined;
    readonly leftAtMs: number | undefined;
    readonly isSendAborted: boolean;
}

async function play(course: Course): Promise<Result> {
    const clock = new clocks.ManualClock(0);
    const reachedAtMs = "reachedAtMs" in course ? course.reachedAtMs : 0;
    const body = new stream.PassThrough();
    let leftAtMs: number | undefined;
    let sendSignal: AbortSignal | undefined;
    let end: senders.SendOutcome | "pending" | undefined = "pending";
    const after = <T>(atMs: number | undefined, value: T, signal?: AbortSignal): Promise<T | senders.SendOutcome> =>
        new Promise(resolve => {
            if (atMs !== undefined) {
                clock.schedule(atMs - clock.now(), () => resolve(value));
            }
            signal?.addEventListener("abort", () => resolve({ kind: "cancelled" }));
        });
    if (course.continuesAtMs !== undefined) {
        clock.schedule(course.continuesAtMs, () => void body.write("id: 4"));
    }
    if (course.endsAtMs !== undefined) {
        clock.schedule(course.endsAtMs, () => void body.end());
    }
    const moving = moves.moveStream({
        clock,
        continuation: new moves.BodyContinuation(body),
        leave: () => leftAtMs ??= clock.now(),
        prepare: async () =>
            course.preparedAtMs === undefined || await after(course.preparedAtMs, !course.isPreparationFailed) === true,
        send: (signal, onDispatched) => {
            sendSignal = signal;
            if (reachedAtMs !== undefined) {
                clock.schedule(reachedAtMs, onDispatched);
            }
            return after(course.sentOutcomeAtMs, course.outcome, signal) as Promise<senders.SendOutcome>;
        },
        signal: new AbortController().signal,
    });
    void moving.then(outcome => end = outcome);
    for (; clock.now() < 2_000; clock.advance(10)) {
        await new Promise(resolve => setImmediate(resolve));
    }
    await new Promise(resolve => setImmediate(resolve));
    vitest.expect(end).not.toBe("pending");
    return { end: await moving, leftAtMs, isSendAborted: sendSignal?.aborted === true };
}

vitest.describe("a silent stream stays at its instance", () => {
    const accepted = createAnswer(200);
    const cases: readonly (Course & { readonly name: string; readonly isSendAborted: boolean })[] = [
        { name: "when the call is rejected", outcome: rejected, sentOutcomeAtMs: 10, isSendAborted: true },
        {
            name: "when the other instance isn't reached",
            outcome: rejected,
            reachedAtMs: undefined,
            sentOutcomeAtMs: 400,
            isSendAborted: true,
        },
        { name: "when no instance is left", outcome: none, sentOutcomeAtMs: 0, isSendAborted: true },
        { name: "when the send fails", outcome: lost, sentOutcomeAtMs: 50, isSendAborted: true },
        { name: "when the other instance fails", outcome: createAnswer(500), sentOutcomeAtMs: 50, isSendAborted: true },
        {
            name: "when its inputs can't be computed",
            outcome: accepted,
            preparedAtMs: 800,
            isPreparationFailed: true,
            isSendAborted: false,
        },
        {
            name: "when it continues while the inputs are computed",
            outcome: accepted,
            preparedAtMs: 800,
            continuesAtMs: 500,
            isSendAborted: false,
        },
        {
            name: "when it continues before another instance has accepted the call",
            outcome: accepted,
            sentOutcomeAtMs: 150,
            continuesAtMs: 100,
            isSendAborted: true,
        },
        {
            name: "when it ends while the inputs are computed",
            outcome: accepted,
            preparedAtMs: 800,
            endsAtMs: 500,
            isSendAborted: false,
        },
        {
            name: "when it ends before another instance has accepted the call",
            outcome: accepted,
            sentOutcomeAtMs: 150,
            endsAtMs: 100,
            isSendAborted: true,
        },
    ];
    vitest.it.each(cases)("$name", async ({ isSendAborted, ...course }) => {
        vitest.expect(await play(course)).toEqual({ end: undefined, leftAtMs: undefined, isSendAborted });
    });
});

vitest.describe("a silent stream is moved", () => {
    const accepted = createAnswer(200);
    vitest.it.each([
        { name: "once another instance has accepted the call", sentOutcomeAtMs: 120, outcome: accepted, leftAtMs: 120 },
        { name: "200 ms after the send without an answer", sentOutcomeAtMs: 900, outcome: lost, leftAtMs: 200 },
        {
            name: "200 ms after the other instance was reached",
            reachedAtMs: 300,
            sentOutcomeAtMs: 900,
            outcome: lost,
            leftAtMs: 500,
        },
    ])("$name", async ({ leftAtMs, ...course }) => {
        vitest.expect(await play(course)).toEqual({ end: course.outcome, leftAtMs, isSendAborted: false });
    });
});
