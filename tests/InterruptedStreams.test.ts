import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as fleets from "../standins/platform/RoutedFleet";

const STREAM_BODY = [1, 2, 3, 4, 5, 6].map(id => `id: ${id}\ndata: part ${id}\n\n`).join("");
const FIRST_EVENTS = [1, 2, 3].map(id => `id: ${id}\ndata: part ${id}\n\n`).join("");
/** The deadline of an instance is this long before that of its caller. */
const ANSWER_MARGIN_MS = 25;
const { PROMPT_HEADERS: PROMPT, STAGED_HEADERS: STAGED } = fleets;

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start();
    await fleet.addEntry();
    await fleet.waitUntil(async () => await fleet.readyStatus() === 200);
    await fleet.waitUntil(async () => (await fleet.call("/look/ready")).status === 200);
});

vitest.afterEach(() => fleet.dispose());

/** Services whose stages are expected to take more than half of the time that is left after the interruption. */
function createSlowStages(): unknown[] {
    const { Services: services } = fleets.createConfiguration(2) as { Services: { Pieces?: object }[] };
    return services.map(service => service.Pieces === undefined ? service : slowDown(service));
}

function slowDown(service: { Pieces?: object }): unknown {
    return { ...service, Pieces: { ...service.Pieces, CallMs: 800 } };
}

/** Calls until the first model engine runs a call, and returns the answer to that call. */
async function callFirstModel(path: string, headers: Record<string, string>): Promise<fleets.Answer> {
    const [first] = fleet.enginesOf("model");
    for (;;) {
        const answer = await fleet.call(path, { headers });
        if (first!.runs.length > 0) {
            return answer;
        }
    }
}

vitest.describe("a resumed stream", () => {
    // Guards against resumed streams that every instance rejected, since their inputs had been released.
    vitest.it.each([
        { name: "without stages", path: "/notes/1", headers: PROMPT },
        { name: "with stages, whose results are computed again", path: "/drafts/1", headers: STAGED },
    ])("$name is complete", async ({ path, headers }) => {
        fleet.enginesOf("model")[0]!.faults = { breakAfterEvent: 3 };
        const answer = await callFirstModel(path, headers);
        vitest.expect(answer).toMatchObject({ status: 200, body: STREAM_BODY, isComplete: true });
        vitest.expect(fleet.enginesOf("model")[1]!.runs.at(-1)!.headers["last-event-id"]).toBe("3");
    });

    // Guards against streams whose stages were rejected as late, since the goal of their first event had passed.
    vitest.it("is complete when its stages take long and the goal of its first event has passed", async () => {
        fleet.publish(2, { Services: createSlowStages() });
        await fleet.waitUntil(async () => (await fleet.status(0))["version"] === 2);
        const [first, second] = fleet.enginesOf("model");
        first!.faults = { breakAfterEvent: 3, pause: { afterEvent: 3, ms: 1_900 } };
        second!.faults = { shed: true };
        const answer = fleet.call("/drafts/1", { headers: STAGED });
        await fleet.waitUntil(() => first!.runs.length > 0);
        second!.faults = {};
        vitest.expect(await answer).toMatchObject({ status: 200, body: STREAM_BODY, isComplete: true });
    });

    // Guards against an error's text, or a second head, in the middle of a stream, and against its end as complete.
    vitest.it.each([204, 206, 400, 404, 409, 422, 429, 500, 502, 503])(
        "that gets an answer with status %i is broken off after a complete event",
        async status => {
            const [first, second] = fleet.enginesOf("model");
            first!.faults = { breakAfterEvent: 3 };
            second!.faults = { status };
            const answer = await callFirstModel("/lists/1", PROMPT);
            vitest.expect(answer).toMatchObject({ status: 200, isComplete: false });
            vitest.expect(answer.body).toBe(FIRST_EVENTS);
        },
    );

    // Guards against the text of an error with status 200 in the middle of a stream.
    vitest.it("that gets a success of another type is broken off after a complete event", async () => {
        const [first, second] = fleet.enginesOf("model");
        first!.faults = { breakAfterEvent: 3 };
        second!.faults = { plainText: "internal error\n\n" };
        const answer = await callFirstModel("/lists/1", PROMPT);
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: false });
        vitest.expect(answer.body).toBe(FIRST_EVENTS);
    });
});

