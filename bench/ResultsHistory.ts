/**
 * Checks a history of pipeline requests: every request is rejected, or answered completely, once and with its own
 * result; and the retries of each entry stay within their budget.
 */
import * as codes from "../src/common/Codes";
import * as callers from "../standins/Caller";

/** Reply to one request. */
export interface ResultRecord {
    /** Unique content of the body, which every stage includes in its result. */
    readonly token: string;
    readonly entry: string;
    readonly outcome: codes.Outcome | undefined;
    /** Generated text; undefined for a stream. */
    readonly text: string | undefined;
    /** Tokens of a stream in order of arrival. */
    readonly tokens: readonly callers.ReceivedToken[];
    readonly isStream: boolean;
    /** Extra attempts of each stage that was started. */
    readonly stages: readonly { readonly retries: number; readonly hedges: number }[];
    /** Whether the entry was killed or paused while it served the request. */
    readonly entryFailed: boolean;
}

/** Size of a complete answer, and limits on extra attempts. */
export interface ResultsRules {
    readonly stageCount: number;
    readonly tokenCount: number;
    readonly retryRatio: number;
    /** Extra attempts that an entry may make without traffic, over the run and all its incarnations. */
    readonly reserve: (entry: string) => number;
}

/** Counts of violations and of outcomes. */
export interface ResultsVerdict {
    readonly lost: number;
    readonly doubled: number;
    readonly crossed: number;
    /** Largest excess of an entry's retries over its budget. */
    readonly retriesOverBudget: number;
    readonly requests: number;
    readonly completed: number;
    readonly refused: number;
    readonly unknown: number;
    /** Requests without an answer whose entry was killed or paused. */
    readonly cutByEntry: number;
    readonly retries: number;
    readonly hedges: number;
}

export function checkResults(records: readonly ResultRecord[], rules: ResultsRules): ResultsVerdict {
    const count = (matches: (record: ResultRecord) => boolean): number => records.filter(matches).length;
    return {
        lost: count(record => isLost(record, rules)),
        doubled: count(isDoubled),
        crossed: count(record => isCrossed(record, rules)),
        retriesOverBudget: findMaxExcessRetries(records, rules),
        requests: records.length,
        completed: count(({ outcome }) => outcome === "completed"),
        refused: count(({ outcome }) => outcome === "not-run"),
        unknown: count(({ outcome }) => outcome === "unknown"),
        cutByEntry: count(({ outcome, entryFailed }) => outcome === undefined && entryFailed),
        retries: countExtraAttempts(records, "retries"),
        hedges: countExtraAttempts(records, "hedges"),
    };
}

/** Whether a request was neither answered nor rejected, or was reported as completed with tokens missing. */
function isLost(record: ResultRecord, { tokenCount }: ResultsRules): boolean {
    if (record.outcome === undefined) {
        return !record.entryFailed;
    }
    const indexes = new Set(listTokens(record).map(token => token.slice(token.lastIndexOf(".") + 1)));
    const isComplete = Array.from({ length: tokenCount }, (_, index) => indexes.has(String(index))).every(Boolean);
    return record.outcome === "completed" && !isComplete;
}

/** Whether a token was duplicated or out of order. */
function isDoubled(record: ResultRecord): boolean {
    const tokens = listTokens(record);
    const isInOrder = tokens.every((token, index) => token.endsWith(`.${index}`));
    return !isInOrder || record.tokens.some(({ offset }, index) => offset !== index);
}

/** Whether a token was derived from another request's body at any stage. */
function isCrossed(record: ResultRecord, { stageCount }: ResultsRules): boolean {
    const expectedPrefix = `${Array.from({ length: stageCount }, () => record.token).join("/")}/`;
    const tokens = listTokens(record);
    const seeds = new Set(tokens.map(token => token.slice(0, token.lastIndexOf("."))));
    return seeds.size > 1 || tokens.some(token => !token.startsWith(expectedPrefix));
}

function listTokens(record: ResultRecord): string[] {
    return record.isStream
        ? record.tokens.map(({ token }) => token.trimEnd())
        : (record.text ?? "").split(" ").filter(token => token.length > 0);
}

/** Counts unanswered requests as one first attempt of every stage, as neither their stages nor retries are known. */
function findMaxExcessRetries(records: readonly ResultRecord[], rules: ResultsRules): number {
    const entries = new Set(records.map(({ entry }) => entry));
    const excessRetries = [...entries].map(entry => {
        const entryRecords = records.filter(record => record.entry === entry);
        const unanswered = entryRecords.filter(({ outcome }) => outcome === undefined).length;
        const firstAttempts = entryRecords.reduce((total, { stages }) => total + stages.length, 0);
        const allowed = rules.retryRatio * (firstAttempts + unanswered * rules.stageCount) + rules.reserve(entry);
        return countExtraAttempts(entryRecords, "retries") - allowed;
    });
    return Math.max(0, ...excessRetries);
}

function countExtraAttempts(records: readonly ResultRecord[], figure: "retries" | "hedges"): number {
    return records.flatMap(({ stages }) => stages).reduce((total, stage) => total + stage[figure], 0);
}
