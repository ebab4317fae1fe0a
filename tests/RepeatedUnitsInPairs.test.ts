import * as vitest from "vitest";
import * as reports from "../standins/platform/EndlessReport";
import * as trials from "../standins/platform/EndlessTrial";

const WRITE_BYTES = 64 * 1024;
/** Time from the signal of a change to the next one. */
const RELOAD_INTERVAL_MS = 500;
const RELOADS = 4;
const SERVICE_MS = 300;
const ANSWER = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRoute-Stamp: stamp-bad\r\n";
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";

const SMALL_CHUNKS: trials.FaultyPeer = {
    at: "desk",
    start: ANSWER + CHUNKED,
    unit: "1\r\na\r\n",
    writeBytes: WRITE_BYTES,
};
const EARLY_HINTS: trials.FaultyPeer = {
    at: "archive",
    start: "",
    unit: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
    writeBytes: WRITE_BYTES,
};
const COMMENTS: trials.FaultyPeer = {
    at: "model",
    start: `${ANSWER}Content-Type: text/event-stream\r\n${CHUNKED}`,
    unit: "2\r\n:\n\r\n",
    writeBytes: WRITE_BYTES,
};
const CALLS: trials.FaultyPeer = {
    at: "callers",
    start: "",
    unit: "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    writeBytes: WRITE_BYTES,
    connections: 12,
    readsAnswers: false,
};
const CALLER_CHUNKS: trials.FaultyPeer = {
    at: "callers",
    start: trials.encodeCall("/fine/{n}", { "Transfer-Encoding": "chunked" }),
    unit: "1\r\na\r\n",
    writeBytes: WRITE_BYTES,
    connections: 12,
};
const METRICS: trials.FaultyPeer = {
    at: "admin",
    start: "",
    unit: "GET /metrics HTTP/1.1\r\nHost: entry\r\n\r\n",
    writeBytes: WRITE_BYTES,
};
const STORE: trials.FaultyPeer = { ...SMALL_CHUNKS, at: "store", start: `${ANSWER}Store-Era: 1\r\n${CHUNKED}` };

const PAIRS: readonly (readonly [name: string, peers: readonly trials.FaultyPeer[]])[] = [
    ["an instance's small chunks and unread calls", [SMALL_CHUNKS, CALLS]],
    ["a stage worker's early hints and the store's small chunks", [EARLY_HINTS, STORE]],
    ["a stream's comments and a caller's small chunks", [COMMENTS, CALLER_CHUNKS]],
    ["requests for metrics and an instance's small chunks", [METRICS, SMALL_CHUNKS]],
];

/** As above; a process that starts has to read the store. */
const START_PAIRS: typeof PAIRS = [
    ...PAIRS.filter(([, peers]) => !peers.includes(STORE)),
    ["a stage worker's early hints and a caller's small chunks", [EARLY_HINTS, CALLER_CHUNKS]],
];

let trial: trials.EndlessTrial | undefined;

vitest.afterEach(() => trial?.dispose());

vitest.describe("an entry beside two peers that send without an end", () => {
    vitest.it.for(PAIRS)("serves: %s", async ([, peers], { task }) => {
        trial = await trials.EndlessTrial.start(peers);
        const report = await trial.run();
        Object.assign(task.meta, { report });
        vitest.expect(reports.findViolations(report)).toEqual([]);
    });

    vitest.it.for(PAIRS)("serves while it reloads: %s", async ([, peers], { task }) => {
        trial = await trials.EndlessTrial.start(peers);
        const running = trial.run();
        await trial.reload(RELOADS, RELOAD_INTERVAL_MS);
        const report = await running;
        Object.assign(task.meta, { report });
        vitest.expect(reports.findViolations(report)).toEqual([]);
    });

    vitest.it.for(START_PAIRS)("starts, and serves: %s", async ([, peers], { task }) => {
        trial = await trials.EndlessTrial.start(peers, { beginsEarly: true });
        const report = await trial.run();
        Object.assign(task.meta, { report });
        vitest.expect(reports.findViolations(report)).toEqual([]);
    });

    vitest.it.for(PAIRS)("ends a planned stop, and serves what has begun: %s", async ([, peers], { task }) => {
        trial = await trials.EndlessTrial.start(peers, { serviceMs: SERVICE_MS });
        const report = await trial.stop();
        Object.assign(task.meta, { report });
        vitest.expect(reports.findStopViolations(report)).toEqual([]);
    });
});
