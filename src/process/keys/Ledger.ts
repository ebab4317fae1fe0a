/**
 * The at-most-once ledger of keyed non-idempotent calls, stored in memory for one incarnation. It never removes a
 * call within the key lifetime: a full ledger rejects new keys. Keys that may predate the ledger are also rejected.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as timeOrderedKeys from "../../common/TimeOrderedKey";

/** Interval between removals of entries past the key lifetime. */
const REMOVAL_PERIOD_MS = 1_000;

/** Identifies a keyed call. */
export interface CallIdentity {
    readonly team: string;
    readonly service: string;
    readonly operation: string;
    readonly key: string;
}

/** The answer to a keyed call, returned to every retry, including answers with an unknown outcome. */
export interface LedgerRecord {
    readonly code: number;
    readonly body: unknown;
    readonly detail?: string | undefined;
}

/** Permission to run a keyed call once. Only the first call of `settle` or `withdraw` has an effect. */
export interface LedgerRun {
    /** Records the outcome. */
    settle(record: LedgerRecord): void;
    /** Removes the key; allowed only if nothing was dispatched. Waiting retries get the failure. */
    withdraw(failure: codes.Failure): void;
}

/** How to handle a keyed call. */
export type Decision =
    | { readonly kind: "run"; readonly run: LedgerRun }
    | { readonly kind: "running"; readonly settled: Promise<LedgerRecord> }
    | { readonly kind: "settled"; readonly record: LedgerRecord }
    | { readonly kind: "refused"; readonly failure: codes.Failure };

/** Options of a ledger. */
export interface LedgerOptions {
    readonly clock: clocks.Clock;
    /** Maximum number of entries. */
    readonly capacity: number;
    /** How long a caller may retry with the same key. */
    readonly lifetimeMs: () => number;
    /** When this incarnation started, in milliseconds since 1970. */
    readonly startedWallMs: number;
}

interface Entry {
    readonly fingerprint: string;
    /** Creation time contained in the key, in milliseconds since 1970. */
    readonly createdWallMs: number | undefined;
    readonly beganAtMs: number;
    readonly lifetimeMs: number;
    readonly settled: Promise<LedgerRecord>;
    readonly resolve: (record: LedgerRecord) => void;
    record: LedgerRecord | undefined;
}

/** Records keyed calls and decides which may run. */
export class Ledger implements clocks.Disposable {
    /** Entries in the order in which they began. */
    private readonly entries = new Map<string, Entry>();
    private readonly startedMs: number;
    /** For keys without a creation time: calls that began later, on the monotonic clock, are still in the ledger. */
    private lastRemovedBeginMs: number;
    /** For other keys: calls whose key was created later, in milliseconds since 1970, are still in the ledger. */
    private lastRemovedCreationMs: number;
    private readonly removalTimer: clocks.Disposable;

    constructor(private readonly options: LedgerOptions) {
        this.startedMs = options.clock.now();
        this.lastRemovedBeginMs = this.startedMs;
        this.lastRemovedCreationMs = options.startedWallMs + timeOrderedKeys.CLOCK_SKEW_MS;
        this.removalTimer = clocks.every(options.clock, REMOVAL_PERIOD_MS, () => this.removeExpired());
    }

    /** Number of entries. */
    get size(): number {
        return this.entries.size;
    }

    /** Decides how to handle a keyed call and records it if it may run. `fingerprint` is a digest of its body. */
    begin(identity: CallIdentity, fingerprint: string): Decision {
        this.removeExpired();
        const entryKey = JSON.stringify([identity.team, identity.service, identity.operation, identity.key]);
        const entry = this.entries.get(entryKey);
        if (entry !== undefined) {
            return decideRetry(entry, fingerprint);
        }
        const failure = this.checkAge(identity.key) ?? this.checkCapacity();
        return failure === undefined
            ? { kind: "run", run: this.addEntry(entryKey, identity.key, fingerprint) }
            : { kind: "refused", failure };
    }

    dispose(): void {
        this.removalTimer.dispose();
    }

