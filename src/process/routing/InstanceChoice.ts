/**
 * Which instance takes a call. Load it answers: bursts of one kind of call on engines whose reports lag. A prompt
 * goes where its parts are cached unless the prompts waiting there cost more than reading the parts again.
 */

/** One instance as the choice sees it. */
export interface Candidate {
    readonly id: string;
    readonly isSameDomain: boolean;
    /** Calls under way there from this process, and what others were last reported to run. */
    readonly load: number;
    /** Prompt tokens sent there whose first event hasn't come yet. */
    readonly waitingTokens: number;
    /** Tokens of the prompt that are believed not to be cached there. */
    readonly missingTokens: number;
    /** Bytes of the call's inputs that lie in other failure domains. */
    readonly crossDomainInputBytes: number;
    /** Calls that it runs at the same time. */
    readonly slots: number;
    /** Time of its own calls against that of its peers; 1 for an instance as fast as the others. */
    readonly slowness: number;
}

/** Prompt tokens that an engine reads in a millisecond. */
const PROMPT_TOKENS_PER_MS = 36;
/** What a call under way costs a new one, as a share of a slot's work, in milliseconds. */
const LOAD_COST_MS = 60;
/** What crossing a failure domain costs, in milliseconds. */
const CROSS_DOMAIN_COST_MS = 1;

/** What reading inputs from another failure domain costs, in milliseconds for each megabyte. */
const CROSS_DOMAIN_INPUT_MS_PER_MB = 6;
const BYTES_PER_MB = 1_000_000;

/** Expected extra time of a call at `candidate`, in milliseconds. */
export function expectedCostMs(candidate: Candidate): number {
    const promptMs = (candidate.waitingTokens + candidate.missingTokens) / PROMPT_TOKENS_PER_MS;
    const loadMs = LOAD_COST_MS * (candidate.load + 1) / Math.max(1, candidate.slots);
    const overflowMs = Math.max(0, candidate.load - candidate.slots + 1) * LOAD_COST_MS;
    const inputMs = candidate.crossDomainInputBytes / BYTES_PER_MB * CROSS_DOMAIN_INPUT_MS_PER_MB;
    return (promptMs + loadMs + overflowMs) * candidate.slowness + inputMs
        + (candidate.isSameDomain ? 0 : CROSS_DOMAIN_COST_MS);
}

/** The cheapest candidate; equal ones are chosen at random. Undefined when there is none. */
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
