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
    readonly unitMarker?: string | undefined;
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
    let startedCount = 0;
    let units = 0;
    let failed = 0;
    const runCaller = async (): Promise<void> => {
        while (startedCount < load.requests) {
            startedCount++;
            const callUnits = await sendRequest(load, agent);
            units += callUnits ?? 0;
            failed += callUnits === undefined ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: load.callers }, runCaller));
    agent.destroy();
    return { units, failed, elapsedMs: clocks.systemClock.now() - startedMs };
}

/** One request; resolves to the units of its answer, undefined for any failure. */
function sendRequest(load: Load, agent: http.Agent): Promise<number | undefined> {
    const { unitMarker } = load;
    return new Promise(resolve => {
        const request = http.request(createRequestOptions(load, agent), answer => {
            let units = unitMarker === undefined ? 1 : 0;
            let unmatchedTail = "";
            answer.setEncoding("latin1");
            answer.on("data", (chunk: string) => {
                if (unitMarker !== undefined) {
                    const parts = (unmatchedTail + chunk).split(unitMarker);
                    units += parts.length - 1;
                    unmatchedTail = parts.at(-1)!.slice(1 - unitMarker.length);
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
        const outgoing = http.request(createRequestOptions(request, agent), answer => {
            answer.on("error", () => undefined);
            answer.resume();
        });
        outgoing.on("error", () => undefined);
        outgoing.end(request.body);
    }
    return { dispose: () => agent.destroy() };
}

function createRequestOptions(request: Request, agent: http.Agent): http.RequestOptions {
    const [host, port] = request.address.split(":");
    const { path, body } = request;
    const headers = { ...request.headers, "content-type": "application/json", "content-length": body.length };
    return { host, port, path, method: "POST", agent, headers };
}

/** The text that `GET address/path` answers; empty when it can't be reached. */
export function fetchText(address: string, path: string): Promise<string> {
    return new Promise(resolve => {
        http.get(`http://${address}${path}`, { agent: false }, answer => {
            const chunks: string[] = [];
            answer.setEncoding("utf8");
            answer.on("data", (chunk: string) => chunks.push(chunk));
            answer.on("end", () => resolve(answer.statusCode === 200 ? chunks.join("") : ""));
        }).on("error", () => resolve(""));
    });
}
