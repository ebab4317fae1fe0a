/**
 * Stand-in for an engine that breaks off its answers, which are written byte for byte.
 */
import * as net from "node:net";
import * as clocks from "../../src/common/Clock";
import * as listeners from "../../src/connection/Listener";

/** The answers of the engine. */
export interface HalfAnswer {
    /** What is written for the head of a request; `{attempt}` is that of the request. */
    readonly write: (head: string) => string;
    /** Ends the connection, once that has been written. */
    readonly end: (socket: net.Socket) => void;
}

/** Answers each request when its first bytes have arrived, and reads no more of it. */
export class HalfAnswerEngine implements clocks.Disposable {
    private listener: listeners.Listener | undefined;
    private readonly sockets = new Set<net.Socket>();
    /** Number of calls that were answered; requests for the engine's own state aren't. */
    calls = 0;

    constructor(private readonly service: string, public answer: HalfAnswer) {}

    /** The engine's record for the store. */
    get storeRecord(): unknown {
        return {
            Service: this.service,
            Address: this.listener!.address,
            Zone: "zone-a",
            Version: "v1",
            Slots: 64,
            State: "ready",
            ColdLeftMs: 0,
            Seq: 1,
            born: 1_700_000_000_000,
        };
    }

    async listen(): Promise<void> {
        this.listener = await listeners.listen(net.createServer(socket => this.accept(socket)), "127.0.0.1:0");
    }

    dispose(): void {
        this.sockets.forEach(socket => socket.destroy());
        this.listener?.dispose();
    }

    private accept(socket: net.Socket): void {
        this.sockets.add(socket);
        socket.on("error", () => socket.destroy());
        socket.on("close", () => this.sockets.delete(socket));
        socket.once("data", (request: Buffer) => {
            socket.pause();
            const head = request.toString("latin1");
            if (head.startsWith("GET /report")) {
                socket.destroy();
                return;
            }
            this.calls++;
            const [, attempt] = /^attempt-id: (\S+)/im.exec(head) ?? [];
            socket.write(this.answer.write(head).replace("{attempt}", attempt ?? ""));
            this.answer.end(socket);
        });
    }
}
