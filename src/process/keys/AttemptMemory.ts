/**
 * Memory of non-idempotent attempts, so that an entry that lost its connection can ask what became of one.
 * "Not run" is answered only together with a tombstone that stops the attempt when it arrives late.
 */
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";

/** Time for which attempts and tombstones are remembered; exceeds the longest deadline. */
export const ATTEMPT_RETENTION_MS = 900_000;
/** Longest time assumed between the sending and the handling of a query. */
const MAX_QUERY_DELAY_MS = 60_000;
const TICK_PERIOD_MS = 1_000;
/** Most that one tick adds to the age of what is remembered, so that a pause doesn't make it forget. */
const MAX_TICK_ADVANCE_MS = 2_000;

/** Identifies an attempt across connections. */
export interface AttemptIdentity {
    readonly request: string;
    readonly stage: string;
    readonly attempt: number;
}

/** What is known of an attempt. Forgotten means unknown: it may have run. */
export type AttemptState =
    | { readonly kind: "running"; readonly settled: Promise<messages.Answer> }
    | { readonly kind: "answered"; readonly answer: messages.Answer }
    | { readonly kind: "not-run" }
    | { readonly kind: "forgotten" };

/** What an attempt memory needs. */
export interface AttemptMemoryOptions {
    readonly clock: clocks.Clock;
    /** Most attempts and tombstones held. */
    readonly capacity: number;
}

interface Entry {
    state: AttemptState;
    /** On the scale of observed time; undefined while running. */
    expiresAtMs: number | undefined;
    readonly resolve: (answer: messages.Answer) => void;
}

/** Remembers attempts for the retention time. */
export class AttemptMemory implements clocks.Disposable {
    private readonly entries = new Map<string, Entry>();
    /** Time that this process observed ticking, without its pauses. */
    private activeTimeMs = 0;
    private lastTickMs: number;
    private readonly timer: clocks.Disposable;

    constructor(private readonly options: AttemptMemoryOptions) {
        this.lastTickMs = options.clock.now();
        this.timer = clocks.every(options.clock, TICK_PERIOD_MS, () => this.tick());
    }

    /** Attempts and tombstones held. */
    get size(): number {
        return this.entries.size;
    }

    /** Remembers an attempt before its dispatch; false when it must not run: duplicate, tombstoned, or no room. */
    begin(id: AttemptIdentity): boolean {
        const entryKey = createEntryKey(id);
        if (this.entries.has(entryKey) || this.entries.size >= this.options.capacity) {
            return false;
        }
        let resolve: (answer: messages.Answer) => void = () => {};
        const settled = new Promise<messages.Answer>(done => resolve = done);
        this.entries.set(entryKey, { state: { kind: "running", settled }, expiresAtMs: undefined, resolve });
        return true;
    }

    /** Records the answer of a running attempt. */
    finish(id: AttemptIdentity, answer: messages.Answer): void {
        const entryKey = createEntryKey(id);
        const entry = this.entries.get(entryKey);
        if (entry?.state.kind !== "running") {
            return;
        }
        entry.state = { kind: "answered", answer };
        entry.expiresAtMs = this.activeTimeMs + ATTEMPT_RETENTION_MS;
        // Moves to the end: entries that are kept stay in the order of their removal.
        this.entries.delete(entryKey);
        this.entries.set(entryKey, entry);
        entry.resolve(answer);
    }

    /** What became of an attempt that was first sent `ageMs` ago. */
    query(id: AttemptIdentity, ageMs: number): AttemptState {
        const entryKey = createEntryKey(id);
        const entry = this.entries.get(entryKey);
        if (entry !== undefined) {
            return entry.state;
        }
        const isWithinRetention = ageMs >= 0 && ageMs + MAX_QUERY_DELAY_MS < ATTEMPT_RETENTION_MS;
        if (!isWithinRetention || this.entries.size >= this.options.capacity) {
            return { kind: "forgotten" };
        }
        const state: AttemptState = { kind: "not-run" };
        this.entries.set(entryKey, { state, expiresAtMs: this.activeTimeMs + ATTEMPT_RETENTION_MS, resolve: () => {} });
        return state;
    }

    dispose(): void {
        this.timer.dispose();
    }

    private tick(): void {
        const nowMs = this.options.clock.now();
        this.activeTimeMs += Math.min(MAX_TICK_ADVANCE_MS, nowMs - this.lastTickMs);
        this.lastTickMs = nowMs;
        for (const [entryKey, { expiresAtMs }] of this.entries) {
            if (expiresAtMs === undefined) {
                continue;
            }
            if (expiresAtMs > this.activeTimeMs) {
                return;
            }
            this.entries.delete(entryKey);
        }
    }
}

function createEntryKey(id: AttemptIdentity): string {
    return JSON.stringify([id.request, id.stage, id.attempt]);
}
