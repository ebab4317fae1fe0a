import * as fc from "fast-check";
import * as vitest from "vitest";
import * as configurationStandIns from "../../../standins/ConfigurationServiceStandIn";
import * as standIns from "../../../standins/HttpStandIn";
import * as listStandIns from "../../../standins/InstanceListStandIn";
import * as weightStandIns from "../../../standins/WeightStoreStandIn";
import * as codes from "../../common/Codes";
import * as ports from "../../common/Ports";
import * as configurationServices from "./ConfigurationService";
import * as instanceLists from "./InstanceListService";
import * as weightStores from "./WeightStoreService";

const { afterEach, describe, expect, it } = vitest;

const SEED = 7;
const neverAborted = new AbortController().signal;
const standInsToDispose: standIns.HttpStandIn[] = [];

function disposeAfterTest<T extends standIns.HttpStandIn>(standIn: T): T {
    standInsToDispose.push(standIn);
    return standIn;
}

function createRow(instance: string, state: "live" | "leaving" = "live"): ports.ListedInstance {
    return { instance, role: "agent", service: "menus", failureDomain: "a", address: "127.0.0.1:7000", state };
}

/** Starts the stand-in of a platform service; returns it with a function that reads from it. */
type OpenService = () => Promise<[standIns.HttpStandIn, (signal: AbortSignal) => ports.Reply<unknown>]>;

const services: [string, OpenService][] = [
    ["configuration read", async () => {
        const standIn = disposeAfterTest(
            await configurationStandIns.ConfigurationServiceStandIn.listen({ document: { version: 1 } }),
        );
        return [standIn, signal => configurationServices.createConfigurationSource(standIn.address).read(signal)];
    }],
    ["configuration watch", async () => {
        const standIn = disposeAfterTest(
            await configurationStandIns.ConfigurationServiceStandIn.listen({ document: { version: 1 } }),
        );
        return [standIn, signal => configurationServices.createConfigurationSource(standIn.address).watch(0, signal)];
    }],
    ["instance list", async () => {
        const standIn = disposeAfterTest(await listStandIns.InstanceListStandIn.listen({ rows: [createRow("i")] }));
        return [standIn, signal => instanceLists.createInstanceList(standIn.address).read(signal)];
    }],
    ["weight store", async () => {
        const standIn = disposeAfterTest(await weightStandIns.WeightStoreStandIn.listen());
        return [standIn, signal => weightStores.createWeightStore(standIn.address).read("m", signal)];
    }],
];

afterEach(() => standInsToDispose.splice(0).forEach(standIn => standIn.dispose()));

describe.each(services)("%s", (_name, openService) => {
    const faultCases: [string, standIns.Faults, codes.ResultCode | undefined][] = [
        ["no fault", {}, undefined],
        ["a slow answer", { delayMs: 20 }, undefined],
        ["malformed JSON", { malformed: true }, codes.codes.sourceUnavailable],
        ["an oversized answer", { oversizedBytes: 33 * 1024 * 1024 }, codes.codes.sourceUnavailable],
        ["status 500", { status: 500 }, codes.codes.sourceUnavailable],
        ["status 404", { status: 404 }, codes.codes.sourceUnavailable],
        ["status 429", { status: 429 }, codes.codes.overloaded],
        ["a connection accepted and destroyed", { down: true }, codes.codes.sourceUnavailable],
        ["bytes that aren't HTTP", { rawBase64: "/wA=" }, codes.codes.sourceUnavailable],
    ];
    it.each(faultCases)("maps %s to its result code", async (_fault, fault, code) => {
        const [standIn, read] = await openService();
        standIn.faults = fault;
        const reply = await read(neverAborted);
        expect(reply.isErr ? reply.error.code : undefined).toBe(code);
    });

    it("fails while connections are refused and succeeds afterwards", async () => {
        const [standIn, read] = await openService();
        standIn.stop();
        expect((await read(neverAborted)).isErr).toBe(true);
        await standIn.start();
        expect((await read(neverAborted)).isOk).toBe(true);
    });

    it("ends a hanging read when its signal aborts", async () => {
        const [standIn, read] = await openService();
        standIn.faults = { hang: true };
        const controller = new AbortController();
        const reply = read(controller.signal);
        await vitest.vi.waitFor(() => expect(standIn.calls).toBe(1));
        controller.abort();
        expect((await reply).isErr).toBe(true);
    });

    it("never throws on random bytes", async () => {
        const [standIn, read] = await openService();
        await fc.assert(
            fc.asyncProperty(fc.uint8Array({ maxLength: 100 }), async bytes => {
                standIn.faults = { rawBase64: Buffer.from(bytes).toString("base64") };
                expect((await read(neverAborted)).isErr).toBe(true);
            }),
            { seed: SEED, numRuns: 30 },
        );
    });
});

