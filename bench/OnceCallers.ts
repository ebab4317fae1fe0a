/**
 * Callers of a non-idempotent operation, with and without idempotency keys. Calls with a key may be sent twice
 * concurrently. As long as they haven't completed, as when their outcome is unknown, they are retried with the same key
 * through any entry, a share of them also after that.
 */
import * as clocks from "../src/common/Clock";
import * as callers from "../standins/Caller";
import * as fleets from "../standins/ProcessFleet";
import * as histories from "./OnceHistory";

const CALLERS = 72;
const DEADLINE_MS = 1_000;
/** Time after the deadline at which a caller abandons a call without an answer. */
const CALLER_GRACE_MS = 500;
const MAX_ATTEMPTS = 6;
/** A key isn't used in this last part of its lifetime. */
const LIFETIME_MARGIN_MS = 2_500;
const TIME_ORDERED_KEY_SHARE = 0.5;
const OTHER_KEY_SHARE = 0.2;
const DUPLICATE_SHARE = 0.1;
const RETRY_AFTER_COMPLETION_SHARE = 0.3;
const MAX_THINK_TIME_MS = 250;
const MAX_RETRY_PAUSE_MS = 1_500;

export interface OnceCallersOptions {
    readonly fleet: fleets.ProcessFleet;
    readonly service: string;
    readonly operation: string;
    readonly random: () => number;
    readonly keyLifetimeMs: number;
}

/** An operation that must run at most once, in any number of attempts. */
interface LogicalCall {
    readonly key: string | undefined;
    readonly token: string;
    readonly startMs: number;
}

/** Runs a fixed number of concurrent callers. */
export class OnceCallers {
    readonly records: histories.CallRecord[] = [];
    private readonly clock = clocks.systemClock;
    private logicalCallCount = 0;

    constructor(private readonly options: OnceCallersOptions) {}

    /** Sends calls for `durationMs`; resolves when every caller has its answer. */
    async run(durationMs: number): Promise<void> {
        const endMs = this.clock.now() + durationMs;
        await Promise.all(Array.from({ length: CALLERS }, () => this.runCaller(endMs)));
    }

    private async runCaller(endMs: number): Promise<void> {
        while (this.clock.now() < endMs) {
            await this.runLogicalCall(this.createLogicalCall());
            await this.pause(MAX_THINK_TIME_MS);
        }
    }

    private createLogicalCall(): LogicalCall {
        const token = `errand-${++this.logicalCallCount}`;
        const keyDraw = this.options.random();
        const startMs = this.clock.now();
        if (keyDraw < TIME_ORDERED_KEY_SHARE) {
            return { key: this.createTimeOrderedKey(), token, startMs };
        }
        return { key: keyDraw < TIME_ORDERED_KEY_SHARE + OTHER_KEY_SHARE ? `key-${token}` : undefined, token, startMs };
    }

    /** Creates a version 7 UUID of the current time with seeded random bits. */
    private createTimeOrderedKey(): string {
        const timestampHex = Math.floor(this.clock.wall()).toString(16).padStart(12, "0");
        const randomHex = (count: number): string =>
            Array.from({ length: count }, () => Math.floor(this.options.random() * 16).toString(16)).join("");
        return `${timestampHex.slice(0, 8)}-${timestampHex.slice(8)}-7${randomHex(3)}-8${randomHex(3)}-${
            randomHex(12)
        }`;
    }

    private async runLogicalCall(logicalCall: LogicalCall): Promise<void> {
        const { random, keyLifetimeMs } = this.options;
        const lastAttemptMs = logicalCall.startMs + keyLifetimeMs - LIFETIME_MARGIN_MS;
        for (let attempts = 0; attempts < MAX_ATTEMPTS && this.clock.now() < lastAttemptMs; attempts++) {
            const isDuplicated = logicalCall.key !== undefined && random() < DUPLICATE_SHARE;
            const calls = isDuplicated ? [this.call(logicalCall), this.call(logicalCall)] : [this.call(logicalCall)];
            const records = await Promise.all(calls);
            const isCompleted = records.some(record => record.outcome === "completed");
            if (logicalCall.key === undefined || (isCompleted && random() >= RETRY_AFTER_COMPLETION_SHARE)) {
                return;
            }
            await this.pause(MAX_RETRY_PAUSE_MS);
        }
    }

    private async call(logicalCall: LogicalCall): Promise<histories.CallRecord> {
        const { fleet, service, operation, random } = this.options;
        const entry = fleet.entryNames[Math.floor(random() * fleet.entryNames.length)]!;
        const startMs = this.clock.now();
        const abandonment = new AbortController();
        const timer = this.clock.schedule(DEADLINE_MS + CALLER_GRACE_MS, () => abandonment.abort());
        const reply = await callers.callEntry({
            address: fleet.callerAddress(entry),
            path: `/v1/services/${service}/${operation}`,
            team: "bench",
            body: { token: logicalCall.token },
            key: logicalCall.key,
            deadlineMs: DEADLINE_MS,
            signal: abandonment.signal,
        });
        timer.dispose();
        const record = this.createRecord(logicalCall, entry, startMs, reply);
        this.records.push(record);
        return record;
    }

    private createRecord(
        logicalCall: LogicalCall,
        entry: string,
        startMs: number,
        reply: callers.EntryReply,
    ): histories.CallRecord {
        const { answer } = reply;
        const result = answer?.result as { input?: { token?: string } } | undefined;
        return {
            key: logicalCall.key,
            token: logicalCall.token,
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
