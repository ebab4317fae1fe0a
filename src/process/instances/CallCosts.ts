/**
 * Learns how long the first event of a service's streams takes at a machine of the usual speed, by the number of prompt
 * tokens that are read before it. Starts from a fixed estimate, and learns the factor by which it is wrong for prompts of
 * each order of magnitude.
 */
import * as clocks from "../../common/Clock";
import * as promptReading from "./PromptReading";
import * as sampleWindows from "./SampleWindow";

/** Prompts from 2^n to 2^(n+1) tokens share a factor. */
const MAX_ORDER = 20;
const MAX_SAMPLES = 63;
const SAMPLE_LIFETIME_MS = 120_000;
/** Weight, in calls, of the fixed estimate. */
const PRIOR_CALLS = 4;

/** The costs of one service. */
export class CallCosts {
    private readonly windows = new Map<number, sampleWindows.SampleWindow>();

    constructor(private readonly clock: clocks.Clock) {}

    /** Expected time from sending a call to its first event, at a machine that reads `tokens` before it. */
    firstEventMs(tokens: number): number {
        const window = this.windows.get(orderOf(tokens));
        const logFactor = window === undefined ? 0 : window.median * window.count / (window.count + PRIOR_CALLS);
        return promptReading.firstEventMs(tokens) * Math.exp(logFactor);
    }

    /** Records the time of a call for which `tokens` were read, as it would be at the usual speed. */
    record(tokens: number, elapsedMs: number): void {
        const order = orderOf(tokens);
        const window = this.windows.get(order) ?? new sampleWindows.SampleWindow(MAX_SAMPLES, SAMPLE_LIFETIME_MS);
        this.windows.set(order, window);
        window.add(Math.log(Math.max(1, elapsedMs) / promptReading.firstEventMs(tokens)), this.clock.now());
    }
}

function orderOf(tokens: number): number {
    return Math.min(MAX_ORDER, Math.floor(Math.log2(tokens + 1)));
}
