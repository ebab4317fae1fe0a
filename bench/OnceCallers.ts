/**
 * Callers of a non-idempotent operation: with and without keys, some twice at once, all of them repeating what
 * they don't know the outcome of with the same key through any entry.
 */
import * as clocks from "../src/common/Clock";
import * as callers from "../standins/Caller";
import * as fleets from "../standins/ProcessFleet";
import * as histories from "./OnceHistory";

const CALLERS = 72;
const DEADLINE_MS = 1_000;
/** Time past the deadline after which a caller gives up on an entry that doesn't answer. */
const CALLER_GRACE_MS = 500;
const MAX_TRIES = 6;
/** A key isn't used in the last part of its lifetime. */
const LIFETIME_MARGIN_MS = 2_500;
const TIMED_SHARE = 0.5;
const UNTIMED_SHARE = 0.2;
const TWICE_SHARE = 0.1;
const REPEATED_SHARE = 0.3;
const MAX_THINK_MS = 250;
const MAX_RETRY_PAUSE_MS = 1_500;

/** What the callers need. */
export interface OnceCallersOptions {
    readonly fleet: fleets.ProcessFleet;
    readonly service: string;
    readonly operation: string;
    readonly random: () => number;
    readonly keyLifetimeMs: number;
}

/** What a caller wants done once. */
interface Errand {
    readonly key: string | undefined;
    readonly token: string;
    readonly startMs: number;
}

/** A crowd of callers. */
export class OnceCallers {
    readonly records: histories.CallRecord[] = [];
    private readonly clock = clocks.systemClock;
    private errands = 0;

    constructor(private readonly options: OnceCallersOptions) {}

    /** Calls for `durationMs`, and resolves when every caller has its answer. */
    async run(durationMs: number): Promise<void> {
        const endMs = this.clock.now() + durationMs;
        await Promise.all(Array.from({ length: CALLERS }, () => this.runCaller(endMs)));
    }

    private async runCaller(endMs: number): Promise<void> {
        while (this.clock.now() < endMs) {
            await this.runErrand(this.createErrand());
            await this.pause(MAX_THINK_MS);
        }
    }

    private createErrand(): Errand {
        const token = `errand-${++this.errands}`;
        const kind = this.options.random();
        const startMs = this.clock.now();
        if (kind < TIMED_SHARE) {
            return { key: this.createTimedKey(), token, startMs };
        }
        return { key: kind < TIMED_SHARE + UNTIMED_SHARE ? `key-${token}` : undefined, token, startMs };
    }

    /** A version 7 UUID of now with seeded random bits. */
    private createTimedKey(): string {
        const time = Math.floor(this.clock.wall()).toString(16).padStart(12, "0");
        const digits = (count: number): string =>
            Array.from({ length: count }, () => Math.floor(this.options.random() * 16).toString(16)).join("");
        return `${time.slice(0, 8)}-${time.slice(8)}-7${digits(3)}-8${digits(3)}-${digits(12)}`;
    }

    private async runErrand(errand: Errand): Promise<void> {
        const { random, keyLifetimeMs } = this.options;
        const lastMs = errand.startMs + keyLifetimeMs - LIFETIME_MARGIN_MS;
        for (let tries = 0; tries < MAX_TRIES && this.clock.now() < lastMs; tries++) {
            const isTwice = errand.key !== undefined && random() < TWICE_SHARE;
            const calls = isTwice ? [this.call(errand), this.call(errand)] : [this.call(errand)];
            const records = await Promise.all(calls);
            const isDone = records.some(record => record.outcome === "completed");
            if (errand.key === undefined || (isDone && random() >= REPEATED_SHARE)) {
                return;
            }
            await this.pause(MAX_RETRY_PAUSE_MS);
        }
    }

    private async call(errand: Errand): Promise<histories.CallRecord> {
        const { fleet, service, operation, random } = this.options;
        const entry = fleet.entryNames[Math.floor(random() * fleet.entryNames.length)]!;
        const startMs = this.clock.now();
        const giveUp = new AbortController();
        const timer = this.clock.schedule(DEADLINE_MS + CALLER_GRACE_MS, () => giveUp.abort());
        const reply = await callers.callEntry({
            address: fleet.callerAddress(entry),
            path: `/v1/services/${service}/${operation}`,
            team: "bench",
            body: { token: errand.token },
            key: errand.key,
            deadlineMs: DEADLINE_MS,
            signal: giveUp.signal,
        });
        timer.dispose();
        const record = this.describe(errand, entry, startMs, reply);
        this.records.push(record);
        return record;
    }

    private describe(
        errand: Errand,
        entry: string,
        startMs: number,
        reply: callers.EntryReply,
    ): histories.CallRecord {
        const { answer } = reply;
        const result = answer?.result as { input?: { token?: string } } | undefined;
        return {
            key: errand.key,
            token: errand.token,
            entry,
            request: answer?.request,
            outcome: answer?.outcome ?? "unknown",
            code: answer?.code,
            instance: answer?.stages?.[0]?.instance,
            resultToken: result?.input?.token,
            startMs,
            endMs: this.clock.now(),
            deadlineMs: DEADLINE_MS,
        };
    }

    private pause(maxMs: number): Promise<void> {
        return clocks.sleep(this.clock, this.options.random() * maxMs);
    }
}
