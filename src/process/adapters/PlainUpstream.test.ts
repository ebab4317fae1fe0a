import * as fc from "fast-check";
import * as vitest from "vitest";
import * as standIns from "../../../standins/PlainServiceStandIn";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as plainUpstreams from "./PlainUpstream";

const { afterEach, beforeEach, describe, expect, it, vi } = vitest;

const SEED = 5;
const neverAborted = new AbortController().signal;

let upstream: standIns.PlainServiceStandIn;
let service: ports.PlainService;

function createCall(changes: Partial<ports.UpstreamCall> = {}): ports.UpstreamCall {
    return {
        request: "request-1",
        operation: "book",
        priority: 5,
        key: "schlüssel 1",
        remainingMs: 10_000,
        body: { frame: 7 },
        usesFreshConnection: false,
        ...changes,
    };
}

async function codeOf(call: ports.UpstreamCall, signal = neverAborted): Promise<codes.ResultCode> {
    const reply = await service.call(call, signal);
    return reply.isOk ? reply.value.code : reply.error.code;
}

beforeEach(async () => {
    upstream = await standIns.PlainServiceStandIn.listen();
    service = plainUpstreams.createPlainService(upstream.address);
});

afterEach(() => upstream.dispose());

describe.each([true, false])("PlainUpstream with usesFreshConnection %s", usesFreshConnection => {
    const faultCases: [string, standIns.PlainServiceFaults, Partial<ports.UpstreamCall>, codes.ResultCode, number][] = [
        ["no fault", {}, {}, codes.codes.ok, 1],
        ["a slow answer", { delayMs: 20 }, {}, codes.codes.ok, 1],
        ["a rejection", { byNumber: { 1: "reject" } }, {}, codes.codes.upstreamRejected, 0],
        ["status 404", { status: 404 }, {}, codes.codes.upstreamRejected, 0],
        ["status 500", { status: 500 }, {}, codes.codes.upstreamFailed, 0],
        ["status 302", { status: 302 }, {}, codes.codes.upstreamFailed, 0],
        ["a reset before the effect", { resetBeforeEffect: true }, {}, codes.codes.upstreamReset, 0],
        ["a reset after the effect", { resetAfterEffect: true }, {}, codes.codes.upstreamReset, 1],
        ["malformed JSON", { malformed: true }, {}, codes.codes.malformedAnswer, 0],
        ["an oversized answer", { oversizedBytes: 5_000_000 }, {}, codes.codes.malformedAnswer, 0],
        ["an answer to another request", { otherRequest: true }, {}, codes.codes.malformedAnswer, 1],
        ["bytes that aren't HTTP", { rawBase64: "AAECAwQF" }, {}, codes.codes.malformedAnswer, 0],
        ["a connection accepted and destroyed", { down: true }, {}, codes.codes.upstreamReset, 0],
        ["no time left", {}, { remainingMs: 0 }, codes.codes.expired, 0],
        ["a body that can't be encoded", {}, { body: 1n }, codes.codes.invalidRequest, 0],
        ["an operation that is invalid in a path", {}, { operation: "a b\n" }, codes.codes.invalidRequest, 0],
        ["a model that is invalid in a header", {}, { model: "a\r\nb" }, codes.codes.invalidRequest, 0],
    ];
    it.each(faultCases)("maps %s to its result code", async (_name, faults, changes, code, effects) => {
        upstream.faults = faults;
        expect(await codeOf(createCall({ usesFreshConnection, ...changes }))).toBe(code);
        expect(upstream.log.length).toBe(effects);
    });

    const hangCases: [string, standIns.PlainServiceFaults, number][] = [
        ["a hang", { hang: true }, 0],
        ["a hang after the effect", { byNumber: { 1: "hang" } }, 1],
    ];
    it.each(hangCases)("maps %s to its result code", async (_name, faults, effects) => {
        upstream.faults = faults;
        vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout"] });
        const code = codeOf(createCall({ usesFreshConnection, remainingMs: 50 }));
        while (upstream.calls < 1 || upstream.log.length < effects) {
            await new Promise(resolve => setImmediate(resolve));
        }
        vi.advanceTimersByTime(50);
        vi.useRealTimers();
        expect(await code).toBe(codes.codes.upstreamTimeout);
        expect(upstream.log.length).toBe(effects);
    });

    // Guards against reports that an upstream refuses connections when only its acceptance hasn't been read yet.
    const lateCases: [string, number, number, codes.ResultCode][] = [
        ["the time limit of the call", 50, 55, codes.codes.upstreamTimeout],
        ["the time limit of the call by far", 50, 100, codes.codes.upstreamTimeout],
        ["the time limit of connecting", 10_000, 1_100, codes.codes.ok],
    ];
    it.each(lateCases)(
        "reads that it's connected in a process late by %s",
        async (_name, remainingMs, lateMs, code) => {
            upstream.faults = { hang: code === codes.codes.upstreamTimeout };
            await new Promise(resolve => setImmediate(resolve)); // Timers run before the next read.
            const reply = codeOf(createCall({ usesFreshConnection, remainingMs }));
            await new Promise<void>(resolve => process.nextTick(resolve)); // The client begins to connect.
            const untilMs = clocks.systemClock.now() + lateMs;
            while (clocks.systemClock.now() < untilMs) {
                // Keeps the event loop busy.
            }
            expect(await reply).toBe(code);
        },
    );

    it("sends request, key and body, and returns body and boot identity", async () => {
        const reply = await service.call(createCall({ usesFreshConnection }), neverAborted);
        const body = { operation: "book", input: { frame: 7 }, sequence: 1 };
        expect(reply.unwrapOr(undefined)).toEqual({ code: codes.codes.ok, body, tokens: 0, boot: upstream.boot });
        expect(upstream.log).toMatchObject([{ request: "request-1", key: "schlüssel 1", operation: "book" }]);
    });

    it("reports a call as not run if the connection is refused", async () => {
        upstream.stop();
        expect(await codeOf(createCall({ usesFreshConnection }))).toBe(codes.codes.connectFailed);
        await upstream.start();
        expect(await codeOf(createCall({ usesFreshConnection }))).toBe(codes.codes.ok);
    });

    it("reports an abort as cancelled before dispatch and cancelled-running after it", async () => {
        expect(await codeOf(createCall({ usesFreshConnection }), AbortSignal.abort())).toBe(codes.codes.cancelled);
        const beforeDispatch = new AbortController();
        const undispatched = codeOf(createCall({ usesFreshConnection }), beforeDispatch.signal);
        beforeDispatch.abort();
        expect(await undispatched).toBe(codes.codes.cancelled);
        expect(upstream.log).toEqual([]);
        const afterDispatch = new AbortController();
        upstream.onCall = () => {
            setImmediate(() => afterDispatch.abort());
            return "hang";
        };
        expect(await codeOf(createCall({ usesFreshConnection }), afterDispatch.signal)).toBe(
            codes.codes.cancelledRunning,
        );
        expect(upstream.log.length).toBe(1);
    });

    it("never throws on random bytes", async () => {
        await fc.assert(
            fc.asyncProperty(fc.uint8Array({ maxLength: 100 }), async bytes => {
                upstream.faults = { rawBase64: Buffer.from(bytes).toString("base64") };
                const code = await codeOf(createCall({ usesFreshConnection }));
                expect([codes.codes.malformedAnswer, codes.codes.upstreamReset]).toContain(code);
            }),
            { seed: SEED, numRuns: 40 },
        );
    });
});

