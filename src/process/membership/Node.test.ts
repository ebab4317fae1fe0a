import * as timers from "node:timers/promises";
import * as result from "true-myth/result";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as ports from "../../common/Ports";
import * as nodes from "./Node";

const { expect, it } = vitest;

/** Starts a node that reads `list` as its instance list; `delaysMs` records the delays scheduled on its clock. */
async function startNode(
    list: Promise<result.Result<readonly ports.ListedInstance[], codes.Failure>>,
): Promise<{ node: nodes.Node; reads: () => number; delaysMs: number[] }> {
    const manual = new clocks.ManualClock();
    const delaysMs: number[] = [];
    let reads = 0;
    const identity = { instance: "self", failureDomain: "west" };
    const clock: clocks.Clock = {
        now: () => manual.now(),
        wall: () => manual.wall(),
        schedule(delayMs, callback) {
            delaysMs.push(delayMs);
            return manual.schedule(delayMs, callback);
        },
        afterReads: callback => manual.afterReads(callback),
    };
    const source: ports.ConfigurationSource = {
        read() {
            reads++;
            return Promise.resolve(result.err(codes.failure(codes.codes.sourceUnavailable, "test")));
        },
        watch: () => Promise.resolve(result.err(codes.failure(codes.codes.sourceUnavailable, "test"))),
    };
    const node = new nodes.Node({
        settings: { ...identity, region: "region-1", peerListen: "127.0.0.1:0" },
        clock,
        log: logs.silentLog,
        random: () => 0.5,
        source,
        instanceList: { read: () => list },
        hello: { kind: "hello", protocol: 1, role: "entry", ...identity, incarnation: 1 },
        maxPeerConnections: 10,
        load: () => undefined,
        findWantedServices: () => [],
        isBusy: () => false,
        onMessage: () => undefined,
    });
    await node.start();
    await flushPromises();
    const started = { node, reads: () => reads, delaysMs };
    manual.advance(0);
    return started;
}

async function flushPromises(): Promise<void> {
    for (let turn = 0; turn < 5; turn++) {
        await timers.setImmediate();
    }
}

function createRows(count: number): ports.ListedInstance[] {
    return Array.from({ length: count }, (_, index) => ({
        instance: `other-${index}`,
        role: "entry",
        failureDomain: "west",
        address: `127.0.0.1:${index + 1}`,
        state: "leaving",
    }));
}

it("doesn't read the configuration before the instance list", async () => {
    let resolveList: (rows: result.Result<readonly ports.ListedInstance[], codes.Failure>) => void = () => undefined;
    const { node, reads, delaysMs } = await startNode(new Promise(resolve => resolveList = resolve));
    expect(reads()).toBe(0);
    resolveList(result.ok(createRows(2_000)));
    await flushPromises();
    expect(reads()).toBe(0);
    // Half (random is 0.5) of the 40 s over which 2,000 other processes spread their first reads at 50 per second.
    expect(delaysMs).toContain(20_000);
    node.dispose();
});

it("reads the configuration at once if the instance list can't be read", async () => {
    const unavailable = result.err<readonly ports.ListedInstance[], codes.Failure>(
        codes.failure(codes.codes.sourceUnavailable, "test"),
    );
    const { node, reads, delaysMs } = await startNode(Promise.resolve(unavailable));
    expect(delaysMs).toContain(0);
    await flushPromises();
    expect(reads()).toBe(1);
    node.dispose();
});
