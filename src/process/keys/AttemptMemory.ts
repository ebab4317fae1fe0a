/**
 * Outcomes of non-idempotent attempts, which an entry can query after it lost the connection. The answer "not-run"
 * also stores a tombstone, so that an attempt that arrives later is rejected.
 */
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";

/** Retention time of outcomes and tombstones; exceeds the longest deadline. */
export const ATTEMPT_RETENTION_MS = 900_000;
/** Assumed maximum time between sending and handling of a query. */
const MAX_QUERY_DELAY_MS = 60_000;
const TICK_PERIOD_MS = 1_000;
/** Maximum time counted for one tick, so that entries don't expire because of a process pause. */
const MAX_TICK_ADVANCE_MS = 2_000;

/** Identifies an attempt across connections. */
export interface AttemptIdentity {
    readonly request: string;
    readonly stage: string;
    readonly attempt: number;
}

/** State of an attempt. "forgotten" means unknown: the attempt may have run. */
export type AttemptState =
    | { readonly kind: "running"; readonly settled: Promise<messages.Answer> }
    | { readonly kind: "answered"; readonly answer: messages.Answer }
    | { readonly kind: "not-run" }
    | { readonly kind: "forgotten" };

/** Options of an attempt memory. */
export interface AttemptMemoryOptions {
    readonly clock: clocks.Clock;
    /** Maximum number of attempts and tombstones. */
    readonly capacity: number;
}

interface Entry {
    state: AttemptState;
    /** On the scale of `activeTimeMs`; undefined while running. */
    expiresAtMs: number | undefined;
    readonly resolve: (answer: messages.Answer) => void;
}

/** Stores attempts for the retention time. */
export class AttemptMemory implements clocks.Disposable {
    private readonly entries = new Map<string, Entry>();
    /** Running time of the process without pauses. */
    private activeTimeMs = 0;
    private lastTickMs: number;
    private readonly timer: clocks.Disposable;

    constructor(private readonly options: AttemptMemoryOptions) {
        this.lastTickMs = options.clock.now();
        this.timer = clocks.every(options.clock, TICK_PERIOD_MS, () => this.tick());
    }

    /** Number of stored attempts and tombstones. */
    get size(): number {
        return this.entries.size;
    }

    /** Stores an attempt before its dispatch. False if it must not run: duplicate, tombstone, or memory full. */
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
        // Moves the entry to the end, so that entries with an expiry stay sorted by it.
        this.entries.delete(entryKey);
        this.entries.set(entryKey, entry);
        entry.resolve(answer);
    }

    /** Returns the state of an attempt that was first sent `ageMs` ago. */
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