describe("PlainUpstream connections", () => {
    it("reports a reset on a reused connection as upstream-reset", async () => {
        expect(await codeOf(createCall())).toBe(codes.codes.ok);
        upstream.faults = { down: true };
        expect(await codeOf(createCall())).toBe(codes.codes.upstreamReset);
    });

    const reuseCases: [boolean, number][] = [[false, 1], [true, 3]];
    it.each(reuseCases)(
        "with usesFreshConnection %s, three calls open %s connections",
        async (usesFreshConnection, opened) => {
            for (let number = 0; number < 3; number++) {
                await codeOf(createCall({ usesFreshConnection }));
            }
            expect(upstream.connections).toBe(opened);
        },
    );

    const probeCases: [string, standIns.PlainServiceFaults, codes.ResultCode | undefined][] = [
        ["no fault", {}, undefined],
        ["a failure", { status: 500 }, codes.codes.upstreamFailed],
        ["a report that it is leaving", { leaving: true }, codes.codes.draining],
        ["an answer without boot identity", { status: 200 }, codes.codes.malformedAnswer],
        ["a hang", { hang: true }, codes.codes.upstreamTimeout],
    ];
    it.each(probeCases)("probes an upstream with %s", async (_name, faults, code) => {
        upstream.faults = faults;
        const reply = await service.probe(neverAborted);
        expect(reply.isErr ? reply.error.code : undefined).toBe(code);
        expect(reply.isErr || reply.value.boot === upstream.boot).toBe(true);
    });

    it("reads a different boot identity after a restart", async () => {
        const before = (await service.probe(neverAborted)).unwrapOr({ boot: "" });
        upstream.restart();
        const after = await plainUpstreams.createPlainService(upstream.address).probe(neverAborted);
        expect(after.unwrapOr(before)).not.toEqual(before);
    });
});
