import * as fc from "fast-check";
import * as vitest from "vitest";
import * as standIns from "../../../standins/EngineStandIn";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as engines from "./EngineUpstream";

const { afterEach, describe, expect, it } = vitest;

const SEED = 6;
const never = new AbortController().signal;
const opened: standIns.EngineStandIn[] = [];

async function open(options: standIns.EngineOptions = {}): Promise<[standIns.EngineStandIn, ports.ModelEngine]> {
    const standIn = await standIns.EngineStandIn.listen(options);
    opened.push(standIn);
    return [standIn, engines.createModelEngine(standIn.address)];
}

function makeCall(changes: Partial<ports.UpstreamCall> = {}): ports.UpstreamCall {
    const body = { prompt: "gold leaf", maxTokens: 10 };
    return {
        request: "r",
        operation: "draft",
        priority: 5,
        remainingMs: 10_000,
        body,
        freshConnection: false,
        ...changes,
    };
}

interface Streamed {
    readonly code: codes.ResultCode;
    readonly tokens: readonly string[];
}

async function stream(engine: ports.ModelEngine, offset = 0, call = makeCall(), signal = never): Promise<Streamed> {
    const tokens: string[] = [];
    const reply = await engine.stream(call, offset, part => void tokens.push(...part.tokens), signal);
    return { code: reply.isOk ? reply.value.code : reply.error.code, tokens };
}

function codeOf<T>(reply: Awaited<ports.Reply<T>>): codes.ResultCode {
    return reply.isOk ? codes.codes.ok : reply.error.code;
}

/** A whole HTTP answer with this body, base64. */
function rawAnswer(body: string): string {
    return Buffer.from(`HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n${body}`).toString("base64");
}

afterEach(() => opened.splice(0).forEach(standIn => standIn.dispose()));

describe("EngineUpstream calls and streams", () => {
    it("generates the same tokens by call, by stream, and on another engine from an offset", async () => {
        const [, first] = await open();
        const [, second] = await open({ tokensPerPart: 3 });
        const whole = await stream(first);
        const rest = await stream(second, 4);
        const called = await first.call(makeCall(), never);
        expect(whole.code).toBe(codes.codes.ok);
        expect(whole.tokens.length).toBe(10);
        expect(rest.tokens).toEqual(whole.tokens.slice(4));
        expect(called.unwrapOr(undefined)).toMatchObject({ body: { text: whole.tokens.join("") }, tokens: 10 });
    });

    const faults: [string, standIns.EngineFaults, codes.ResultCode, number][] = [
        ["death in mid-stream", { dieAfterTokens: 6 }, codes.codes.streamBroken, 6],
        ["no last line", { dropStreamEnd: true }, codes.codes.streamBroken, 10],
        ["status 500", { status: 500 }, codes.codes.upstreamFailed, 0],
        ["status 422", { status: 422 }, codes.codes.upstreamRejected, 0],
        ["malformed", { malformed: true }, codes.codes.streamBroken, 0],
        ["an endless line", { oversizedBytes: 600_000 }, codes.codes.malformedAnswer, 0],
        ["a reset before the answer", { down: true }, codes.codes.upstreamReset, 0],
        ["an answer to another request", { otherRequest: true }, codes.codes.malformedAnswer, 0],
        ["a line of no JSON", { rawBase64: rawAnswer("{x\n") }, codes.codes.malformedAnswer, 0],
        [
            "a part too far on",
            { rawBase64: rawAnswer("{\"offset\":3,\"tokens\":[\"a\"]}\n") },
            codes.codes.malformedAnswer,
            0,
        ],
        ["an end too early", { rawBase64: rawAnswer("{\"end\":true,\"tokens\":3}\n") }, codes.codes.streamBroken, 0],
        [
            "a line after the last",
            { rawBase64: rawAnswer("{\"end\":true,\"tokens\":0}\n{\"offset\":0,\"tokens\":[]}\n") },
            codes.codes.malformedAnswer,
            0,
        ],
    ];
    it.each(faults)("ends a stream with %s", async (_name, fault, code, tokens) => {
        const [standIn, engine] = await open();
        standIn.faults = fault;
        const streamed = await stream(engine);
        expect(streamed.code).toBe(code);
        expect(streamed.tokens.length).toBe(tokens);
    });

    it("cancels a stream on the engine when aborted", async () => {
        const [standIn, engine] = await open({ msPerToken: 5 });
        const controller = new AbortController();
        const call = makeCall({ body: { prompt: "long", maxTokens: 100_000 } });
        const reply = await engine.stream(call, 0, () => controller.abort(), controller.signal);
        expect(codeOf(reply)).toBe(codes.codes.cancelledRunning);
        await vitest.vi.waitFor(() => expect([standIn.cancelled, standIn.capacity.active]).toEqual([1, 0]));
    });

    it("times out a stream that is too slow", async () => {
        const [, engine] = await open({ msPerToken: 100 });
        expect((await stream(engine, 0, makeCall({ remainingMs: 50 }))).code).toBe(codes.codes.upstreamTimeout);
    });

    it("never throws on random lines", async () => {
        const [standIn, engine] = await open();
        await fc.assert(
            fc.asyncProperty(fc.oneof(fc.json(), fc.string()), async line => {
                standIn.faults = { rawBase64: rawAnswer(`${line}\n`) };
                const { code } = await stream(engine);
                expect([codes.codes.malformedAnswer, codes.codes.streamBroken]).toContain(code);
            }),
            { seed: SEED, numRuns: 40 },
        );
    });

    it("rejects a model that isn't loaded", async () => {
        const [, engine] = await open({ models: ["a"] });
        expect((await stream(engine, 0, makeCall({ model: "b" }))).code).toBe(codes.codes.upstreamRejected);
        expect((await stream(engine, 0, makeCall({ model: "a" }))).code).toBe(codes.codes.ok);
    });
});