    private addEntry(entryKey: string, key: string, fingerprint: string): LedgerRun {
        let resolve: (record: LedgerRecord) => void = () => {};
        const settled = new Promise<LedgerRecord>(done => resolve = done);
        const beganAtMs = this.options.clock.now();
        const lifetimeMs = this.options.lifetimeMs();
        const createdWallMs = timeOrderedKeys.readCreationTime(key);
        const entry: Entry = {
            fingerprint,
            createdWallMs,
            beganAtMs,
            lifetimeMs,
            settled,
            resolve,
            record: undefined,
        };
        this.entries.set(entryKey, entry);
        return {
            settle: record => this.settleEntry(entry, record),
            withdraw: failure => this.withdrawEntry(entryKey, entry, failure),
        };
    }

    private settleEntry(entry: Entry, record: LedgerRecord): void {
        if (entry.record === undefined) {
            entry.record = record;
            entry.resolve(record);
        }
    }

    private withdrawEntry(entryKey: string, entry: Entry, failure: codes.Failure): void {
        if (entry.record === undefined) {
            this.entries.delete(entryKey);
            this.settleEntry(entry, { code: failure.code.code, body: undefined, detail: failure.detail });
        }
    }

    /** Rejects a key whose call may have begun earlier and may no longer be in the ledger. */
    private checkAge(key: string): codes.Failure | undefined {
        const createdWallMs = timeOrderedKeys.readCreationTime(key);
        return createdWallMs === undefined ? this.checkKeyWithoutCreationTime() : this.checkCreationTime(createdWallMs);
    }

    private checkCreationTime(createdWallMs: number): codes.Failure | undefined {
        const wallMs = this.options.startedWallMs + this.options.clock.now() - this.startedMs;
        const aheadMs = createdWallMs - wallMs - timeOrderedKeys.CLOCK_SKEW_MS;
        if (aheadMs > 0) {
            return codes.failure(codes.codes.invalidRequest, "the key's creation time is in the future", aheadMs);
        }
        const oldestMs = Math.max(this.lastRemovedCreationMs, wallMs - this.options.lifetimeMs());
        return createdWallMs <= oldestMs
            ? codes.failure(codes.codes.keyTooOld, `created ${Math.ceil(oldestMs - createdWallMs)} ms too early`)
            : undefined;
    }

    private checkKeyWithoutCreationTime(): codes.Failure | undefined {
        const waitMs = this.lastRemovedBeginMs + this.options.lifetimeMs() - this.options.clock.now();
        return waitMs > 0
            ? codes.failure(codes.codes.keyTooOld, "the key carries no creation time", waitMs)
            : undefined;
    }

    private checkCapacity(): codes.Failure | undefined {
        if (this.entries.size < this.options.capacity) {
            return undefined;
        }
        const [oldest] = this.entries.values();
        const waitMs = oldest === undefined ? 0 : this.findExpiryMs(oldest) - this.options.clock.now();
        return codes.failure(
            codes.codes.ledgerFull,
            `${this.entries.size} entries`,
            Math.max(REMOVAL_PERIOD_MS, waitMs),
        );
    }

    private removeExpired(): void {
        const nowMs = this.options.clock.now();
        for (const [entryKey, entry] of this.entries) {
            if (this.findExpiryMs(entry) > nowMs) {
                return;
            }
            if (entry.record !== undefined) {
                this.removeEntry(entryKey, entry);
            }
        }
    }

    private removeEntry(entryKey: string, entry: Entry): void {
        this.entries.delete(entryKey);
        if (entry.createdWallMs === undefined) {
            this.lastRemovedBeginMs = Math.max(this.lastRemovedBeginMs, entry.beganAtMs);
        }
        else {
            this.lastRemovedCreationMs = Math.max(this.lastRemovedCreationMs, entry.createdWallMs);
        }
    }

    /** When an entry may be removed; includes the clock skew, since the clock of the caller may be ahead. */
    private findExpiryMs(entry: Entry): number {
        const lifetimeMs = Math.max(entry.lifetimeMs, this.options.lifetimeMs());
        return entry.beganAtMs + lifetimeMs + timeOrderedKeys.CLOCK_SKEW_MS;
    }
}

function decideRetry(entry: Entry, fingerprint: string): Decision {
    if (entry.fingerprint !== fingerprint) {
        const failure = codes.failure(codes.codes.keyReused, "the key was used with another body");
        return { kind: "refused", failure };
    }
    return entry.record === undefined
        ? { kind: "running", settled: entry.settled }
        : { kind: "settled", record: entry.record };
}
