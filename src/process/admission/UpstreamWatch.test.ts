import * as vitest from "vitest";
import * as engineStandIns from "../../../standins/EngineStandIn";
import * as standIns from "../../../standins/PlainServiceStandIn";
import * as clocks from "../../common/Clock";
import * as engineUpstreams from "../adapters/EngineUpstream";
import * as plainUpstreams from "../adapters/PlainUpstream";
import * as limits from "./AdmissionLimit";
import * as watches from "./UpstreamWatch";

const { afterEach, beforeEach, describe, expect, it } = vitest;

const clock = clocks.systemClock;
const call = { request: "r", operation: "run", priority: 0, remainingMs: 5_000, body: {}, usesFreshConnection: false };

async function waitFor(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await clocks.sleep(clock, 5);
    }
}

describe("UpstreamWatch", () => {
    let standIn: standIns.PlainServiceStandIn;
    let limit: limits.AdmissionLimit;
    let watch: watches.UpstreamWatch;
    let upstream: ReturnType<typeof plainUpstreams.createPlainService>;
    let reasons: string[];
    let observedLimits: number[];

    beforeEach(async () => {
        standIn = await standIns.PlainServiceStandIn.listen();
        limit = new limits.AdmissionLimit(() => ({ coldConcurrency: 2, warmConcurrency: 4 }));
        for (let index = 0; index < 10; index++) {
            limit.release(limit.tryAcquire()!, { kind: "success", latencyMs: 1 });
        }
        reasons = [];
        observedLimits = [];
        limit.onCold(reason => reasons.push(reason));
        limit.onChange(() => observedLimits.push(limit.limit));
        upstream = plainUpstreams.createPlainService(standIn.address);
        watch = new watches.UpstreamWatch(clock, upstream, limit);
        watch.start();
        await waitFor(() => watch.boot !== undefined);
    });

    afterEach(() => {
        watch.dispose();
        standIn.dispose();
    });

    it("holds the cold concurrency from a lost connection until a probe returns the same boot identity", async () => {
        standIn.cutConnections();
        await waitFor(() => observedLimits.length >= 2);
        expect([observedLimits[0], limit.limit, reasons]).toEqual([2, 4, []]);
    });

    it("becomes cold when the probe after a lost connection returns another boot identity", async () => {
        standIn.restart();
        await waitFor(() => observedLimits.length >= 3);
        expect([observedLimits[0], limit.limit, reasons.length]).toEqual([2, 2, 1]);
    });

    it("doesn't count as drained while the engine reports a predecessor's call", async () => {
        const engine = await engineStandIns.EngineStandIn.listen({ msPerToken: 10 });
        const port = engineUpstreams.createModelEngine(engine.address);
        const order: string[] = [];
        const body = { maxTokens: 30 };
        const predecessor = port.call({ ...call, body }, new AbortController().signal).then(() => order.push("ended"));
        await waitFor(() => engine.capacity.active === 1);
        const successor = new watches.UpstreamWatch(clock, port, limit);
        successor.start();
        await waitFor(() => successor.isDrainWaitOver);
        order.push("settled");
        await predecessor;
        expect(order).toEqual(["ended", "settled"]);
        successor.dispose();
        engine.dispose();
    });

    it("suspects no restart when this side closes a connection", async () => {
        standIn.faults = { hang: true };
        const abort = new AbortController();
        const pending = upstream.call(call, abort.signal);
        await waitFor(() => standIn.calls >= 2);
        abort.abort();
        await pending;
        standIn.faults = {};
        await upstream.call(call, new AbortController().signal);
        expect(observedLimits).toEqual([]);
    });
});