describe("EngineUpstream orders, reports and cache", () => {
    const orders: [boolean, number, codes.ResultCode, string[]][] = [
        [true, 6, codes.codes.ok, ["m", "n"]],
        [true, 4, codes.codes.orderRefused, ["m"]],
        [false, 4, codes.codes.ok, ["m", "n"]],
    ];
    it.each(orders)(
        "with fencing checked %s, fence %s after 5 gives %o",
        async (checksFencing, fence, code, models) => {
            const [standIn, engine] = await open({ checksFencing });
            const first = await engine.order({ fence: 5, action: "load", subject: "m" }, never);
            const second = await engine.order({ fence, action: "load", subject: "n" }, never);
            expect(first.unwrapOr(undefined)).toMatchObject({ models: ["m"], fence: checksFencing ? 5 : 0 });
            expect(codeOf(second)).toBe(code);
            expect(standIn.models).toEqual(models);
            expect(standIn.orders.map(order => order.fence)).toEqual([5, fence]);
        },
    );

    it("serves a report that is stale after a restart while the boot header is not", async () => {
        const [standIn, engine] = await open({ reportLagMs: 600_000, models: ["m"] });
        const before = (await engine.report(never)).unwrapOr(undefined);
        standIn.restart(false);
        const after = (await engines.createModelEngine(standIn.address).report(never)).unwrapOr(undefined);
        const probed = await engine.probe(never);
        expect(after).toEqual(before);
        expect(probed.unwrapOr({ boot: "" }).boot).not.toBe(before?.boot);
    });

    it("publishes cache events with gaps, and late", async () => {
        const [, prompt] = await open({ cacheEntries: 2, cacheEventGapEvery: 2 });
        const [, late] = await open({ cacheEventDelayMs: 600_000 });
        for (const prefix of ["a", "b", "c"]) {
            await prompt.call(makeCall({ body: { prefix } }), never);
            await late.call(makeCall({ body: { prefix } }), never);
        }
        const held = { sequence: 1, prefix: "a", held: true };
        const later = { sequence: 3, prefix: "c", held: true };
        expect((await prompt.cacheEvents(0, never)).unwrapOr([])).toEqual([held, later]);
        expect((await prompt.cacheEvents(1, never)).unwrapOr([])).toEqual([later]);
        expect((await late.cacheEvents(0, never)).unwrapOr([])).toEqual([]);
    });

    it("moves a cache entry from one engine to another", async () => {
        const [, from] = await open();
        const [standIn, to] = await open();
        await from.call(makeCall({ body: { prefix: "a/ä" } }), never);
        const content = (await from.exportCache("a/ä", never)).unwrapOr(undefined);
        expect(codeOf(await to.exportCache("a/ä", never))).toBe(codes.codes.upstreamRejected);
        expect(codeOf(await to.importCache("a/ä", content, never))).toBe(codes.codes.ok);
        await to.call(makeCall({ body: { prefix: "a/ä" } }), never);
        expect([standIn.cache.hits, standIn.cache.misses]).toEqual([1, 0]);
    });

    const broken: [string, standIns.EngineFaults, codes.ResultCode][] = [
        ["malformed", { malformed: true }, codes.codes.malformedAnswer],
        ["of the wrong shape", { rawBase64: rawAnswer("{\"boot\":7}") }, codes.codes.malformedAnswer],
        ["an error", { status: 503 }, codes.codes.upstreamFailed],
        ["lost", { down: true }, codes.codes.upstreamReset],
    ];
    it.each(broken)("fails when the answer is %s", async (_name, fault, code) => {
        const [standIn, engine] = await open();
        standIn.faults = fault;
        expect(codeOf(await engine.report(never))).toBe(code);
        expect(codeOf(await engine.cacheEvents(0, never))).toBe(code);
        expect(codeOf(await engine.order({ fence: 1, action: "role", subject: "decode" }, never))).toBe(code);
    });
});

describe("EngineStandIn under load", () => {
    it("falls over above what it bears, and bears more when warm and less after a restart", async () => {
        const [standIn, engine] = await open({ coldConcurrency: 1, warmConcurrency: 2, warmAfter: 1, msPerToken: 2 });
        const cold = await Promise.all([engine.call(makeCall(), never), engine.call(makeCall(), never)]);
        await engine.call(makeCall(), never);
        const warm = await Promise.all([engine.call(makeCall(), never), engine.call(makeCall(), never)]);
        expect(cold.map(codeOf)).toEqual([codes.codes.upstreamFailed, codes.codes.upstreamFailed]);
        expect(warm.map(codeOf)).toEqual([codes.codes.ok, codes.codes.ok]);
        expect(standIn.capacity.violations).toEqual([{ active: 2, bears: 1 }]);
        standIn.restart();
        expect([standIn.capacity.concurrencyLimit, standIn.capacity.excess]).toEqual([1, 1]);
    });
});
