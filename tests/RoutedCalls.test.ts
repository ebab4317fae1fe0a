import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as stores from "../standins/platform/PlatformStoreStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const STREAM_BODY = [1, 2, 3, 4, 5, 6].map(id => `id: ${id}\ndata: part ${id}\n\n`).join("");
const { PROMPT_HEADERS: PROMPT, STAGED_HEADERS: STAGED } = fleets;

/** Time limit of a planned stop that no test reaches, however late its process. */
const LONG_STOP_SECONDS = 300;

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start();
    await fleet.addEntry();
    await fleet.waitUntil(async () => await fleet.readyStatus() === 200);
    await fleet.waitUntil(async () => (await fleet.call("/look/ready")).status === 200);
    fleet.enginesOf("desk").forEach(engine => engine.runs.splice(0));
});

vitest.afterEach(() => fleet.dispose());

vitest.describe("a plain call", () => {
    vitest.it("is forwarded unchanged, without its API key and with its team", async () => {
        const answer = await fleet.call("/book/1?x=%20y", {
            body: "the body",
            headers: { "X-Own": "kept", Tenant: "forged", Hold: "h", "Kv-From": "1.2.3.4:5/6", "Pin-Ms": "9" },
        });
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: true });
        vitest.expect(answer.headers["route-stamp"]).toMatch(/^stamp-desk/);
        vitest.expect(answer.headers["engine-load"]).toBeUndefined();
        const [run] = fleet.enginesOf("desk").flatMap(engine => engine.runs);
        vitest.expect(run).toMatchObject({ method: "POST", path: "/book/1?x=%20y", body: "the body" });
        vitest.expect(run!.headers).toMatchObject({ "x-own": "kept", tenant: "gilders" });
        vitest.expect(run!.headers).not.toHaveProperty("authorization");
        for (const name of ["hold", "kv-from", "pin-ms"]) {
            vitest.expect(run!.headers).not.toHaveProperty(name);
        }
        vitest.expect(Number(run!.headers["deadline-ms"])).toBeLessThanOrEqual(4_000);
    });

    const requestCases: readonly {
        readonly name: string;
        readonly path: string;
        readonly headers?: Record<string, string>;
        readonly body?: string;
        readonly status: number;
    }[] = [
        { name: "an unknown route", path: "/none/", status: 404 },
        { name: "an unknown host", path: "/look/", headers: { Host: "other.example" }, status: 404 },
        { name: "an unknown key", path: "/look/", headers: { Authorization: "Token wrong" }, status: 401 },
        { name: "a malformed deadline", path: "/look/", headers: { "Deadline-Ms": "soon" }, status: 400 },
        { name: "an empty attempt ID", path: "/look/", headers: { "Attempt-Id": "" }, status: 400 },
        { name: "a body that is too large", path: "/look/", body: "x".repeat(10_001), status: 413 },
        { name: "headers that are too large", path: "/look/", headers: { "X-Large": "x".repeat(5_000) }, status: 431 },
        {
            name: "an open route with an unknown key",
            path: "/open/",
            headers: { Authorization: "Token wrong" },
            status: 200,
        },
    ];
    vitest.it.each(requestCases)("with $name gets $status", async ({ path, headers, body, status }) => {
        const answer = await fleet.call(path, { headers: headers ?? {}, body: body ?? "" });
        vitest.expect(answer.status).toBe(status);
        vitest.expect(fleet.enginesOf("desk").flatMap(engine => engine.runs)).toHaveLength(status === 200 ? 1 : 0);
    });

    vitest.it("that an instance rejects as not run is sent to another one", async () => {
        fleet.enginesOf("desk")[0]!.faults = { shed: true };
        for (let count = 0; count < 5; count++) {
            vitest.expect((await fleet.call("/book/1")).status).toBe(200);
        }
        vitest.expect(fleet.enginesOf("desk")[1]!.runs).toHaveLength(5);
    });

    vitest.it("that no instance accepts is rejected at once as not run, with Retry-After", async () => {
        fleet.enginesOf("desk").forEach(engine => engine.faults = { shed: true });
        const answer = await fleet.call("/book/1");
        vitest.expect(answer.status).toBe(503);
        vitest.expect(Number(answer.headers["retry-after"])).toBeGreaterThan(0);
        vitest.expect(fleet.enginesOf("desk").flatMap(engine => engine.runs)).toHaveLength(0);
    });

    const lostConnectionCases: readonly {
        readonly name: string;
        readonly path: string;
        readonly status: number;
        readonly runs: number;
    }[] = [
        {
            name: "that isn't idempotent runs once and gets an answer with unknown outcome",
            path: "/book/1",
            status: 502,
            runs: 1,
        },
        { name: "that is idempotent runs on another instance as well", path: "/look/1", status: 200, runs: 2 },
    ];
    vitest.it.each(lostConnectionCases)("$name after its connection was lost", async ({ path, status, runs }) => {
        const [first, second] = fleet.enginesOf("desk");
        first!.faults = { reset: true };
        if (path === "/book/1") {
            second!.faults = { reset: true };
        }
        let answer = await fleet.call(path);
        while (path === "/look/1" && first!.runs.length === 0) {
            second!.runs.splice(0);
            answer = await fleet.call(path);
        }
        vitest.expect(answer.status).toBe(status);
        vitest.expect(fleet.enginesOf("desk").flatMap(engine => engine.runs)).toHaveLength(runs);
    });

    vitest.it("never gets the answer to another call", async () => {
        fleet.enginesOf("desk").forEach(engine => engine.faults = { otherAttempt: true });
        vitest.expect((await fleet.call("/book/1")).status).toBe(502);
    });

    vitest.it.each([
        { status: 500, answerStatus: 500 },
        { status: 404, answerStatus: 404 },
        { status: 204, answerStatus: 204 },
        { status: 503, answerStatus: 502 },
        { status: 429, answerStatus: 502 },
    ])("that ran and failed with $status gets $answerStatus", async ({ status, answerStatus }) => {
        fleet.enginesOf("desk").forEach(engine => engine.faults = { status });
        vitest.expect((await fleet.call("/book/1")).status).toBe(answerStatus);
    });

    vitest.it("with a short unframed answer gets it unframed, ended by the close of the connection", async () => {
        fleet.engines.forEach(engine => engine.faults = { unframed: true });
        const answer = await fleet.call("/book/1");
        vitest.expect(answer).toMatchObject({ status: 200, headers: { connection: "close" }, isComplete: true });
        vitest.expect(answer.headers).not.toHaveProperty("content-length");
        vitest.expect(answer.headers).not.toHaveProperty("transfer-encoding");
    });

    vitest.it("is cancelled at the instance when its caller disconnects", async () => {
        fleet.enginesOf("desk").forEach(engine => engine.faults = { hang: true });
        const controller = new AbortController();
        const answer = fleet.call("/look/1", { signal: controller.signal }).catch(() => undefined);
        await fleet.waitUntil(() => fleet.enginesOf("desk").some(engine => engine.runs.length > 0));
        controller.abort();
        await answer;
        await fleet.waitUntil(() => fleet.enginesOf("desk").some(engine => engine.cancelledRuns > 0));
    });
});

