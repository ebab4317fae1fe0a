/**
 * Guards against callers that get a part of an answer, or what is no answer, as if it were the whole (MIXED, ORDER).
 */
import * as net from "node:net";
import * as vitest from "vitest";
import * as halfAnswers from "../standins/platform/HalfAnswerEngine";
import * as fleets from "../standins/platform/RoutedFleet";

const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRoute-Stamp: stamp\r\n";
const EVENTS = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const CALLS = 60;
/** More than the operating system buffers of a connection. */
const UPLOAD = "x".repeat(6_000_000);

let fleet: fleets.RoutedFleet;
let engine: halfAnswers.HalfAnswerEngine | undefined;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([{ id: "archive-1", service: "archive", failureDomain: "zone-a" }]);
    const { Limits: limits } = fleets.createConfiguration(1) as { Limits: Record<string, unknown> };
    fleet.publish(2, { Limits: { ...limits, MaxBodyBytes: 8_000_000 } });
    await fleet.addEntry();
    await fleet.waitUntil(async () => await fleet.readyStatus() === 200);
});

vitest.afterEach(() => {
    engine?.dispose();
    fleet.dispose();
});

async function addEngine(service: string, answer: halfAnswers.HalfAnswer): Promise<void> {
    engine = new halfAnswers.HalfAnswerEngine(service, answer);
    await engine.listen();
    fleet.store.put("servers/half-1", engine.storeRecord);
    await fleet.waitUntil(async () => {
        await fleet.call(service === "desk" ? "/look/ready" : "/once/ready", { headers: fleets.PROMPT_HEADERS })
            .catch(() => undefined);
        return engine!.calls > 0;
    });
    engine.calls = 0;
}

/** What callers got, one after the other. */
async function call(path: string, body: string | undefined): Promise<fleets.Answer[]> {
    const answers: fleets.Answer[] = [];
    for (let count = 0; count < CALLS; count++) {
        answers.push(await fleet.call(path, { body, headers: fleets.PROMPT_HEADERS }));
    }
    return answers;
}

function wholes(answers: readonly fleets.Answer[]): fleets.Answer[] {
    return answers.filter(({ status, isComplete }) => status === 200 && isComplete);
}

const reset = (socket: net.Socket): void => void socket.resetAndDestroy();
const resets = [
    { moment: "at once", end: reset },
    { moment: "1 ms later", end: (socket: net.Socket) => void setTimeout(() => reset(socket), 1) },
];
const requests = [{ request: "a small request", body: "{}" }, { request: "an upload", body: UPLOAD }];

vitest.describe("an answer without framing of which a part arrives before a reset", () => {
    const plain = ["/look/x", "/book/x"].flatMap(path =>
        requests.flatMap(row => resets.map(end => ({ path, ...row, ...end })))
    );
    vitest.it.each(plain)("isn't whole to the caller: $path, $request, reset $moment", async ({ path, body, end }) => {
        await addEngine("desk", { write: () => `${HEAD}\r\na part of `, end });
        const answers = await call(path, body);
        vitest.expect(wholes(answers)).toEqual([]);
        vitest.expect(engine!.calls).toBeGreaterThanOrEqual(CALLS);
    });

    const streams = ["/notes/x", "/once/x"].flatMap(path =>
        requests.flatMap(row => resets.map(end => ({ path, ...row, ...end })))
    );
    vitest.it.each(streams)("isn't a whole stream: $path, $request, reset $moment", async ({ path, body, end }) => {
        await addEngine("model", { write: () => `${HEAD}Content-Type: text/event-stream\r\n\r\n${EVENTS}`, end });
        vitest.expect(wholes(await call(path, body))).toEqual([]);
    });

    vitest.it("isn't one either in a coding that ends with the connection", async () => {
        await addEngine("desk", { write: () => `${HEAD}Transfer-Encoding: identity\r\n\r\na part of `, end: reset });
        vitest.expect(wholes(await call("/look/x", "{}"))).toEqual([]);
    });
});

vitest.describe("what is no answer doesn't reach the caller", () => {
    const lines = ["Content-Length : 3", "Transfer-Encoding : chunked", "X Odd: 1", "X-Odd\x01: 1", "X-Odd: a\x01"];
    const heads = [
        ...["000", "099", "199"].map(status => HEAD.replace("200", status)),
        ...lines.map(line => `${HEAD}${line}\r\n`),
        `${HEAD}Transfer-Encoding: gzip\r\n`,
        HEAD.replace("1.1", "2.0"),
    ];
    vitest.it.each(heads.flatMap(head => ["/look/x", "/once/x"].map(path => ({ head: JSON.stringify(head), path }))))(
        "$path, $head",
        async ({ head, path }) => {
            const service = path === "/once/x" ? "model" : "desk";
            const end = (socket: net.Socket): void => void socket.end();
            await addEngine(service, { write: () => `${JSON.parse(head) as string}\r\n${EVENTS}`, end });
            const answer = await fleet.call(path, { body: "{}", headers: fleets.PROMPT_HEADERS });
            vitest.expect(answer.status).toBe(502);
            vitest.expect(answer.body).not.toContain("one");
        },
    );
});

// Guards against sound answers that are refused, since nothing but a FIN ends them.
vitest.describe("a whole answer without framing", () => {
    vitest.it.each(["/look/x", "/once/x"])("reaches the caller: %s", async path => {
        const service = path === "/once/x" ? "model" : "desk";
        await addEngine(service, { write: () => `${HEAD}\r\n${EVENTS}`, end: socket => void socket.end() });
        const answers = await call(path, "{}");
        vitest.expect(wholes(answers)).toHaveLength(CALLS);
        vitest.expect(answers.every(({ body }) => body === EVENTS)).toBe(true);
    });
});
