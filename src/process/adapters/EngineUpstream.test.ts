import * as fc from "fast-check";
import * as vitest from "vitest";
import * as standIns from "../../../standins/EngineStandIn";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as engines from "./EngineUpstream";

const { afterEach, describe, expect, it } = vitest;

const SEED = 6;
const neverAborted = new AbortController().signal;
const standInsToDispose: standIns.EngineStandIn[] = [];

async function openEngine(options: standIns.EngineOptions = {}): Promise<[standIns.EngineStandIn, ports.ModelEngine]> {
    const standIn = await standIns.EngineStandIn.listen(options);
    standInsToDispose.push(standIn);
    return [standIn, engines.createModelEngine(standIn.address)];
}

function createCall(changes: Partial<ports.UpstreamCall> = {}): ports.UpstreamCall {
    const body = { prompt: "gold leaf", maxTokens: 10 };
    return {
        request: "r",
        operation: "draft",
        priority: 5,
        remainingMs: 10_000,
        body,
        usesFreshConnection: false,
        ...changes,
    };
}

interface StreamResult {
    readonly code: codes.ResultCode;
    readonly tokens: readonly string[];
}

async function stream(
    engine: ports.ModelEngine,
    offset = 0,
    call = createCall(),
    signal = neverAborted,
): Promise<StreamResult> {
    const tokens: string[] = [];
    const reply = await engine.stream(call, offset, part => void tokens.push(...part.tokens), signal);
    return { code: reply.isOk ? reply.value.code : reply.error.code, tokens };
}

function codeOf<T>(reply: Awaited<ports.Reply<T>>): codes.ResultCode {
    return reply.isOk ? codes.codes.ok : reply.error.code;
}