vitest.describe("a stream of an instance that is silent for a while", () => {
    // Guards against streams that were given up for silence and then found no other instance.
    vitest.it.each([
        { name: "while the other instance rejects all calls", path: "/notes/1", headers: PROMPT, shedding: "model" },
        { name: "while its stages can't be computed again", path: "/drafts/1", headers: STAGED, shedding: "archive" },
    ])("is complete $name", async ({ path, headers, shedding }) => {
        const [first, second] = fleet.enginesOf("model");
        first!.faults = { pause: { afterEvent: 3, ms: 3_000 } };
        const answer = callFirstModel(path, headers);
        await fleet.waitUntil(() => first!.runs.length > 0);
        second!.faults = { shed: shedding === "model" };
        fleet.enginesOf("archive").forEach(engine => engine.faults = { shed: shedding === "archive" });
        vitest.expect(await answer).toMatchObject({ status: 200, body: STREAM_BODY, isComplete: true });
    });

    vitest.it("before its first event is complete while the other instance rejects all calls", async () => {
        const [first, second] = fleet.enginesOf("model");
        first!.faults = { pause: { afterEvent: 0, ms: 2_500 } };
        const answer = callFirstModel("/notes/1", PROMPT);
        await fleet.waitUntil(() => first!.runs.length > 0);
        second!.faults = { shed: true };
        vitest.expect(await answer).toMatchObject({ status: 200, body: STREAM_BODY, isComplete: true });
    });

    vitest.it("before its first event is moved to another instance that accepts it", async () => {
        const [first] = fleet.enginesOf("model");
        first!.faults = { hang: true };
        const answer = await callFirstModel("/notes/1", PROMPT);
        vitest.expect(answer).toMatchObject({ status: 200, body: STREAM_BODY, isComplete: true });
        await fleet.waitUntil(() => first!.cancelledRuns === 1);
    });

    // Guards against calls that stay at an instance that has stopped, since a rejection counted as a run.
    vitest.it.each([
        { name: "before its first event", faults: { hang: true } },
        { name: "after an event", faults: { pause: { afterEvent: 3, ms: 30_000 } } },
    ])("$name is moved to a third instance when the second one rejects it", async ({ faults }) => {
        const [first, second] = fleet.enginesOf("model");
        second!.faults = { shed: true };
        first!.faults = faults;
        const answer = callFirstModel("/notes/1", PROMPT);
        await fleet.waitUntil(() => first!.runs.length > 0 && second!.rejectedCalls > 0);
        await fleet.addEngine({ id: "model-3", service: "model", failureDomain: "zone-b", events: 6 });
        vitest.expect(await answer).toMatchObject({ status: 200, body: STREAM_BODY, isComplete: true });
    });

    vitest.it("is ended at both instances when its caller leaves while it is moved", async () => {
        const [first, second] = fleet.enginesOf("model");
        first!.faults = { pause: { afterEvent: 3, ms: 30_000 } };
        const controller = new AbortController();
        const { signal } = controller;
        while (first!.runs.length === 0) {
            const answer = fleet.call("/notes/1", { headers: PROMPT, signal }).catch(() => undefined);
            await Promise.race([answer, fleet.waitUntil(() => first!.runs.length > 0)]);
        }
        second!.runs.splice(0);
        second!.faults = { hang: "calls" };
        await fleet.waitUntil(() => second!.runs.length > 0);
        controller.abort();
        await fleet.waitUntil(() => first!.cancelledRuns === 1 && second!.cancelledRuns === 1);
    });

    // Guards against stalled streams that never end, since a byte now and then counts as progress.
    vitest.it.each([
        { name: "a silent one", trickle: undefined },
        { name: "one that sends a byte of an event now and then", trickle: "x" },
        { name: "one that sends a comment now and then", trickle: ":\n\n" },
    ])("is resumed on another instance that accepts it, and ended at $name", async ({ trickle }) => {
        const [first, second] = fleet.enginesOf("model");
        first!.faults = { pause: { afterEvent: 3, ms: 30_000, ...(trickle === undefined ? {} : { trickle }) } };
        const answer = await callFirstModel("/notes/1", PROMPT);
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: true });
        vitest.expect(answer.body.replaceAll(":\n\n", "")).toBe(STREAM_BODY);
        vitest.expect(second!.runs.at(-1)!.headers["last-event-id"]).toBe("3");
        await fleet.waitUntil(() => first!.cancelledRuns === 1);
    });
});

vitest.describe("a stream whose instance is silent until its caller's deadline", () => {
    // Guards against streams that are broken off before their caller has stopped waiting.
    vitest.it.each([
        { name: "that may be resumed", path: "/notes/1" },
        { name: "that may not be resumed", path: "/once/1" },
    ])("$name, isn't broken off before", async ({ path }) => {
        const engines = fleet.enginesOf("model");
        engines.forEach(engine => engine.faults = { pause: { afterEvent: 3, ms: 30_000 } });
        const sentAtMs = clocks.systemClock.now();
        const answer = await fleet.call(path, { headers: { ...PROMPT, "Deadline-Ms": "1000" } });
        const waitedMs = clocks.systemClock.now() - sentAtMs;
        vitest.expect(answer.isComplete).toBe(false);
        // The caller's deadline as the instance got it: an entry that was late assumes that the call came earlier.
        const [run] = engines.flatMap(engine => engine.runs);
        vitest.expect(waitedMs).toBeGreaterThanOrEqual(Number(run!.headers["deadline-ms"]) + ANSWER_MARGIN_MS);
    });
});
