/**
 * Guards against the end of the process: an instance resets a kept connection in the moment in which its answer has been read,
 * and nobody handles the error.
 */
import * as net from "node:net";
import * as vitest from "vitest";
import * as entryPrograms from "../standins/platform/EntryProgram";
import * as halfAnswers from "../standins/platform/HalfAnswerEngine";
import * as fleets from "../standins/platform/RoutedFleet";

const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRoute-Stamp: stamp\r\n";
const CALLS = 400;
const PARALLEL_CALLS = 8;
const ANSWER_BYTES = 20_000;

const body = "b".repeat(ANSWER_BYTES);
const framings = [
    { framing: "with a length", text: `Content-Length: ${ANSWER_BYTES}\r\n\r\n${body}` },
    {
        framing: "in chunks",
        text: `Transfer-Encoding: chunked\r\n\r\n${ANSWER_BYTES.toString(16)}\r\n${body}\r\n0\r\n\r\n`,
    },
    { framing: "without a body", text: "Content-Length: 0\r\n\r\n" },
];
const reset = (socket: net.Socket): void => void socket.resetAndDestroy();
const moments = [
    { moment: "at once", end: reset },
    { moment: "in the next turn", end: (socket: net.Socket) => void setImmediate(() => reset(socket)) },
    { moment: "1 ms later", end: (socket: net.Socket) => void setTimeout(() => reset(socket), 1) },
];

let fleet: fleets.RoutedFleet;
let entry: entryPrograms.EntryProgram;
let engine: halfAnswers.HalfAnswerEngine;
let nextAttempt = 1;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([{ id: "archive-1", service: "archive", failureDomain: "zone-a" }]);
    entry = await entryPrograms.EntryProgram.start(fleet.store.address);
});

vitest.afterEach(async () => {
    engine.dispose();
    await entry.dispose();
    fleet.dispose();
});

/** The status of a call; 0 if it gets no answer. */
async function call(): Promise<number> {
    const headers = {
        Host: "desk.example",
        "Attempt-Id": `reset-${nextAttempt++}`,
        "Deadline-Ms": "3000",
        Authorization: `Token ${fleets.TEAM_KEY}`,
    };
    return fleets.sendRequest(entry.callerAddress, "POST", "/look/x", headers, "{}")
        .then(answer => answer.status, () => 0);
}

const cases = framings.flatMap(framing => moments.map(moment => ({ ...framing, ...moment })));

vitest.describe("a process stays when an instance resets a connection after a whole answer", () => {
    vitest.it.each(cases)("$framing, $moment", async ({ text, end }) => {
        engine = new halfAnswers.HalfAnswerEngine("desk", { write: () => `${HEAD}${text}`, end });
        await engine.listen();
        fleet.store.put("servers/desk-1", engine.storeRecord);
        await fleet.waitUntil(async () => await call() === 200);
        const statuses: number[] = [];
        await Promise.all(Array.from({ length: PARALLEL_CALLS }, async () => {
            for (let count = 0; count < CALLS / PARALLEL_CALLS; count++) {
                statuses.push(await call());
            }
        }));
        vitest.expect(statuses.filter(status => status === 0)).toEqual([]);
        vitest.expect(entry.readLog().filter(({ decision }) => decision === "uncaught-error")).toEqual([]);
        vitest.expect(entry.process.isRunning).toBe(true);
    });
});
