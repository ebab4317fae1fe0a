/**
 * The outside systems of routed calls as the rest of the code sees them. Each port is a set of functions that
 * an adapter implements; none of them decides anything or keeps state.
 */
import * as http from "node:http";
import * as result from "true-myth/result";
import * as codes from "./Codes";
import * as ports from "./Ports";
import * as routing from "./Routing";

/** One page of a listing. */
export interface PublishedPage {
    readonly items: readonly routing.PublishedItem[];
    /** The store's revision at the time of the page. */
    readonly revision: number;
    /** Key to continue after; undefined on the last page. */
    readonly nextAfter: string | undefined;
}

/** Changes since a revision; `isHistoryLost` asks for a new listing. */
export interface PublishedChanges {
    readonly items: readonly routing.PublishedItem[];
    readonly revision: number;
    readonly isHistoryLost: boolean;
}

/** The store that operators and instances publish to. It can only be read, and every call counts. */
export interface PublishedStore {
    list(after: string | undefined, signal: AbortSignal): ports.Reply<PublishedPage>;
    /** Waits up to `waitMs` for changes after `revision`. */
    watch(revision: number, waitMs: number, signal: AbortSignal): ports.Reply<PublishedChanges>;
    /** Decodes one key; never throws. */
    decode(item: routing.PublishedItem): routing.PublishedRecord;
}

/** A part of a prompt that other calls may share. */
export interface PromptPart {
    readonly id: string;
    readonly tokens: number;
}

/** What a caller's headers say. */
export interface RoutedCallMetadata {
    /** Identifies this attempt of the caller. */
    readonly attempt: string;
    /** How long the caller waits; undefined when it doesn't say. */
    readonly remainingMs: number | undefined;
    readonly apiKey: string | undefined;
    readonly promptParts: readonly PromptPart[];
    readonly promptTokens: number;
    /** Most tokens of output. */
    readonly outputTokens: number;
    /** The last event of a stream that the caller has; undefined from the start. */
    readonly lastEventId: number | undefined;
    /** Pieces of each stage, by its index; a stage with 0 is left out. */
    readonly pieces: readonly number[];
    readonly pieceKey: string;
}

/** What the system adds when it passes a call on. */
export interface ForwardMetadata {
    readonly instance: string;
    readonly remainingMs: number;
    readonly team: string | undefined;
    readonly lastEventId: number | undefined;
    /** Handles of the stages' results that the call needs. */
    readonly inputs: readonly string[];
    /** 0 goes first; undefined leaves it to the instance. */
    readonly urgency: number | undefined;
    readonly bodyBytes: number | undefined;
}

/** What an instance's answer proves and tells. */
export interface UpstreamAnswerMetadata {
    /** `not-run` only where the instance says so. */
    readonly effect: "ran" | "not-run" | "other-instance";
    /** The attempt that the answer names; undefined when it names none. */
    readonly attempt: string | undefined;
    /** Whether a result that the call needs is gone at its maker. */
    readonly isInputLost: boolean;
    readonly isSigned: boolean;
    readonly load: { readonly running: number; readonly waiting: number } | undefined;
}

/** The header names of routed calls. Header lists alternate names and values. */
export interface RoutedCallWire {
    readCall(headers: http.IncomingHttpHeaders): result.Result<RoutedCallMetadata, codes.Failure>;
    /** The attempt that a caller names; undefined when it names none. */
    readAttempt(headers: http.IncomingHttpHeaders): string | undefined;
    forwardHeaders(callerHeaders: readonly string[], metadata: ForwardMetadata): string[];
    readAnswer(status: number, headers: http.IncomingHttpHeaders): UpstreamAnswerMetadata;
    /** The headers of an instance's answer that the caller gets, without its length. */
    answerHeaders(upstreamHeaders: readonly string[]): string[];
    /** The headers of an answer of this system's own. */
    errorHeaders(attempt: string | undefined, retryAfterMs: number | undefined): string[];
}

/** One piece of a stage to make. */
export interface StagePiece {
    readonly attempt: string;
    readonly stage: number;
    readonly piece: number;
    readonly remainingMs: number;
    /** Set for stages without inputs. */
    readonly key: string | undefined;
    /** Handles of the results of the stages before; set for all other stages. */
    readonly inputs: readonly string[] | undefined;
}

/** What became of one piece. */
export type StagePieceOutcome =
    | { readonly handle: string }
    | { readonly failure: "late" | "input-gone" | "no-room" | "error" };

/** The calls on instances that run stages. */
export interface StageWire {
    runRequest(pieces: readonly StagePiece[]): { readonly path: string; readonly body: string };
    /** In the order of the pieces. */
    readRunAnswer(
        body: string,
        pieces: readonly StagePiece[],
    ): result.Result<readonly StagePieceOutcome[], codes.Failure>;
    releaseRequest(handles: readonly string[]): { readonly path: string; readonly body: string };
    /** Address of the instance that made a result. */
    workerOf(handle: string): string;
    /** Headers of a call for one instance. */
    requestHeaders(instance: string): string[];
}
