/**
 * Ports for routed calls: the interfaces through which the rest of the code reaches external systems. Adapters
 * implement them; they make no decisions and keep no state.
 */
import * as http from "node:http";
import * as result from "true-myth/result";
import * as codes from "./Codes";
import * as eventIds from "./EventId";
import * as ports from "./Ports";
import * as positions from "./Position";
import * as routing from "./Routing";

/** One page of a listing of the store, at the store's position when it was read. */
export interface PublishedPage extends positions.Position {
    readonly items: readonly routing.PublishedItem[];
    /** Key after which the next page starts; undefined on the last page. */
    readonly nextAfter: string | undefined;
}

/** Changes up to a position. */
export interface PublishedChanges extends positions.Position {
    readonly items: readonly routing.PublishedItem[];
    /** Whether the store no longer holds the changes since that revision, so that it must be listed again. */
    readonly isHistoryLost: boolean;
}

/** The store that operators and instances publish to. Read-only here; each call counts against its rate limit. */
export interface PublishedStore {
    list(after: string | undefined, signal: AbortSignal): ports.Reply<PublishedPage>;
    /**
     * Long-polls for up to `waitMs` for changes after `revision`. The store may be in another era than the one in which
     * it gave out that revision; the changes are of no use then.
     */
    watch(revision: number, waitMs: number, signal: AbortSignal): ports.Reply<PublishedChanges>;
    /** Reads only the store's position, with a call that doesn't wait. */
    readPosition(signal: AbortSignal): ports.Reply<positions.Position>;
    /** Decodes one key; never throws. */
    decode(item: routing.PublishedItem): routing.PublishedRecord;
}

/** A part of a prompt that several calls may have in common. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** Metadata from the headers of a caller's request. */
export interface RoutedCallMetadata {
    /** Identifies the caller's attempt. */
    readonly attempt: string;
    /** How long the caller waits; undefined if not stated. */
    readonly remainingMs: number | undefined;
    readonly apiKey: string | undefined;
    readonly promptParts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Maximum number of output tokens. */
    readonly outputTokens: number;
    /** Whether the caller states the last event of a stream that it received, readable or not. */
    readonly isResumption: boolean;
    /** That event's id; undefined if it states none, or one that can't be read. */
    readonly lastEventId: eventIds.EventId | undefined;
    /** The caller's attempt that brought the first event of the stream to resume; undefined if not stated. */
    readonly resumedAttempt: string | undefined;
    /** Number of pieces (work items) of each stage, by stage index; a stage with 0 is skipped. */
    readonly pieces: readonly number[];
    /** Identifies the caller's input to stages without predecessors. */
    readonly pieceKey: string;
}

/** Metadata that the system adds when it forwards a call to an instance. */
export interface ForwardMetadata {
    readonly instance: string;
    readonly remainingMs: number;
    readonly team: string | undefined;
    /** The event after which a stream goes on; undefined for what the caller's headers say. */
    readonly lastEventId: eventIds.EventId | undefined;
    /** Handles of the stage results that the call reads. */
    readonly inputs: readonly string[];
    /** 0 is the most urgent; undefined leaves the scheduling to the instance. */
    readonly urgency: number | undefined;
    readonly bodyBytes: number | undefined;
}

/** The load that an instance states in its answers. */
export interface InstanceLoad {
    readonly running: number;
    readonly waiting: number;
    /** How long work takes there at the moment: 1 is usual, 2 is twice as long; undefined if not stated. */
    readonly slowdown: number | undefined;
}

/** Metadata from the status and headers of an instance's answer. */
export interface UpstreamAnswerMetadata {
    /** Whether the call ran. `not-run` only if the instance states it; `other-instance` if it reached another one. */
    readonly effect: "ran" | "not-run" | "other-instance";
    /** The attempt that the answer belongs to; undefined if not stated. */
    readonly attempt: string | undefined;
    /** Whether a stage result that the call needs no longer exists at its stage worker. */
    readonly isInputLost: boolean;
    /** Whether the answer carries the instance's signature. */
    readonly isSigned: boolean;
    readonly load: InstanceLoad | undefined;
    /** Whether the instance that answered is leaving. */
    readonly isLeaving: boolean;
    /** The instance that answered; undefined if not stated. */
    readonly instance: string | undefined;
    /** For how long the instance wants nothing more from this process; undefined if it doesn't say so. */
    readonly holdMs: number | undefined;
    /** Requests a second that the instance takes from all entries together; undefined if it names no limit. */
    readonly limitPerSecond: number | undefined;
}

/** Reads for how long an instance that rejects a request wants nothing more; undefined if it doesn't say so. */
export type HoldReader = (status: number, headers: http.IncomingHttpHeaders) => number | undefined;

/** Reads and writes the headers of routed calls. Header lists alternate names and values. */
export interface RoutedCallWire {
    readCall(headers: http.IncomingHttpHeaders): result.Result<RoutedCallMetadata, codes.Failure>;
    /** The attempt that a caller states; undefined if it states none. */
    readAttempt(headers: http.IncomingHttpHeaders): string | undefined;
    forwardHeaders(callerHeaders: readonly string[], metadata: ForwardMetadata): string[];
    readAnswer(status: number, headers: http.IncomingHttpHeaders): UpstreamAnswerMetadata;
    /** The request with which an instance is asked for its own state. */
    stateRequest(instance: string): { readonly path: string; readonly headers: readonly string[] };
    /** The start that an instance states with its own state, in milliseconds since 1970; undefined if it states none. */
    readStart(body: string): number | undefined;
    /** The headers of an instance's answer to pass to the caller, without Content-Length. */
    answerHeaders(upstreamHeaders: readonly string[]): string[];
    /** The headers of an answer that this system gives in place of an instance. */
    errorHeaders(attempt: string | undefined, retryAfterMs: number | undefined): string[];
}

/** One piece (work item) of a stage to compute. */
export interface StagePiece {
    readonly attempt: string;
    readonly stage: number;
    readonly piece: number;
    readonly remainingMs: number;
    /** Identifies the caller's input; set for stages without predecessors. */
    readonly key: string | undefined;
    /** Handles of the results of the preceding stages; set for all other stages. */
    readonly inputs: readonly string[] | undefined;
}

/** The outcome of one piece: the handle of its result, or why there is none. */
export type StagePieceOutcome =
    | { readonly handle: string }
    | { readonly failure: "late" | "input-gone" | "no-room" | "error" };

/** Encodes and decodes the calls to stage workers, the instances that run stages. */
export interface StageWire {
    runRequest(pieces: readonly StagePiece[]): { readonly path: string; readonly body: string };
    /** Decodes the outcomes, in the order of `pieces`. */
    readRunAnswer(
        body: string,
        pieces: readonly StagePiece[],
    ): result.Result<readonly StagePieceOutcome[], codes.Failure>;
    releaseRequest(handles: readonly string[]): { readonly path: string; readonly body: string };
    /** Address of the stage worker that holds a result. */
    workerOf(handle: string): string;
    readonly readHold: HoldReader;
    /** Headers of a call to one instance. */
    requestHeaders(instance: string): string[];
}
