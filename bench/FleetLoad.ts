/**
 * Open-loop load on the entries of a fleet: seeded arrivals and kinds of requests, and a record of each answer.
 */
import * as clocks from "../src/common/Clock";
import * as callers from "../standins/Caller";

const MS_PER_SECOND = 1_000;

/** One kind of request. */
export interface RequestKind {
    readonly path: string;
    readonly maxTokens: number;
    readonly deadlineMs: number;
    readonly streams: boolean;
}

/** A request that has ended. Times are milliseconds since 1970. */
export interface EndedRequest {
    readonly kind: RequestKind;
    readonly entry: string;
    readonly startedMs: number;
    readonly endedMs: number;
    readonly body: unknown;
    readonly reply: callers.CallerReply;
}

/** What a load needs. */
export interface LoadOptions {
    readonly random: () => number;
    readonly kinds: readonly RequestKind[];
    readonly teams: readonly string[];
    readonly requestsPerSecond: number;
    /** Name and address of the entry that the platform's balancer picks. */
    readonly pickEntry: () => { readonly entry: string; readonly address: string };
}

/** Sends requests until stopped. */
export class FleetLoad {
    readonly ended: EndedRequest[] = [];
    private readonly inFlight = new Set<Promise<void>>();
    private readonly stopController = new AbortController();
    private sent = 0;

    constructor(private readonly options: LoadOptions) {}

    /** Starts the arrivals. */
    start(): void {
        void this.generateArrivals();
    }

    /** Ends the arrivals and resolves when every request has ended. */
    async stop(): Promise<void> {
        this.stopController.abort();
        await Promise.all(this.inFlight);
    }

    /** Sends one request to a given entry; what it ends with is recorded here only when `records` is set. */
    async send(entry: string, address: string, kind: RequestKind, isRecorded = true): Promise<EndedRequest> {
        const { random, teams } = this.options;
        const body = { prompt: `request ${this.sent++}`, maxTokens: kind.maxTokens };
        const startedMs = clocks.systemClock.wall();
        const { path, streams, deadlineMs } = kind;
        const team = teams[Math.floor(random() * teams.length)]!;
        const reply = await callers.callEntry({ address, path, team, streams, deadlineMs, body });
        const ended = { kind, entry, startedMs, endedMs: clocks.systemClock.wall(), body, reply };
        if (isRecorded) {
            this.ended.push(ended);
        }
        return ended;
    }

    private async generateArrivals(): Promise<void> {
        const { random, requestsPerSecond, kinds, pickEntry } = this.options;
        while (!this.stopController.signal.aborted) {
            const gapMs = -Math.log(1 - random()) * MS_PER_SECOND / requestsPerSecond;
            const kind = kinds[Math.floor(random() * kinds.length)]!;
            await clocks.sleep(clocks.systemClock, gapMs, this.stopController.signal);
            const { entry, address } = pickEntry();
            const request = this.send(entry, address, kind).then(() => void this.inFlight.delete(request));
            this.inFlight.add(request);
        }
    }
}

/** Whether a request was answered whole within its deadline, as its caller saw it. */
export function isInTime(request: EndedRequest): boolean {
    return isComplete(request) && request.reply.elapsedMs <= request.kind.deadlineMs;
}

/** Whether a request was answered whole. */
export function isComplete(request: EndedRequest): boolean {
    const { reply, kind } = request;
    return reply.answer?.outcome === "completed" && (!kind.streams || isCompleteStream(reply.tokens, kind.maxTokens));
}

/** Whether tokens of one generation came once each, in order, and all of them. */
export function isCompleteStream(tokens: readonly callers.ReceivedToken[], maxTokens: number): boolean {
    const seed = tokens[0]?.token.split(".")[0];
    return tokens.length === maxTokens
        && tokens.every(({ offset, token }, index) => offset === index && token === `${seed}.${index} `);
}