vitest.describe("a stream", () => {
    vitest.it("is forwarded completely", async () => {
        const answer = await fleet.call("/once/1", { headers: PROMPT });
        vitest.expect(answer).toMatchObject({ status: 200, body: STREAM_BODY, isComplete: true });
    });

    vitest.it("that breaks is resumed on another instance, with each event once and in order", async () => {
        const [first] = fleet.enginesOf("model");
        first!.faults = { breakAfterEvent: 3 };
        const answers = [];
        while (first!.runs.length === 0) {
            answers.push(await fleet.call("/notes/1", { headers: PROMPT }));
        }
        vitest.expect(answers.at(-1)).toMatchObject({ status: 200, body: STREAM_BODY, isComplete: true });
        vitest.expect(fleet.enginesOf("model")[1]!.runs.at(-1)!.headers["last-event-id"]).toBe("3");
    });

    vitest.it("that is resumed after its last event gets its instance's headers", async () => {
        const answer = await fleet.call("/notes/1", { headers: { ...PROMPT, "Last-Event-Id": "6" } });
        vitest.expect(answer).toMatchObject({ status: 200, body: "", isComplete: true });
        vitest.expect(answer.headers["route-stamp"]).toMatch(/^stamp-model/);
    });

    vitest.it("that may not be resumed is aborted after a complete event", async () => {
        fleet.enginesOf("model").forEach(engine => engine.faults = { breakAfterEvent: 2 });
        const answer = await fleet.call("/once/1", { headers: PROMPT });
        vitest.expect(answer.isComplete).toBe(false);
        vitest.expect(answer.body).toBe(STREAM_BODY.slice(0, STREAM_BODY.indexOf("id: 3")));
        vitest.expect(fleet.enginesOf("model").flatMap(engine => engine.runs)).toHaveLength(1);
    });

    vitest.it("with stages gets their results, which are released afterwards", async () => {
        const answer = await fleet.call("/staged/1", { headers: STAGED });
        vitest.expect(answer).toMatchObject({ status: 200, body: STREAM_BODY });
        const [archive] = fleet.enginesOf("archive");
        const [ledger] = fleet.enginesOf("ledger");
        vitest.expect(archive!.batches.flat()).toMatchObject([{ Stage: 0, Key: "frame-7" }, { Stage: 0, Piece: 1 }]);
        const inputs = [1, 2].map(handle => `${archive!.address}/${handle}`);
        vitest.expect(ledger!.batches.flat()).toMatchObject([0, 1, 2].map(Piece => ({ Piece, Inputs: inputs })));
        const results = [1, 2, 3].map(handle => `${ledger!.address}/${handle}`);
        const run = fleet.enginesOf("model").flatMap(engine => engine.runs)[0]!;
        vitest.expect(run.headers["inputs"]).toBe(results.join(","));
        await fleet.waitUntil(() => archive!.releasedHandles.length === 2 && ledger!.releasedHandles.length === 3);
    });
});