describe("ConfigurationService", () => {
    it("answers a watch with a newer document, and with undefined when the poll times out", async () => {
        const options = { document: { version: 1 }, watchMs: 50 };
        const standIn = disposeAfterTest(await configurationStandIns.ConfigurationServiceStandIn.listen(options));
        const source = configurationServices.createConfigurationSource(standIn.address);
        const timedOut = await source.watch(1, neverAborted);
        expect([timedOut.isOk, timedOut.unwrapOr("failed")]).toEqual([true, undefined]);
        const pendingWatch = source.watch(1, neverAborted);
        await vitest.vi.waitFor(() => expect(standIn.watching).toBe(1));
        standIn.publish({ version: 2 });
        expect((await pendingWatch).unwrapOr(undefined)).toEqual({ version: 2 });
        expect(standIn.watching).toBe(0);
    });

    it("passes on an outdated answer unchanged, and fails with overloaded above the rate limit", async () => {
        const options = { document: { version: 1 }, callsPerSecond: 2 };
        const standIn = disposeAfterTest(await configurationStandIns.ConfigurationServiceStandIn.listen(options));
        const source = configurationServices.createConfigurationSource(standIn.address);
        standIn.publish({ version: 2 });
        standIn.faults = { answerOld: true };
        expect((await source.read(neverAborted)).unwrapOr(undefined)).toEqual({ version: 1 });
        standIn.faults = {};
        expect((await source.read(neverAborted)).unwrapOr(undefined)).toEqual({ version: 2 });
        const rejected = await source.read(neverAborted);
        expect(rejected.isErr && rejected.error.code).toBe(codes.codes.overloaded);
        expect(rejected.isErr && rejected.error.retryAfterMs).toBeGreaterThan(0);
    });
});

describe("InstanceListService", () => {
    const lagCases: [number, readonly ports.ListedInstance[]][] = [
        [0, [createRow("i", "leaving")]],
        [600_000, [createRow("i")]],
    ];
    it.each(lagCases)("reads rows that lag by %s ms", async (lagMs, rows) => {
        const standIn = disposeAfterTest(
            await listStandIns.InstanceListStandIn.listen({ rows: [createRow("i")], lagMs }),
        );
        standIn.set([createRow("i", "leaving")]);
        expect((await instanceLists.createInstanceList(standIn.address).read(neverAborted)).unwrapOr([])).toEqual(rows);
    });

    const malformedCases: [string, object][] = [
        ["a host name instead of an IP address", { address: "localhost:1" }],
        ["an unknown state", { state: "gone" }],
        ["an unknown role", { role: "leader" }],
        ["no instance name", { instance: undefined }],
    ];
    it.each(malformedCases)("rejects a list with %s", async (_name, changes) => {
        const row = { ...createRow("i"), ...changes } as ports.ListedInstance;
        const standIn = disposeAfterTest(
            await listStandIns.InstanceListStandIn.listen({ rows: [createRow("j"), row] }),
        );
        const reply = await instanceLists.createInstanceList(standIn.address).read(neverAborted);
        expect(reply.isErr && reply.error.code).toBe(codes.codes.sourceUnavailable);
    });
});

describe("WeightStoreService", () => {
    it("fails with overloaded and a retry delay above the rate limit", async () => {
        const standIn = disposeAfterTest(await weightStandIns.WeightStoreStandIn.listen({ readsPerSecond: 1 }));
        const store = weightStores.createWeightStore(standIn.address);
        expect((await store.read("m/1", neverAborted)).isOk).toBe(true);
        const rejected = await store.read("m/1", neverAborted);
        expect(rejected.isErr && rejected.error.code).toBe(codes.codes.overloaded);
        expect(rejected.isErr && rejected.error.retryAfterMs).toBeGreaterThan(0);
        expect([standIn.reads, standIn.overRate]).toEqual([{ "m/1": 1 }, 1]);
    });
});
