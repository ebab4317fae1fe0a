/**
 * Load by HTTP from a fixed number of callers, each with one request at a time.
 */
import * as http from "node:http";
import * as clocks from "../src/common/Clock";

/** One request by POST. */
export interface Request {
    /** IP number and port. */
    readonly address: string;
    readonly path: string;
    readonly headers: http.OutgoingHttpHeaders;
    readonly body: string;
}

/** What callers send, and how an answer's units are counted. */
export interface Load extends Request {
    readonly callers: number;
    readonly requests: number;
    /** Text that each unit of an answer begins with; undefined counts answers. */
    readonly marker?: string | undefined;
}

/** What a load came to. */
export interface LoadOutcome {
    readonly units: number;
    readonly failed: number;
    readonly elapsedMs: number;
}

/** Sends the load and waits for its end. */
export async function send(load: Load): Promise<LoadOutcome> {
    const agent = new http.Agent({ keepAlive: true, maxSockets: load.callers });
    const startedMs = clocks.systemClock.now();
    let begun = 0;
    let units = 0;
    let failed = 0;
    const run = async (): Promise<void> => {
        while (begun < load.requests) {
            begun++;
            const count = await call(load, agent);
            units += count ?? 0;
            failed += count === undefined ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: load.callers }, run));
    agent.destroy();
    return { units, failed, elapsedMs: clocks.systemClock.now() - startedMs };
}

/** One request; resolves to the units of its answer, undefined for any failure. */
function call(load: Load, agent: http.Agent): Promise<number | undefined> {
    const { marker } = load;
    return new Promise(resolve => {
        const request = http.request(describe(load, agent), answer => {
            let units = marker === undefined ? 1 : 0;
            let rest = "";
            answer.setEncoding("latin1");
            answer.on("data", (chunk: string) => {
                if (marker !== undefined) {
                    const pieces = (rest + chunk).split(marker);
                    units += pieces.length - 1;
                    rest = pieces.at(-1)!.slice(1 - marker.length);
                }
            });
            answer.on("end", () => resolve(answer.statusCode === 200 ? units : undefined));
            answer.on("error", () => resolve(undefined));
        });
        request.on("error", () => resolve(undefined));
        request.end(load.body);
    });
}

/** Sends the same request `count` times at once, and leaves them open until the result is disposed. */
export function holdOpen(request: Request, count: number): clocks.Disposable {
    const agent = new http.Agent({ maxSockets: count });
    for (let index = 0; index < count; index++) {
        const outgoing = http.request(describe(request, agent), answer => {
            answer.on("error", () => undefined);
            answer.resume();
        });
        outgoing.on("error", () => undefined);
        outgoing.end(request.body);
    }
    return { dispose: () => agent.destroy() };
}

function describe(request: Request, agent: http.Agent): http.RequestOptions {
    const [host, port] = request.address.split(":");
    const { path, body } = request;
    const headers = { ...request.headers, "content-type": "application/json", "content-length": body.length };
    return { host, port, path, method: "POST", agent, headers };
}

/** The text that `GET address/path` answers; empty when it can't be reached. */
export function read(address: string, path: string): Promise<string> {
    return new Promise(resolve => {
        http.get(`http://${address}${path}`, { agent: false }, answer => {
            const chunks: string[] = [];
            answer.setEncoding("utf8");
            answer.on("data", (chunk: string) => chunks.push(chunk));
            answer.on("end", () => resolve(answer.statusCode === 200 ? chunks.join("") : ""));
        }).on("error", () => resolve(""));
    });
}
