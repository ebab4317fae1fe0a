/**
 * A value with a history, so that readers can be given an outdated state.
 */
import * as clocks from "../src/common/Clock";

const MAX_HISTORY_ENTRIES = 10_000;

/** The history of one value. */
export class LaggedValue<T> {
    private readonly history: { readonly atMs: number; readonly value: T }[];

    constructor(initialValue: T) {
        this.history = [{ atMs: -Infinity, value: initialValue }];
    }

    set(value: T): void {
        this.history.push({ atMs: clocks.systemClock.now(), value });
        if (this.history.length > MAX_HISTORY_ENTRIES) {
            this.history.splice(0, MAX_HISTORY_ENTRIES / 2);
        }
    }

    /** The value as of `lagMs` ago, or the oldest one retained. */
    get(lagMs: number): T {
        const asOfMs = clocks.systemClock.now() - lagMs;
        let index = this.history.length - 1;
        while (index > 0 && this.history[index]!.atMs > asOfMs) {
            index--;
        }
        return this.history[index]!.value;
    }
}
