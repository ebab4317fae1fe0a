import * as net from "node:net";
import * as vitest from "vitest";
import * as fleets from "../standins/platform/RoutedFleet";

const LAST_CHUNK = "\r\n0\r\n\r\n";

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start();
    await fleet.addEntry();
    await fleet.waitUntil(async () => (await fleet.call("/look/ready")).status === 200);
});

vitest.afterEach(() => fleet.dispose());

/** What a caller receives, and how its connection ends. */
interface RawAnswer {
    readonly text: string;
    readonly end: "closed" | "reset";
}

/** Calls a stream whose engine's answer has no length, and reads until the connection ends. */
function callUnframed(protocol: string): Promise<RawAnswer> {
    const [host, port] = fleet.entries[0]!.callerAddress.split(":");
    const headers = [
        "Host: desk.example",
        "Attempt-Id: unframed",
        `Authorization: Token ${fleets.TEAM_KEY}`,
        "Connection: close",
    ];
    const prompt = Object.entries(fleets.PROMPT_HEADERS).map(([name, value]) => `${name}: ${value}`);
    const socket = net.connect(Number(port), host);
    socket.write(`POST /once/1 ${protocol}\r\n${[...headers, ...prompt].join("\r\n")}\r\n\r\n`);
    let text = "";
    socket.on("data", chunk => text += chunk.toString("latin1"));
    return new Promise(resolve => {
        socket.on("error", () => resolve({ text, end: "reset" }));
        socket.on("end", () => resolve({ text, end: "closed" }));
    });
}

const sources = [
    { name: "after a complete one", breakAfterEvent: undefined, isComplete: true },
    { name: "after one that breaks", breakAfterEvent: 3, isComplete: false },
];

vitest.describe("a stream whose instance sends it without a length", () => {
    vitest.beforeEach(() => fleet.enginesOf("model").forEach(engine => engine.faults = { unframed: true }));

    // Guards against streams that look complete though they were broken off, also by the end of an entry's process.
    vitest.it.each(sources)("ends with the last chunk only $name", async ({ breakAfterEvent, isComplete }) => {
        fleet.enginesOf("model").forEach(engine => engine.faults = { unframed: true, breakAfterEvent });
        const { text } = await callUnframed("HTTP/1.1");
        vitest.expect(text.toLowerCase()).toContain("\r\ntransfer-encoding: chunked\r\n");
        vitest.expect(text).toContain("data: part 3\n");
        vitest.expect(text.endsWith(LAST_CHUNK)).toBe(isComplete);
    });

    // Guards against streams that are broken off and look complete to callers that can't read chunks.
    vitest.it.each(sources)("ends with a FIN to an HTTP/1.0 caller only $name", async source => {
        const { breakAfterEvent, isComplete } = source;
        fleet.enginesOf("model").forEach(engine => engine.faults = { unframed: true, breakAfterEvent });
        const { text, end } = await callUnframed("HTTP/1.0");
        vitest.expect(text.toLowerCase()).not.toContain("transfer-encoding");
        vitest.expect(end).toBe(isComplete ? "closed" : "reset");
    });
});
