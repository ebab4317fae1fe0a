/**
 * Stand-in of the platform's engines with their faults: plain services, model engines that stream events, and
 * engines that run stages.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as clocks from "../../src/common/Clock";
import * as listeners from "../../src/connection/Listener";
import * as engineFaults from "./EngineFaults";
import * as engineRequests from "./EngineRequest";
import * as streams from "./StreamEvents";

/** A received call that the engine ran. */
export interface EngineRun {
    readonly method: string;
    readonly path: string;
    readonly headers: http.IncomingHttpHeaders;
    readonly body: string;
    /** Time of arrival on the monotonic clock of this process. */
    readonly atMs: number;
    /** Whether the answer says that the engine leaves. */
    readonly isLeaving: boolean;
}

/** A received call, stage call or release, whatever became of it. */
export interface EngineArrival {
    /** The call's attempt; undefined for stage calls and releases. */
    readonly attempt: string | undefined;
    readonly path: string;
    readonly atMs: number;
    /** The `Retry-After` with which the engine rejected it; undefined if it didn't. */
    readonly retryAfter: string | undefined;
    /** Whether its answer names a limit. */
    readonly isLimited: boolean;
}

const TRICKLE_INTERVAL_MS = 300;

export type EngineFaults = engineFaults.EngineFaults;

/** Identity and timing of an engine. */
export interface EngineOptions extends streams.StreamEvents {
    readonly id: string;
    readonly service: string;
    readonly failureDomain: string;
    /** Version of its software, which its events carry; undefined for `v1` and events without a version. */
    readonly softwareVersion?: string;
    /** Start, in milliseconds since 1970. */
    readonly startedMs?: number;
    /** Time between events. */
    readonly eventIntervalMs?: number;
    /** Time between the arrival of a call and the start of its answer. */
    readonly serviceMs?: number;
    /** Time between the arrival of a stage call and its answer. */
    readonly stageMs?: number;
    /** Size of each answer that isn't a stream; undefined for a short one. */
    readonly answerBytes?: number;
}

/** Time from a crash to the next start. */
export const CRASH_DOWN_MS = 300;

/** Simulates one engine with an HTTP server on 127.0.0.1. */
export class PlatformEngineStandIn {
    faults: EngineFaults = {};
    /** Whether the engine leaves: all its answers say so, those included with which it rejects a call. */
    isLeaving = false;
    /** Requests a second that it takes from all entries together, named in all its answers. */
    limitPerSecond: number | undefined;
    readonly runs: EngineRun[] = [];
    readonly arrivals: EngineArrival[] = [];
    /** The pieces of each received batch. */
    readonly batches: unknown[][] = [];
    readonly releasedHandles: string[] = [];
    /** The attempt that each result was made for, by handle. */
    readonly results = new Map<string, string>();
    /** Number of runs whose connection closed before the answer was complete. */
    cancelledRuns = 0;
    /** Number of calls that were meant for another engine. */
    misdirectedCalls = 0;
    /** Number of requests for the engine's own state. */
    reports = 0;
    /** Number of calls rejected as not run. */
    rejectedCalls = 0;
    private nextHandle = 1;
    private bornMs: number;
    private isDisposed = false;
    private readonly sockets = new Set<net.Socket>();
    /** Connections on which a call has run. */
    private readonly usedSockets = new WeakSet<net.Socket>();
    /** Answers that are sent once more on their connections. */
    private readonly repeatedAnswers = new WeakMap<net.Socket, string>();
    private listener: listeners.Listener | undefined;
    /** Number of answers that have a head and nothing more, and whose callers still wait. */
    stalledAnswers = 0;
    /** A part of prompts; the engine ends when it begins to answer a prompt with it, and starts again. */
    crashPart: string | undefined;
    /** A body; the engine ends when it begins to run a request with it. */
    crashBody: string | undefined;
    /** The attempts whose prompts ended the engine. */
    readonly crashes: string[] = [];
    /** Called when a prompt ends the engine, and when it has started again. */
    onCrash: (attempt: string) => void = () => undefined;
    onRestart: () => void = () => undefined;

    constructor(public options: EngineOptions) {
        this.bornMs = options.startedMs ?? 1_700_000_000_000;
    }

    /** IP address and port. */
    get address(): string {
        return this.listener!.address;
    }

