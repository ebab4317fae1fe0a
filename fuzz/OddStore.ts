/**
 * The store as the process under test sees it: a server before a sound store that replaces some of its answers.
 */
import * as http from "node:http";
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as listeners from "../src/connection/Listener";
import * as storeInputs from "./StoreInputs";

const ODD_SHARE = 0.5;

/** Relays requests to the store at `target`. */
export class OddStore implements clocks.Disposable {
    /** Decides on odd answers; undefined while all are sound. */
    random: randoms.Random | undefined;
    /** Number of odd answers given. */
    oddAnswers = 0;
    private listener: listeners.Listener | undefined;

    constructor(private readonly target: string) {}

    async listen(): Promise<void> {
        const server = http.createServer((request, response) => this.relay(request, response));
        this.listener = await listeners.listen(server, "127.0.0.1:0");
    }

    get address(): string {
        return this.listener!.address;
    }

    dispose(): void {
        this.listener?.dispose();
    }

    private relay(request: http.IncomingMessage, response: http.ServerResponse): void {
        const forwarded = http.get(`http://${this.target}${request.url}`, { agent: false }, answer => {
            const chunks: Buffer[] = [];
            answer.on("data", (chunk: Buffer) => chunks.push(chunk));
            answer.on("error", () => response.destroy());
            answer.on("end", () => {
                const era = answer.headers["store-era"];
                this.answer(response, {
                    status: answer.statusCode ?? 0,
                    headers: era === undefined ? {} : { "Store-Era": String(era) },
                    body: Buffer.concat(chunks),
                    isBroken: false,
                });
            });
        });
        forwarded.on("error", () => response.destroy());
        response.on("close", () => forwarded.destroy());
    }

    private answer(response: http.ServerResponse, sound: storeInputs.StoreAnswer): void {
        const isOdd = this.random !== undefined && this.random() < ODD_SHARE;
        this.oddAnswers += isOdd ? 1 : 0;
        const answer = isOdd ? storeInputs.createStoreAnswer(this.random!, sound) : sound;
        response.writeHead(answer.status, { ...answer.headers, "Content-Length": answer.body.length });
        if (answer.isBroken) {
            response.write(answer.body.subarray(0, answer.body.length / 2));
            setImmediate(() => response.socket?.resetAndDestroy());
            return;
        }
        response.end(answer.body);
    }
}
