/**
 * Open-loop load on the entries of a fleet: seeded random arrivals and kinds of requests; records each answer.
 */
import * as clocks from "../src/common/Clock";
import * as callers from "../standins/Caller";

const MS_PER_SECOND = 1_000;

export interface RequestKind {
    readonly path: string;
    readonly maxTokens: number;
    readonly deadlineMs: number;
    readonly streams: boolean;
}

/** A request that has ended. Times are milliseconds since the Unix epoch. */
export interface EndedRequest {
    readonly kind: RequestKind;
    readonly entry: string;
    readonly startedMs: number;
    readonly endedMs: number;
    readonly body: unknown;
    readonly reply: callers.EntryReply;
}

export interface LoadOptions {
    readonly random: () => number;
    readonly kinds: readonly RequestKind[];
    readonly teams: readonly string[];
    readonly requestsPerSecond: number;
    /** Picks the entry of a request, as the platform's load balancer does. */
    readonly pickEntry: () => { readonly entry: string; readonly address: string };
}

/** Sends requests until stopped. */
export class FleetLoad {
    readonly ended: EndedRequest[] = [];
    private readonly inFlight = new Set<Promise<void>>();
    private readonly stopController = new AbortController();
    private sent = 0;

    constructor(private readonly options: LoadOptions) {}

    start(): void {
        void this.generateArrivals();
    }

    /** Stops the arrivals; resolves when every request has ended. */
    async stop(): Promise<void> {
        this.stopController.abort();
        await Promise.all(this.inFlight);
    }

    /** Sends one request to a given entry; adds its result to `ended` only if `isRecorded`. */
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

/** Whether the caller received a complete answer within the deadline. */
export function isInTime(request: EndedRequest): boolean {
    return isComplete(request) && request.reply.elapsedMs <= request.kind.deadlineMs;
}

/** Whether the caller received a complete answer. */
export function isComplete(request: EndedRequest): boolean {
    const { reply, kind } = request;
    return reply.answer?.outcome === "completed" && (!kind.streams || isCompleteStream(reply.tokens, kind.maxTokens));
}

/** Whether all tokens of one generation arrived, once each and in order. */
export function isCompleteStream(tokens: readonly callers.ReceivedToken[], maxTokens: number): boolean {
    const seed = tokens[0]?.token.split(".")[0];
    return tokens.length === maxTokens
        && tokens.every(({ offset, token }, index) => offset === index && token === `${seed}.${index} `);
}
