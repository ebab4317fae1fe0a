/**
 * Chooses the instance for a call. Designed for bursts of one kind of call on engines whose load reports lag. A
 * prompt goes where its parts are cached, unless the prompts waiting there cost more than reading the parts again.
 */
import * as promptReading from "./PromptReading";

/** An instance with the properties that the choice depends on. */
export interface Candidate {
    readonly id: string;
    /** Whether it is in this process's failure domain. */
    readonly isSameDomain: boolean;
    /** Calls in progress there: this process's own count or a recently reported load, whichever is larger. */
    readonly load: number;
    /** Tokens to read there of prompts for which no first event has arrived yet. */
    readonly waitingTokens: number;
    /** Tokens of the call's prompt that are probably not cached there. */
    readonly missingTokens: number;
    /** Bytes of the call's inputs that are stored in other failure domains. */
    readonly crossDomainInputBytes: number;
    /** Calls that it can run at the same time. */
    readonly slots: number;
    /** Its recent call time relative to that of the fastest instance; 1 when there is no measurement. */
    readonly slowness: number;
}

/** Cost of each call, including the new one: divided by the slots, and added in full for each call beyond the slots. */
const LOAD_COST_MS = 60;
/** Cost of sending a call to another failure domain. */
const CROSS_DOMAIN_COST_MS = 1;

/** Cost of reading inputs from another failure domain. */
const CROSS_DOMAIN_INPUT_MS_PER_MB = 6;
const BYTES_PER_MB = 1_000_000;

/** Cost of sending a call to `candidate`: the expected delay from prompts, load, inputs and failure domain. */
export function expectedCostMs(candidate: Candidate): number {
    const promptMs = promptReading.readingMs(candidate.waitingTokens + candidate.missingTokens);
    const loadMs = LOAD_COST_MS * (candidate.load + 1) / Math.max(1, candidate.slots);
    const overflowMs = Math.max(0, candidate.load - candidate.slots + 1) * LOAD_COST_MS;
    const inputMs = candidate.crossDomainInputBytes / BYTES_PER_MB * CROSS_DOMAIN_INPUT_MS_PER_MB;
    return (promptMs + loadMs + overflowMs) * candidate.slowness + inputMs
        + (candidate.isSameDomain ? 0 : CROSS_DOMAIN_COST_MS);
}

/** The candidate with the lowest cost, ties broken at random; undefined when there are no candidates. */
export function chooseInstance(candidates: readonly Candidate[], random: () => number): Candidate | undefined {
    let best: Candidate | undefined;
    let bestCostMs = Infinity;
    let tieCount = 0;
    for (const candidate of candidates) {
        const costMs = expectedCostMs(candidate);
        if (costMs < bestCostMs) {
            best = candidate;
            bestCostMs = costMs;
            tieCount = 1;
        }
        else if (costMs === bestCostMs && random() * ++tieCount < 1) {
            best = candidate;
        }
    }
    return best;
}
