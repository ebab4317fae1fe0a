import * as crypto from "node:crypto";
import * as events from "node:events";
import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as pacedSockets from "./PacedSocket";
import * as readTurns from "./ReadTurns";

const MANY_BYTES = 3 * 1024 * 1024;

const servers: net.Server[] = [];
vitest.afterEach(() => servers.splice(0).forEach(server => server.close()));

/** The two ends of a connection: the one that sends, and the one whose reads are paced. */
async function connect(turns: readTurns.ReadTurns): Promise<{ sender: net.Socket; reader: net.Socket }> {
    const server = net.createServer({ allowHalfOpen: true });
    servers.push(server);
    server.listen(0, "127.0.0.1");
    await events.EventEmitter.once(server, "listening");
    const reader = net.connect((server.address() as net.AddressInfo).port, "127.0.0.1");
    pacedSockets.paceOpened(reader, { kind: "instance", address: "peer" }, turns);
    const [sender] = await events.EventEmitter.once(server, "connection") as [net.Socket];
    sender.on("error", () => undefined);
    return { sender, reader };
}

/** Turns in which each piece seems to have taken `pieceMs`, so that further ones wait. */
function createTurns(pieceMs: number): readTurns.ReadTurns {
    const clock = clocks.systemClock;
    let skippedMs = 0;
    const turns = new readTurns.ReadTurns({ now: () => clock.now() + skippedMs });
    const begin = turns.begin.bind(turns);
    turns.begin = (account, bytes) => {
        begin(account, bytes);
        skippedMs += pieceMs;
    };
    return turns;
}

const costs = [
    { cost: "cheap", pieceMs: 0 },
    { cost: "costly", pieceMs: 30 },
];

vitest.describe.each(costs)("a socket whose pieces are $cost", ({ pieceMs }) => {
    vitest.it.each([
        { name: "by a listener", read: readByListener },
        { name: "by iteration", read: readByIteration },
        { name: "with pauses", read: readWithPauses },
    ])("passes all bytes on in their order, then the end, when read $name", async ({ read }) => {
        const turns = createTurns(pieceMs);
        const { sender, reader } = await connect(turns);
        const sent = crypto.randomBytes(MANY_BYTES);
        sender.end(sent);
        const received = await read(reader);
        vitest.expect(received.length).toBe(sent.length);
        vitest.expect(received.equals(sent)).toBe(true);
        reader.destroy();
        await events.EventEmitter.once(reader, "close");
        vitest.expect([turns.heldBytes, turns.waitingCount]).toEqual([0, 0]);
    });

    vitest.it("passes small writes on, one after the other", async () => {
        const { sender, reader } = await connect(createTurns(pieceMs));
        const received: string[] = [];
        reader.on("data", (chunk: Buffer) => {
            received.push(String(chunk));
            if (received.length < 20) {
                sender.write(`write ${received.length}`);
            }
            else {
                sender.end();
            }
        });
        sender.write("write 0");
        await events.EventEmitter.once(reader, "end");
        vitest.expect(received).toEqual(Array.from({ length: 20 }, (_, i) => `write ${i}`));
        reader.destroy();
    });

    vitest.it("ends with an error when the connection is reset, and holds nothing", async () => {
        const turns = createTurns(pieceMs);
        const { sender, reader } = await connect(turns);
        reader.on("data", () => undefined);
        const closed = new Promise<string | undefined>(resolve => {
            reader.on("error", (error: NodeJS.ErrnoException) => resolve(error.code));
            reader.on("close", () => resolve(undefined));
        });
        sender.write(Buffer.alloc(MANY_BYTES));
        await events.EventEmitter.once(reader, "data");
        sender.resetAndDestroy();
        vitest.expect(await closed).toBe("ECONNRESET");
        vitest.expect([turns.heldBytes, turns.waitingCount]).toEqual([0, 0]);
    });

    vitest.it("passes nothing on once it is destroyed", async () => {
        const turns = createTurns(pieceMs);
        const { sender, reader } = await connect(turns);
        let lateBytes = 0;
        reader.on("data", (chunk: Buffer) => {
            lateBytes += reader.destroyed ? chunk.length : 0;
            reader.destroy();
        });
        sender.write(Buffer.alloc(MANY_BYTES));
        await events.EventEmitter.once(reader, "close");
        await new Promise(resolve => setTimeout(resolve, 20));
        vitest.expect([lateBytes, turns.heldBytes, turns.waitingCount]).toEqual([0, 0, 0]);
    });
});