/** A complete HTTP response with the given body, encoded in base64. */
function encodeResponse(body: string): string {
    return Buffer.from(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body}`).toString("base64");
}

afterEach(() => standInsToDispose.splice(0).forEach(standIn => standIn.dispose()));

describe("EngineUpstream calls and streams", () => {
    it("generates the same tokens in a call, in a stream, and from an offset on another engine", async () => {
        const [, first] = await openEngine();
        const [, second] = await openEngine({ tokensPerPart: 3 });
        const complete = await stream(first);
        const resumed = await stream(second, 4);
        const called = await first.call(createCall(), neverAborted);
        expect(complete.code).toBe(codes.codes.ok);
        expect(complete.tokens.length).toBe(10);
        expect(resumed.tokens).toEqual(complete.tokens.slice(4));
        expect(called.unwrapOr(undefined)).toMatchObject({ body: { text: complete.tokens.join("") }, tokens: 10 });
    });

    const faultCases: [string, standIns.EngineFaults, codes.ResultCode, number][] = [
        ["a crash during the stream", { dieAfterTokens: 6 }, codes.codes.streamBroken, 6],
        ["no last line", { dropStreamEnd: true }, codes.codes.streamBroken, 10],
        ["status 500", { status: 500 }, codes.codes.upstreamFailed, 0],
        ["status 422", { status: 422 }, codes.codes.upstreamRejected, 0],
        ["malformed JSON", { malformed: true }, codes.codes.streamBroken, 0],
        ["an oversized line", { oversizedBytes: 600_000 }, codes.codes.malformedAnswer, 0],
        ["a reset before the answer", { down: true }, codes.codes.upstreamReset, 0],
        ["an answer to another request", { otherRequest: true }, codes.codes.malformedAnswer, 0],
        ["a line that isn't JSON", { rawBase64: encodeResponse("{x\n") }, codes.codes.malformedAnswer, 0],
        [
            "a gap before a part",
            { rawBase64: encodeResponse("{\"offset\":3,\"tokens\":[\"a\"]}\n") },
            codes.codes.malformedAnswer,
            0,
        ],
        [
            "an end before all tokens",
            { rawBase64: encodeResponse("{\"end\":true,\"tokens\":3}\n") },
            codes.codes.streamBroken,
            0,
        ],
        [
            "a line after the end",
            { rawBase64: encodeResponse("{\"end\":true,\"tokens\":0}\n{\"offset\":0,\"tokens\":[]}\n") },
            codes.codes.malformedAnswer,
            0,
        ],
        [
            // Guards against streams that take the event loop for as long as an engine sends parts that bring nothing.
            "parts without tokens",
            {
                rawBase64: encodeResponse(
                    "{\"offset\":0,\"tokens\":[]}\n".repeat(2_000) + "{\"end\":true,\"tokens\":0}\n",
                ),
            },
            codes.codes.streamBroken,
            0,
        ],
    ];
    it.each(faultCases)("maps a stream with %s to its result code", async (_name, fault, code, tokens) => {
        const [standIn, engine] = await openEngine();
        standIn.faults = fault;
        const streamed = await stream(engine);
        expect(streamed.code).toBe(code);
        expect(streamed.tokens.length).toBe(tokens);
    });

    it("cancels a stream on the engine when aborted", async () => {
        const [standIn, engine] = await openEngine({ msPerToken: 5 });
        const controller = new AbortController();
        const call = createCall({ body: { prompt: "long", maxTokens: 100_000 } });
        const reply = await engine.stream(call, 0, () => controller.abort(), controller.signal);
        expect(codeOf(reply)).toBe(codes.codes.cancelledRunning);
        await vitest.vi.waitFor(() => expect([standIn.cancelled, standIn.capacity.active]).toEqual([1, 0]));
    });

    it("times out a stream that is too slow", async () => {
        const [, engine] = await openEngine({ msPerToken: 100 });
        expect((await stream(engine, 0, createCall({ remainingMs: 50 }))).code).toBe(codes.codes.upstreamTimeout);
    });

    it("never throws on random lines", async () => {
        const [standIn, engine] = await openEngine();
        await fc.assert(
            fc.asyncProperty(fc.oneof(fc.json(), fc.string()), async line => {
                standIn.faults = { rawBase64: encodeResponse(`${line}\n`) };
                const { code } = await stream(engine);
                expect([codes.codes.malformedAnswer, codes.codes.streamBroken]).toContain(code);
            }),
            { seed: SEED, numRuns: 40 },
        );
    });

    it("rejects a model that isn't loaded", async () => {
        const [, engine] = await openEngine({ models: ["a"] });
        expect((await stream(engine, 0, createCall({ model: "b" }))).code).toBe(codes.codes.upstreamRejected);
        expect((await stream(engine, 0, createCall({ model: "a" }))).code).toBe(codes.codes.ok);
    });
});

describe("EngineUpstream orders, reports and cache", () => {
    const orderCases: [boolean, number, codes.ResultCode, string[]][] = [
        [true, 6, codes.codes.ok, ["m", "n"]],
        [true, 4, codes.codes.orderRefused, ["m"]],
        [false, 4, codes.codes.ok, ["m", "n"]],
    ];
    it.each(orderCases)(
        "with fencing checks %s, an order with fencing token %s after 5 gives %o",
        async (checksFencing, fence, code, models) => {
            const [standIn, engine] = await openEngine({ checksFencing });
            const first = await engine.order({ fence: 5, action: "load", subject: "m" }, neverAborted);
            const second = await engine.order({ fence, action: "load", subject: "n" }, neverAborted);
            expect(first.unwrapOr(undefined)).toMatchObject({ models: ["m"], fence: checksFencing ? 5 : 0 });
            expect(codeOf(second)).toBe(code);
            expect(standIn.models).toEqual(models);
            expect(standIn.orders.map(order => order.fence)).toEqual([5, fence]);
        },
    );

    it("reads a stale report after a restart, while the boot header is up to date", async () => {
        const [standIn, engine] = await openEngine({ reportLagMs: 600_000, models: ["m"] });
        const before = (await engine.report(neverAborted)).unwrapOr(undefined);
        standIn.restart(false);
        const after = (await engines.createModelEngine(standIn.address).report(neverAborted)).unwrapOr(undefined);
        const probed = await engine.probe(neverAborted);
        expect(after).toEqual(before);
        expect(probed.unwrapOr({ boot: "" }).boot).not.toBe(before?.boot);
    });

    it("reads cache events with gaps, and delayed ones", async () => {
        const [, current] = await openEngine({ cacheEntries: 2, cacheEventGapEvery: 2 });
        const [, delayed] = await openEngine({ cacheEventDelayMs: 600_000 });
        for (const prefix of ["a", "b", "c"]) {
            await current.call(createCall({ body: { prefix } }), neverAborted);
            await delayed.call(createCall({ body: { prefix } }), neverAborted);
        }
        const held = { sequence: 1, prefix: "a", held: true };
        const later = { sequence: 3, prefix: "c", held: true };
        expect((await current.cacheEvents(0, neverAborted)).unwrapOr([])).toEqual([held, later]);
        expect((await current.cacheEvents(1, neverAborted)).unwrapOr([])).toEqual([later]);
        expect((await delayed.cacheEvents(0, neverAborted)).unwrapOr([])).toEqual([]);
    });

    it("copies a cache entry from one engine to another", async () => {
        const [, source] = await openEngine();
        const [standIn, target] = await openEngine();
        await source.call(createCall({ body: { prefix: "a/ä" } }), neverAborted);
        const content = (await source.exportCache("a/ä", neverAborted)).unwrapOr(undefined);
        expect(codeOf(await target.exportCache("a/ä", neverAborted))).toBe(codes.codes.upstreamRejected);
        expect(codeOf(await target.importCache("a/ä", content, neverAborted))).toBe(codes.codes.ok);
        await target.call(createCall({ body: { prefix: "a/ä" } }), neverAborted);
        expect([standIn.cache.hits, standIn.cache.misses]).toEqual([1, 0]);
    });

    const faultCases: [string, standIns.EngineFaults, codes.ResultCode][] = [
        ["malformed", { malformed: true }, codes.codes.malformedAnswer],
        ["of the wrong shape", { rawBase64: encodeResponse("{\"boot\":7}") }, codes.codes.malformedAnswer],
        ["an error status", { status: 503 }, codes.codes.upstreamFailed],
        ["lost", { down: true }, codes.codes.upstreamReset],
    ];
    it.each(faultCases)("fails if the response is %s", async (_name, fault, code) => {
        const [standIn, engine] = await openEngine();
        standIn.faults = fault;
        expect(codeOf(await engine.report(neverAborted))).toBe(code);
        expect(codeOf(await engine.cacheEvents(0, neverAborted))).toBe(code);
        expect(codeOf(await engine.order({ fence: 1, action: "role", subject: "decode" }, neverAborted))).toBe(code);
    });
});

describe("EngineStandIn under load", () => {
    it("fails above its concurrency, which is higher when warm and lower after a restart", async () => {
        const [standIn, engine] = await openEngine({
            coldConcurrency: 1,
            warmConcurrency: 2,
            warmAfter: 1,
            msPerToken: 2,
        });
        const cold = await Promise.all([
            engine.call(createCall(), neverAborted),
            engine.call(createCall(), neverAborted),
        ]);
        await engine.call(createCall(), neverAborted);
        const warm = await Promise.all([
            engine.call(createCall(), neverAborted),
            engine.call(createCall(), neverAborted),
        ]);
        expect(cold.map(codeOf)).toEqual([codes.codes.upstreamFailed, codes.codes.upstreamFailed]);
        expect(warm.map(codeOf)).toEqual([codes.codes.ok, codes.codes.ok]);
        expect(standIn.capacity.violations).toEqual([{ active: 2, bears: 1 }]);
        standIn.restart();
        expect([standIn.capacity.concurrencyLimit, standIn.capacity.excess]).toEqual([1, 1]);
    });
});