    /** The engine's record for the store, by default with its own address. */
    createStoreRecord(state: "ready" | "draining" = "ready", address = this.address): unknown {
        const { service, failureDomain, softwareVersion } = this.options;
        return {
            Service: service,
            Address: address,
            Zone: failureDomain,
            Version: softwareVersion ?? "v1",
            Slots: 8,
            State: state,
            ColdLeftMs: 0,
            Seq: 1,
            born: this.bornMs,
        };
    }

    async listen(address = "127.0.0.1:0"): Promise<void> {
        const server = http.createServer((request, response) => void this.handle(request, response));
        server.on("connection", (socket: net.Socket) => {
            socket.setNoDelay(true);
            this.sockets.add(socket);
            socket.on("close", () => this.sockets.delete(socket));
        });
        this.listener = await listeners.listen(server, address);
    }

    /** Simulates the end of the process, and a new start at the same address after a while. */
    private crash(attempt: string): void {
        this.crashes.push(attempt);
        this.onCrash(attempt);
        const { address } = this;
        this.listener?.dispose();
        this.sockets.forEach(socket => socket.destroy());
        setTimeout(() => {
            if (!this.isDisposed) {
                this.bornMs++;
                void this.listen(address).then(() => this.onRestart());
            }
        }, CRASH_DOWN_MS);
    }

    /** Simulates a new start at the same address, by default with the same id and software; ends all connections. */
    restart(change: Partial<Pick<EngineOptions, "id" | "softwareVersion">> = {}): void {
        this.options = { ...this.options, ...change };
        this.bornMs++;
        this.isLeaving = false;
        this.sockets.forEach(socket => socket.destroy());
    }

    dispose(): void {
        this.isDisposed = true;
        this.listener?.dispose();
    }