vitest.describe("published data", () => {
    vitest.it("applies to later calls: a draining instance gets no more of them", async () => {
        const [leaving, staying] = fleet.enginesOf("desk");
        fleet.store.put("servers/desk-1", leaving!.createStoreRecord("draining"));
        await fleet.waitUntil(async () => {
            leaving!.runs.splice(0);
            await Promise.all(Array.from({ length: 6 }, () => fleet.call("/look/1")));
            return leaving!.runs.length === 0;
        });
        vitest.expect(staying!.runs.length).toBeGreaterThan(0);
    });

    vitest.it("takes a failure domain out of service and puts it back", async () => {
        fleet.store.put("op/evacuate/zone-a", {});
        const [evacuated] = fleet.enginesOf("desk");
        const countRuns = async (): Promise<number> => {
            evacuated!.runs.splice(0);
            await Promise.all(Array.from({ length: 8 }, () => fleet.call("/look/1")));
            return evacuated!.runs.length;
        };
        await fleet.waitUntil(async () => await countRuns() === 0);
        fleet.store.delete("op/evacuate/zone-a");
        await fleet.waitUntil(async () => await countRuns() > 0);
    });

    vitest.it("revokes an API key", async () => {
        fleet.publish(2, { Tenants: [{ Name: "gilders", ApiKeys: ["new"] }] });
        await fleet.waitUntil(async () => (await fleet.call("/look/1")).status === 401);
    });

    vitest.it("is read again in full when the history of the store was compacted", async () => {
        fleet.store.put("servers/foreign", Buffer.from("no JSON"));
        fleet.store.compact();
        fleet.store.delete("servers/desk-2");
        fleet.store.compact();
        await fleet.waitUntil(async () => {
            fleet.enginesOf("desk")[1]!.runs.splice(0);
            await Promise.all(Array.from({ length: 6 }, () => fleet.call("/look/1")));
            return fleet.enginesOf("desk")[1]!.runs.length === 0;
        });
    });

    vitest.it("reaches an entry through its peers when the entry cannot reach the store", async () => {
        const unavailableStore = new stores.PlatformStoreStandIn();
        await unavailableStore.listen();
        unavailableStore.faults = { status: 503 };
        await fleet.addEntry(unavailableStore.address);
        await fleet.waitUntil(async () => (await fleet.call("/look/1", { entry: 1 })).status === 200);
        fleet.publish(2, { Tenants: [{ Name: "gilders", ApiKeys: ["new"] }] });
        await fleet.waitUntil(async () => (await fleet.call("/look/1", { entry: 1 })).status === 401);
        unavailableStore.dispose();
    });
});

