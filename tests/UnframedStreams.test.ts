import * as net from "node:net";
import * as vitest from "vitest";
import * as fleets from "../standins/platform/RoutedFleet";

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start();
    await fleet.addEntry();
    await fleet.waitUntil(async () => (await fleet.call("/look/ready")).status === 200);
});

vitest.afterEach(() => fleet.dispose());

/** Calls a stream and returns how its connection ends, which is all that ends an answer without a length. */
function callUnframed(): Promise<"closed" | "reset"> {
    const [host, port] = fleet.entries[0]!.callerAddress.split(":");
    const headers = ["Host: desk.example", "Attempt-Id: unframed", `Authorization: Token ${fleets.TEAM_KEY}`];
    const prompt = Object.entries(fleets.PROMPT_HEADERS).map(([name, value]) => `${name}: ${value}`);
    const socket = net.connect(Number(port), host);
    socket.write(`POST /once/1 HTTP/1.1\r\n${[...headers, ...prompt].join("\r\n")}\r\n\r\n`);
    socket.resume();
    return new Promise(resolve => {
        socket.on("error", () => resolve("reset"));
        socket.on("end", () => resolve("closed"));
    });
}

vitest.describe("the connection of a stream without a length", () => {
    // Guards against streams that are broken off and look complete.
    vitest.it.each([
        { name: "is closed after a complete one", breakAfterEvent: undefined, end: "closed" },
        { name: "is reset after one that breaks", breakAfterEvent: 3, end: "reset" },
    ])("$name", async ({ breakAfterEvent, end }) => {
        fleet.enginesOf("model").forEach(engine => engine.faults = { unframed: true, breakAfterEvent });
        vitest.expect(await callUnframed()).toBe(end);
    });
});