vitest.it("timers and other reads come between costly pieces", async () => {
    const turns = createTurns(30);
    const { sender, reader } = await connect(turns);
    const other = await connect(turns);
    let pieces = 0;
    let otherReads = 0;
    reader.on("data", () => pieces++);
    other.reader.on("data", () => {
        otherReads++;
        other.sender.write("next");
    });
    other.sender.write("first");
    sender.end(Buffer.alloc(MANY_BYTES));
    await events.EventEmitter.once(reader, "end");
    vitest.expect(pieces).toBeGreaterThan(MANY_BYTES / 65_536);
    vitest.expect(otherReads).toBeGreaterThan(5);
    reader.destroy();
    other.reader.destroy();
});

vitest.it("a paused socket is read no further than Node.js does", async () => {
    const turns = createTurns(30);
    const { sender, reader } = await connect(turns);
    sender.write(Buffer.alloc(MANY_BYTES));
    reader.once("data", () => reader.pause());
    await events.EventEmitter.once(reader, "data");
    await new Promise(resolve => setTimeout(resolve, 100));
    vitest.expect(reader.readableLength).toBe(0);
    vitest.expect(turns.heldBytes).toBeLessThanOrEqual(2 * 65_536);
    vitest.expect(pacedSockets.hasUnreadPieces(reader)).toBe(true);
    reader.destroy();
});

vitest.it("an idle socket passes on at once what arrives", async () => {
    const turns = createTurns(30);
    const { sender, reader } = await connect(turns);
    reader.on("data", () => undefined);
    sender.write(Buffer.alloc(100_000));
    await events.EventEmitter.once(reader, "data");
    while (pacedSockets.hasUnreadPieces(reader)) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    await new Promise(resolve => setTimeout(resolve, 50));
    pacedSockets.setIdle(reader, true);
    sender.write("stray");
    await events.EventEmitter.once(reader, "data");
    vitest.expect(pacedSockets.hasUnreadPieces(reader)).toBe(false);
    reader.destroy();
});

function readByListener(socket: net.Socket): Promise<Buffer> {
    const chunks: Buffer[] = [];
    socket.on("data", (chunk: Buffer) => chunks.push(chunk));
    return new Promise(resolve => socket.on("end", () => resolve(Buffer.concat(chunks))));
}

async function readByIteration(socket: net.Socket): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of socket) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}

function readWithPauses(socket: net.Socket): Promise<Buffer> {
    const chunks: Buffer[] = [];
    socket.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        if (chunks.length % 5 === 0) {
            socket.pause();
            setTimeout(() => socket.resume(), 1);
        }
    });
    return new Promise(resolve => socket.on("end", () => resolve(Buffer.concat(chunks))));
}

// Guards against the end of the process: a pooled connection is reset while it is between two of its readers.
vitest.it("a reset of a socket that nobody listens to ends the socket, and nothing else", async () => {
    const uncaught: unknown[] = [];
    const record = (error: unknown): void => void uncaught.push(error);
    process.on("uncaughtException", record);
    for (let count = 0; count < 20; count++) {
        const { sender, reader } = await connect(createTurns(0));
        reader.resume();
        sender.write("the last bytes");
        process.nextTick(() => sender.resetAndDestroy());
        await new Promise(resolve => reader.once("close", resolve));
    }
    process.off("uncaughtException", record);
    vitest.expect(uncaught).toEqual([]);
});