vitest.describe("a planned stop", () => {
    vitest.it("aborts no call, and reports the entry as not ready", async () => {
        const streams = Array.from({ length: 4 }, () => fleet.call("/once/1", { headers: PROMPT }));
        await clocks.sleep(clocks.systemClock, 5);
        const exitCode = fleet.entries[0]!.stop();
        vitest.expect(await fleet.readyStatus()).toBe(503);
        const answerDuringStop = await fleet.call("/look/1");
        vitest.expect(answerDuringStop).toMatchObject({ status: 200, headers: { connection: "close" } });
        for (const answer of await Promise.all(streams)) {
            vitest.expect(answer).toMatchObject({ status: 200, body: STREAM_BODY, isComplete: true });
        }
        vitest.expect(await exitCode).toBe(0);
    });

    vitest.it("answers every call, with Retry-After only if the call hasn't run", async () => {
        fleet.enginesOf("desk").forEach(engine => engine.faults = { hang: true });
        fleet.enginesOf("archive").forEach(engine => engine.faults = { hang: true });
        const entry = await fleet.addEntry(fleet.store.address, 3);
        await fleet.waitUntil(async () => (await fleet.call("/once/1", { entry: 1, headers: PROMPT })).status === 200);
        const stagedHeaders = { ...PROMPT, Pieces: "1,1", "Piece-Key": "k" };
        const runningCall = fleet.call("/book/1", { entry: 1 });
        const waitingCall = fleet.call("/staged/1", { entry: 1, headers: stagedHeaders });
        await fleet.waitUntil(() => fleet.enginesOf("desk").some(engine => engine.runs.length > 0));
        await entry.stop();
        vitest.expect(await runningCall).toMatchObject({ status: 504 });
        vitest.expect((await runningCall).headers).not.toHaveProperty("retry-after");
        vitest.expect((await waitingCall).status).toBe(503);
        await clocks.sleep(clocks.systemClock, 200);
        vitest.expect(fleet.enginesOf("model").flatMap(engine => engine.runs).filter(run => run.path === "/staged/1"))
            .toEqual(
                [],
            );
    });

    vitest.it("keeps accepting requests while no other entry does", async () => {
        const single = new fleets.RoutedFleet();
        await single.start();
        const entry = await single.addEntry(single.store.address, LONG_STOP_SECONDS);
        await single.waitUntil(async () => (await single.call("/look/1")).status === 200);
        let hasEnded = false;
        const exitCode = entry.stop().finally(() => hasEnded = true);
        await clocks.sleep(clocks.systemClock, 2_600);
        vitest.expect((await single.call("/look/1")).status).toBe(200);
        vitest.expect(hasEnded).toBe(false);
        await single.addEntry();
        vitest.expect(await exitCode).toBe(0);
        single.dispose();
    });

    vitest.it("hands the stages over to the other entry", async () => {
        await fleet.addEntry();
        await fleet.waitUntil(async () => (await fleet.call("/look/1", { entry: 1 })).status === 200);
        const calls = [0, 1, 0, 1, 0, 1].map(entry => fleet.call("/staged/1", { headers: STAGED, entry }));
        const exitCode = fleet.entries[0]!.stop();
        for (const answer of await Promise.all(calls)) {
            vitest.expect(answer).toMatchObject({ status: 200, body: STREAM_BODY });
        }
        vitest.expect(await exitCode).toBe(0);
    });
});

vitest.describe("a process without a configuration", () => {
    vitest.it("answers 503, never 404 or 401, and isn't ready", async () => {
        const emptyStore = new stores.PlatformStoreStandIn();
        await emptyStore.listen();
        const otherFleet = new fleets.RoutedFleet();
        await otherFleet.store.listen();
        await otherFleet.addEntry(emptyStore.address);
        vitest.expect(await otherFleet.readyStatus()).toBe(503);
        vitest.expect((await otherFleet.call("/look/1")).status).toBe(503);
        otherFleet.dispose();
        emptyStore.dispose();
    });
});
