import * as net from "node:net";
import * as vitest from "vitest";
import * as fleets from "../standins/platform/RoutedFleet";

const SERVICE_MS = 1_500;
const ANSWER_BYTES = 300_000;
/** Requests of a connection that are in progress at once; further ones wait unread. */
const MAX_IN_PROGRESS = 4;
/** Time for which engines may still work on the requests of a caller that has left. */
const CANCEL_MS = 500;

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start();
    await fleet.addServingEntry();
});

vitest.afterEach(() => fleet.dispose());

function encodeRequest(attempt: string): string {
    const head = ["GET /look/1 HTTP/1.1", "Host: desk.example", `Attempt-Id: ${attempt}`, "Deadline-Ms: 4000"];
    return [...head, `Authorization: Token ${fleets.TEAM_KEY}`, "", ""].join("\r\n");
}

/** Collects what a connection brings until it closes. */
function readAll(socket: net.Socket): Promise<string> {
    const chunks: Buffer[] = [];
    socket.on("data", (chunk: Buffer) => chunks.push(chunk));
    return new Promise(resolve => socket.once("close", () => resolve(Buffer.concat(chunks).toString("latin1"))));
}

/** The status of each answer, and the attempt that it belongs to. */
function readAnswers(text: string): string[] {
    return [...text.matchAll(/HTTP\/1\.1 (\d+) .*?\r\nAttempt-Id: (\S+)/gs)]
        .map(([, status, attempt]) => `${status} ${attempt}`);
}

function countRuns(): number {
    return fleet.enginesOf("desk").flatMap(engine => engine.runs).length;
}

/** Sends requests on one connection without waiting for their answers. */
function sendPipelined(attempts: readonly string[]): net.Socket {
    const [host, port] = fleet.entries[0]!.callerAddress.split(":");
    const socket = net.connect(Number(port), host);
    socket.on("error", () => undefined);
    socket.write(attempts.map(encodeRequest).join(""));
    return socket;
}

/** The bytes of bodies and answers that the entry holds. */
async function readBufferedBytes(): Promise<number> {
    const { body } = await fleets.sendRequest(fleet.entries[0]!.adminAddress, "GET", "/metrics", {}, undefined);
    return Number(/^cumincrank_buffered_bytes\S* (\d+)$/m.exec(body)![1]);
}

vitest.describe("a caller with several requests in progress on its connection", () => {
    const leavings: readonly { readonly name: string; readonly leave: (socket: net.Socket) => void }[] = [
        { name: "a close", leave: socket => socket.destroy() },
        { name: "a reset", leave: socket => socket.resetAndDestroy() },
    ];
    const cases = leavings.flatMap(leaving => [2, 3, 4, 6].map(count => ({ ...leaving, count })));
    // Guards against requests behind the first one that are worked on to their end, and are kept with their answers for good.
    vitest.it.each(cases)("leaves $count with $name: all end at their instances", async ({ count, leave }) => {
        const engines = fleet.enginesOf("desk");
        const ranBefore = countRuns();
        fleet.changeEngines("desk", { serviceMs: SERVICE_MS, answerBytes: ANSWER_BYTES });
        const socket = sendPipelined(Array.from({ length: count }, (_, index) => `p-${index}`));
        const inProgress = Math.min(count, MAX_IN_PROGRESS);
        await fleet.waitUntil(() => countRuns() === ranBefore + inProgress);
        leave(socket);
        const cancelled = (): number => engines.reduce((sum, engine) => sum + engine.cancelledRuns, 0);
        await vitest.vi.waitUntil(() => cancelled() === inProgress, { timeout: CANCEL_MS });
        await fleet.waitUntil(async () => (await fleet.status(0))["active"] === 0);
        vitest.expect(await readBufferedBytes()).toBe(0);
    });
});

vitest.describe("several requests in progress on a connection", () => {
    const attempts = ["p-1", "p-2", "p-3"];
    const answers = attempts.map(attempt => `200 ${attempt}`);

    /** The engines answer the requests one after the other. */
    function setServiceTimes(faults: { readonly unframed?: boolean }): void {
        for (const [index, engine] of fleet.enginesOf("desk").entries()) {
            engine.options = { ...engine.options, serviceMs: 300 + index * 300 };
            engine.faults = faults;
        }
    }

    // Guards against answers of instances that their callers don't get, since the first one closes the connection (review/12).
    vitest.it("are all answered when a planned stop begins", async () => {
        setServiceTimes({});
        const ranBefore = countRuns();
        const received = readAll(sendPipelined(attempts));
        await fleet.waitUntil(() => countRuns() === ranBefore + attempts.length);
        vitest.expect(await fleet.entries[0]!.stop()).toBe(0);
        vitest.expect(readAnswers(await received)).toEqual(answers);
    });

    vitest.it("are all answered when a planned stop has begun before the last of them", async () => {
        setServiceTimes({});
        const ranBefore = countRuns();
        const socket = sendPipelined(attempts.slice(0, 2));
        const received = readAll(socket);
        await fleet.waitUntil(() => countRuns() === ranBefore + 2);
        const stopped = fleet.entries[0]!.stop();
        socket.write(encodeRequest(attempts[2]!));
        vitest.expect(await stopped).toBe(0);
        vitest.expect(readAnswers(await received)).toEqual(answers);
    });

    vitest.it("are all answered when the first answer has no length", async () => {
        setServiceTimes({ unframed: true });
        const received = readAll(sendPipelined(attempts));
        vitest.expect(readAnswers(await received)).toEqual(answers);
    });
});
