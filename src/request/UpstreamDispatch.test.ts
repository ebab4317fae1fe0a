import * as result from "true-myth/result";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as ports from "../common/Ports";
import * as limits from "../process/admission/AdmissionLimit";
import * as dispatches from "./UpstreamDispatch";

const { describe, expect, it } = vitest;

const call: dispatches.DispatchedCall = {
    request: "r",
    operation: "generate",
    priority: 0,
    remainingMs: 1_000,
    body: {},
    usesFreshConnection: false,
    stream: undefined,
    canAbandonAtDeadline: true,
};
const answer: ports.UpstreamAnswer = { code: codes.codes.ok, body: {}, tokens: 0, boot: "boot-2" };

/** A dispatch to an upstream that answers on demand, or fails once the exchange is aborted. */
class Fixture {
    readonly clock = new clocks.ManualClock();
    readonly events: string[] = [];
    readonly caller = new AbortController();
    readonly stopController = new AbortController();
    onPart: (part: ports.UpstreamPart) => void = () => undefined;
    private resolveReply: (reply: result.Result<ports.UpstreamAnswer, codes.Failure>) => void = () => undefined;

    constructor(private readonly isCold: boolean) {}

    run(isStream = false): Promise<dispatches.DispatchOutcome> {
        const engine = {
            stream: (_: ports.UpstreamCall, _offset: number, onPart: typeof this.onPart, signal: AbortSignal) => {
                this.onPart = onPart;
                return engine.call(_, signal);
            },
            call: (_: ports.UpstreamCall, signal: AbortSignal) =>
                new Promise<result.Result<ports.UpstreamAnswer, codes.Failure>>(resolve => {
                    this.resolveReply = resolve;
                    signal.addEventListener("abort", () => {
                        this.events.push("closed");
                        resolve(result.err(codes.failure(codes.codes.cancelledRunning, "aborted")));
                    });
                }),
        };
        const dispatch = new dispatches.UpstreamDispatch({
            clock: this.clock,
            engine: engine as unknown as ports.ModelEngine,
            reportBoot: boot => this.events.push(boot),
            isCold: () => this.isCold,
            stopSignal: this.stopController.signal,
        }, { queuedMs: 0, finish: (completion: limits.Completion) => this.events.push(completion.kind) });
        const stream = isStream ? { offset: 0, onPart: () => undefined } : undefined;
        return dispatch.run({ ...call, stream }, this.caller.signal);
    }

    answer(): void {
        this.resolveReply(result.ok(answer));
    }

    /** Lets pending promise callbacks run. */
    async flushPromises(): Promise<void> {
        await new Promise(resolve => setImmediate(resolve));
    }
}

describe("UpstreamDispatch", () => {
    it("reports the boot identity before it releases the slot", async () => {
        const fixture = new Fixture(false);
        const outcome = fixture.run();
        fixture.answer();
        expect((await outcome).reply.isOk).toBe(true);
        expect(fixture.events).toEqual(["boot-2", "success"]);
    });

    const causes: [string, (fixture: Fixture) => void, codes.ResultCode, string][] = [
        ["a caller disconnects", fixture => fixture.caller.abort(), codes.codes.cancelledRunning, "neutral"],
        ["a deadline passes", fixture => fixture.clock.advance(1_000), codes.codes.upstreamTimeout, "failed"],
    ];
    it.each(causes)("when %s, keeps the slot of a cold upstream until it answers", async (_, act, code, completion) => {
        const fixture = new Fixture(true);
        const outcome = fixture.run();
        act(fixture);
        const { reply } = await outcome;
        expect(reply.isErr && reply.error.code).toBe(code);
        fixture.clock.advance(5_000);
        await fixture.flushPromises();
        expect(fixture.events).toEqual([]);
        fixture.answer();
        await fixture.flushPromises();
        expect(fixture.events).toEqual(["closed", "boot-2", completion]);
    });

    it.each(causes)("when %s, keeps a warm upstream's slot for the notice time", async (_, act, code, completion) => {
        const fixture = new Fixture(false);
        const outcome = fixture.run();
        act(fixture);
        const { reply } = await outcome;
        expect(reply.isErr && reply.error.code).toBe(code);
        expect(fixture.events).toEqual(["closed"]);
        fixture.clock.advance(50);
        await fixture.flushPromises();
        expect(fixture.events).toEqual(["closed", completion]);
    });

    it.each([["the process stops", 0], ["a cold upstream never answers", 30_000]])(
        "ends an abandoned call when %s",
        async (_, waitMs) => {
            const fixture = new Fixture(true);
            const outcome = fixture.run();
            fixture.caller.abort();
            await outcome;
            if (waitMs > 0) {
                fixture.clock.advance(waitMs);
            }
            else {
                fixture.stopController.abort();
            }
            await fixture.flushPromises();
            expect(fixture.events).toEqual(["closed", "neutral"]);
        },
    );

    it.each([["cold", true], ["warm", false]])(
        "closes an abandoned stream that has begun, and keeps its slot for the notice time of a %s upstream",
        async (_, isCold) => {
            const fixture = new Fixture(isCold);
            const outcome = fixture.run(true);
            fixture.onPart({ offset: 0, tokens: ["a"] });
            fixture.clock.advance(40);
            fixture.onPart({ offset: 1, tokens: ["b"] });
            fixture.caller.abort();
            expect((await outcome).reply.isErr).toBe(true);
            fixture.clock.advance(79);
            await fixture.flushPromises();
            expect(fixture.events).toEqual(["closed"]);
            fixture.clock.advance(1);
            await fixture.flushPromises();
            expect(fixture.events).toEqual(["closed", "neutral"]);
        },
    );
});
