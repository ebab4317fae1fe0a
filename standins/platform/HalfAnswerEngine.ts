/**
 * Stand-in for an engine that breaks off its answers, which are written byte for byte.
 */
import * as net from "node:net";
import * as clocks from "../../src/common/Clock";
import * as rawServers from "./RawServer";

/** The answers of the engine. */
export interface HalfAnswer {
    /** What is written for the head of a request; `{attempt}` is that of the request. */
    readonly write: (head: string) => string;
    /** Ends the connection, once that has been written. */
    readonly end: (socket: net.Socket) => void;
}

/** Answers each request when its first bytes have arrived, and reads no more of it. */
export class HalfAnswerEngine implements clocks.Disposable {
    private readonly server = new rawServers.RawServer((socket, request) => this.respond(socket, request));
    /** Number of calls that were answered; requests for the engine's own state aren't. */
    calls = 0;

    constructor(private readonly service: string, public answer: HalfAnswer) {}

    /** The engine's record for the store. */
    get storeRecord(): unknown {
        return {
            Service: this.service,
            Address: this.server.address,
            Zone: "zone-a",
            Version: "v1",
            Slots: 64,
            State: "ready",
            ColdLeftMs: 0,
            Seq: 1,
            born: 1_700_000_000_000,
        };
    }

    listen(): Promise<void> {
        return this.server.listen();
    }

    dispose(): void {
        this.server.dispose();
    }

    private respond(socket: net.Socket, request: string): void {
        socket.pause();
        if (request.startsWith("GET /report")) {
            socket.destroy();
            return;
        }
        this.calls++;
        socket.write(this.answer.write(request).replace("{attempt}", rawServers.readAttempt(request)));
        this.answer.end(socket);
    }
}