    private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const body = await engineRequests.readBody(request);
        request.socket.write(this.repeatedAnswers.get(request.socket) ?? "");
        this.repeatedAnswers.delete(request.socket);
        if (this.isLeaving) {
            response.setHeader("Server-Leaving", "1");
        }
        const isLimited = this.limitPerSecond !== undefined;
        if (isLimited) {
            response.setHeader("Server-Limit", String(this.limitPerSecond));
        }
        const expectedInstance = request.headers["expect-instance"];
        if (expectedInstance !== undefined && expectedInstance !== this.options.id) {
            this.misdirectedCalls++;
            response.writeHead(421, { "Instance-Id": this.options.id }).end();
            return;
        }
        if (request.url === "/health") {
            response.writeHead(this.isLeaving ? 503 : 200, { "Instance-Id": this.options.id }).end();
            return;
        }
        const { shed, retryAfter } = this.faults;
        const attempt = request.headers["attempt-id"] as string | undefined;
        const atMs = clocks.systemClock.now();
        const shedRetryAfter = shed === true ? retryAfter : undefined;
        this.arrivals.push({ attempt, path: request.url!, atMs, retryAfter: shedRetryAfter, isLimited });
        if (shed === true) {
            this.rejectedCalls++;
            const retryHeaders = retryAfter === undefined ? {} : { "Retry-After": retryAfter };
            const headers = { "Not-Executed": "1", ...engineRequests.echoAttempt(attempt), ...retryHeaders };
            response.writeHead(503, headers).end();
            return;
        }
        if (engineRequests.breakHead(request, this.options.id, this.faults.brokenHead)) {
            return;
        }
        if (request.url === "/report") {
            this.report(response);
            return;
        }
        if (request.url === "/stage-run" || request.url === "/stage-free") {
            await this.handleStage(request.url, body, response);
            return;
        }
        if (engineRequests.hasPieces(request.headers) && request.headers["inputs"] === undefined) {
            response.writeHead(400, { "Not-Executed": "1", ...engineRequests.echoAttempt(attempt) }).end();
            return;
        }
        if (this.faults.repeatsRefusals !== undefined && this.usedSockets.has(request.socket)) {
            request.socket.write(engineRequests.encodeRefusal(this.faults.repeatsRefusals));
        }
        this.usedSockets.add(request.socket);
        const { method, url, headers } = request;
        const { isLeaving } = this;
        this.runs.push({ method: method!, path: url!, headers, body, atMs, isLeaving });
        response.on("close", () => this.cancelledRuns += response.writableFinished ? 0 : 1);
        if (this.faults.reset === true) {
            request.socket.resetAndDestroy();
            return;
        }
        if (this.faults.hang) {
            return;
        }
        if (this.crashBody !== undefined && body === this.crashBody) {
            this.crash(attempt!);
            return;
        }
        await this.run(request, response);
    }

    private async run(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        const attemptId = this.faults.otherAttempt === true ? "another" : String(request.headers["attempt-id"]);
        const headers = { "Attempt-Id": attemptId, "Route-Stamp": `stamp-${this.options.id}`, "Engine-Load": "1,0,8" };
        const { events: eventCount, softwareVersion } = this.options;
        const writer = softwareVersion === undefined ? "" : ` of ${softwareVersion}`;
        await new Promise(resolve => setTimeout(resolve, this.options.serviceMs ?? 0));
        if (this.faults.unframed === true) {
            response.shouldKeepAlive = false;
            response.useChunkedEncodingByDefault = false;
            response.removeHeader("transfer-encoding");
            response.writeHead(200, headers);
        }
        const answer = `answer of ${this.options.id} to ${attemptId}`.padEnd(this.options.answerBytes ?? 0);
        if (eventCount === undefined && this.faults.unframed === true) {
            response.end(answer);
            return;
        }
        if (eventCount === undefined || (this.faults.status !== undefined && this.faults.unframed !== true)) {
            response.writeHead(this.faults.status ?? 200, headers).end(answer);
            return;
        }
        if (this.faults.plainText !== undefined) {
            response.writeHead(200, { ...headers, "Content-Type": "text/plain" }).end(this.faults.plainText);
            return;
        }
        await this.pauseAfter(0, response);
        if (this.faults.unframed !== true) {
            response.writeHead(200, { ...headers, "Content-Type": "text/event-stream" });
        }
        if (this.crashPart !== undefined && engineRequests.hasPart(request.headers, this.crashPart)) {
            response.flushHeaders();
            this.crash(attemptId);
            return;
        }
        for (let event = streams.findLastEvent(request.headers, this.options) + 1; event <= eventCount; event++) {
            if (this.faults.breakAfterEvent !== undefined && event > this.faults.breakAfterEvent) {
                response.write(`${streams.encodeId(event, this.options)}da`);
                setTimeout(() => request.socket.destroy(), 5);
                return;
            }
            response.write(streams.encodeEvent(event, writer, this.options));
            if (this.faults.resetAfterEvent === event) {
                process.nextTick(() => request.socket.resetAndDestroy()); // Node.js has written the event by then.
                return;
            }
            await this.pauseAfter(event, response);
            await new Promise(resolve => setTimeout(resolve, this.options.eventIntervalMs ?? 1));
        }
        response.end();
    }

    private report(response: http.ServerResponse): void {
        this.reports++;
        if (this.faults.hang === true) {
            return;
        }
        response.writeHead(200, { "content-type": "application/json" });
        response.end(JSON.stringify({ Stage: "colocated", Busy: false, Seq: 1, born: this.bornMs }));
    }

    private async pauseAfter(eventId: number, response: http.ServerResponse): Promise<void> {
        const pause = this.faults.pause?.afterEvent === eventId ? this.faults.pause : undefined;
        const text = pause?.trickle;
        const timer = text === undefined ? undefined : setInterval(() => response.write(text), TRICKLE_INTERVAL_MS);
        await new Promise(resolve => setTimeout(resolve, pause?.ms ?? 0));
        clearInterval(timer);
    }

    private async handleStage(path: string, body: string, response: http.ServerResponse): Promise<void> {
        if (this.faults.hang) {
            return;
        }
        const content = JSON.parse(body) as { Items?: { Id: string }[]; Handles?: string[] };
        response.setHeader("content-type", "application/json");
        if (this.faults.stalledBody === true) {
            this.batches.push(content.Items ?? []);
            response.flushHeaders();
            this.stalledAnswers++;
            response.on("close", () => this.stalledAnswers--);
            return;
        }
        if (path === "/stage-free") {
            this.releasedHandles.push(...content.Handles ?? []);
            response.end("{}");
            return;
        }
        this.batches.push(content.Items ?? []);
        await new Promise(resolve => setTimeout(resolve, this.options.stageMs ?? 0));
        const items = (content.Items ?? []).map(item => ({ Handle: this.addResult(item.Id) }));
        const answer = JSON.stringify({ Items: items });
        if (this.faults.repeatsStageAnswers === true) {
            const head =
                `HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${answer.length}\r\n\r\n`;
            this.repeatedAnswers.set(response.socket!, head + answer);
        }
        response.end(answer);
    }

    private addResult(attempt: string): string {
        const handle = `${this.address}/${this.nextHandle++}`;
        this.results.set(handle, attempt);
        return handle;
    }
}
