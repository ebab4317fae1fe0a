/**
 * Closed-loop HTTP load: a fixed number of callers, each with one request in flight.
 */
import * as http from "node:http";
import * as clocks from "../src/common/Clock";

/** A POST request. */
export interface Request {
    /** IP address and port. */
    readonly address: string;
    readonly path: string;
    readonly headers: http.OutgoingHttpHeaders;
    readonly body: string;
}

/** The requests to send, and how the units of an answer are counted. */
export interface Load extends Request {
    readonly callers: number;
    readonly requests: number;
    /** Text at the start of each unit of an answer; if undefined, each answer is one unit. */
    readonly unitMarker?: string | undefined;
}

/** Result of a load. */
export interface LoadOutcome {
    readonly units: number;
    readonly failed: number;
    readonly elapsedMs: number;
}

/** Sends all requests of the load; resolves when they have ended. */
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

/** Sends one request; resolves to the number of units of its answer, undefined on failure. */
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

/** Sends the same request `count` times concurrently; disposing the result closes the connections. */
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

/** The body that `GET address/path` returns; empty on any failure. */
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
