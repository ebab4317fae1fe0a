/**
 * An engine at a TCP server: it reads requests just well enough to answer each of them with given bytes.
 */
import * as net from "node:net";
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as listeners from "../src/connection/Listener";
import * as engineInputs from "./EngineInputs";

const HEAD_END = "\r\n\r\n";
/** Share of the parts of a request that are answered before the rest has arrived. */
const EARLY_SHARE = 0.1;

/** Creates the answer to a request. */
export type CreateAnswer = (question: engineInputs.EngineQuestion) => engineInputs.EngineAnswer;

/** Answers all requests with odd answers. */
export class OddEngine implements clocks.Disposable {
    /** Number of answers given. */
    answers = 0;
    private listener: listeners.Listener | undefined;

    constructor(
        readonly id: string,
        readonly service: string,
        private readonly random: randoms.Random,
        private readonly createAnswer: CreateAnswer,
    ) {}

    async listen(): Promise<void> {
        const server = net.createServer(socket => this.accept(socket));
        this.listener = await listeners.listen(server, "127.0.0.1:0");
    }

    get address(): string {
        return this.listener!.address;
    }

    dispose(): void {
        this.listener?.dispose();
    }

    /** The engine's record for the store. */
    createStoreRecord(): unknown {
        return {
            Service: this.service,
            Address: this.address,
            Zone: "zone-a",
            Version: "v1",
            Slots: 8,
            State: "ready",
            ColdLeftMs: 0,
            Seq: 1,
            born: 1_700_000_000_000,
        };
    }

    private accept(socket: net.Socket): void {
        let unread = "";
        socket.on("error", () => undefined); // The process under test may close it at any time.
        socket.on("data", (bytes: Buffer) => {
            unread += bytes.toString("latin1");
            const headEnd = unread.indexOf(HEAD_END);
            const length = Number(/^content-length: (\d+)/im.exec(unread)?.[1] ?? 0);
            const isRead = headEnd >= 0 && unread.length >= headEnd + HEAD_END.length + length;
            if (!isRead && this.random() >= EARLY_SHARE) {
                return;
            }
            const request = unread;
            unread = "";
            void this.answer(socket, request);
        });
    }

    private async answer(socket: net.Socket, request: string): Promise<void> {
        this.answers++;
        const answer = this.createAnswer({
            path: request.split(" ")[1] ?? "",
            attempt: /^attempt-id: (.*)\r$/im.exec(request)?.[1] ?? "",
            pieces: request.split("\"Id\":").length - 1,
            address: this.address,
        });
        for (const part of answer.parts) {
            await clocks.sleep(clocks.systemClock, answer.pauseMs);
            socket.write(part);
        }
        if (answer.end === "close") {
            socket.end();
        }
        else if (answer.end === "reset") {
            socket.resetAndDestroy();
        }
    }
}
