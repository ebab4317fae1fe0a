/**
 * Guards against streams that end as complete before their last event, or whose events are missing, repeated or joined
 * wrongly (ORDER): the real process, and engines that break off in each way that a connection can end.
 */
import * as net from "node:net";
import * as vitest from "vitest";
import * as entryPrograms from "../standins/platform/EntryProgram";
import * as halfAnswers from "../standins/platform/HalfAnswerEngine";
import * as fleets from "../standins/platform/RoutedFleet";

const EVENTS = 6;
const CALLS = 60;
const LAST_CHUNK = "0\r\n\r\n";

const HEAD = "HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nRoute-Stamp: stamp\r\nContent-Type: text/event-stream\r\n";

/** How a stream is framed: its head, and each of its events. */
interface Framing {
    readonly framing: string;
    readonly head: string;
    readonly encode: (event: string) => string;
    readonly last: string;
}

const framings: readonly Framing[] = [
    { framing: "in chunks", head: "Transfer-Encoding: chunked\r\n", encode: encodeChunk, last: LAST_CHUNK },
    { framing: "without framing", head: "", encode: event => event, last: "" },
    { framing: "in no coding by name", head: "Transfer-Encoding: identity\r\n", encode: event => event, last: "" },
];

function encodeChunk(text: string): string {
    return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** The stream from the event after the caller's last one, up to `lastEvent`, and a part of the next one. */
function writeStream(request: string, { head, encode, last }: Framing, lastEvent: number, partBytes: number): string {
    const [, start = "0"] = /^last-event-id: (\d+)/im.exec(request) ?? [];
    const events = Array.from({ length: EVENTS }, (_, index) => index + 1)
        .filter(id => id > Number(start))
        .map(id => `id: ${id}\ndata: part ${id}\n\n`);
    const sent = events.slice(0, Math.max(0, lastEvent - Number(start)));
    const part = partBytes === 0 || sent.length === events.length ? [] : [events[sent.length]!.slice(0, partBytes)];
    const isWhole = sent.length === events.length;
    return `${HEAD}${head}\r\n${[...sent, ...part].map(encode).join("")}${isWhole ? last : ""}`;
}

const reset = (socket: net.Socket): void => void socket.resetAndDestroy();
const ends: readonly { readonly end: string; readonly close: (socket: net.Socket) => void }[] = [
    { end: "a reset with the last bytes", close: reset },
    { end: "a reset 1 ms later", close: socket => void setTimeout(() => reset(socket), 1) },
    { end: "a reset 5 ms later", close: socket => void setTimeout(() => reset(socket), 5) },
];

let fleet: fleets.RoutedFleet;
let entry: entryPrograms.EntryProgram;
let engines: halfAnswers.HalfAnswerEngine[] = [];

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([{ id: "desk-1", service: "desk", failureDomain: "zone-a" }]);
    entry = await entryPrograms.EntryProgram.start(fleet.store.address);
    await fleet.waitUntil(async () => {
        const answer = await call("/look/ready").catch(() => undefined);
        return answer?.status === 200;
    });
});

vitest.afterEach(async () => {
    engines.forEach(engine => engine.dispose());
    engines = [];
    await entry.dispose();
    fleet.dispose();
});

let nextAttempt = 1;

function call(path: string): Promise<fleets.Answer> {
    const headers = {
        Host: "desk.example",
        "Attempt-Id": `order-${nextAttempt++}`,
        "Deadline-Ms": "3000",
        Authorization: `Token ${fleets.TEAM_KEY}`,
        ...fleets.PROMPT_HEADERS,
    };
    return fleets.sendRequest(entry.callerAddress, "POST", path, headers, "{}");
}

/** Starts engines, and waits until the entry sends calls to them. */
async function addEngines(answers: readonly halfAnswers.HalfAnswer[]): Promise<void> {
    for (const [index, answer] of answers.entries()) {
        const engine = new halfAnswers.HalfAnswerEngine("model", answer);
        engines.push(engine);
        await engine.listen();
        fleet.store.put(`servers/model-${index}`, engine.storeRecord);
    }
    await fleet.waitUntil(async () => {
        await call("/once/ready").catch(() => undefined);
        return engines.some(({ calls }) => calls > 0);
    });
}

/** What callers got of as many streams, one after the other. */
async function callStreams(path: string): Promise<{ readonly ids: number[]; readonly isComplete: boolean }[]> {
    const streams = [];
    for (let count = 0; count < CALLS; count++) {
        const { status, body, isComplete } = await call(path);
        const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
        streams.push({ ids, isComplete: status === 200 && isComplete });
    }
    return streams;
}

function isInOrder(ids: readonly number[]): boolean {
    return ids.every((id, index) => id === index + 1);
}

const cuts = framings.flatMap(framing =>
    ends.flatMap(end => [0, 9].map(partBytes => ({ row: framing, ...end, partBytes, framing: framing.framing })))
);

vitest.describe("a stream that its engine breaks off after two of six events", () => {
    vitest.it.each(cuts)(
        "doesn't look complete: $framing, $partBytes bytes of the next event, then $end",
        async cut => {
            await addEngines([{ write: request => writeStream(request, cut.row, 2, cut.partBytes), end: cut.close }]);
            const streams = await callStreams("/once/x");
            vitest.expect(streams.filter(({ isComplete }) => isComplete)).toEqual([]);
            vitest.expect(streams.filter(({ ids }) => !isInOrder(ids))).toEqual([]);
        },
    );

    vitest.it.each(cuts)(
        "goes on at another engine: $framing, $partBytes bytes of the next event, then $end",
        async cut => {
            const whole = (request: string): string => writeStream(request, cut.row, EVENTS, 0);
            await addEngines([
                { write: request => writeStream(request, cut.row, 2, cut.partBytes), end: cut.close },
                { write: whole, end: socket => void socket.end() },
            ]);
            const streams = await callStreams("/notes/x");
            const isSound = (stream: typeof streams[number]): boolean =>
                isInOrder(stream.ids) && stream.isComplete === (stream.ids.length === EVENTS);
            vitest.expect(streams.filter(stream => !isSound(stream))).toEqual([]);
            vitest.expect(streams.some(({ isComplete }) => isComplete)).toBe(true);
        },
    );
});
