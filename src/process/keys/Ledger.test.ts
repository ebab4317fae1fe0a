import * as fc from "fast-check";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as ledgers from "./Ledger";

const { describe, expect, it } = vitest;

const SEED = 31;
const LIFETIME_MS = 60_000;
const SKEW_MS = 5_000;

function createKey(createdMs: number, tail = 0): string {
    const time = Math.floor(createdMs).toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail.toString(16).padStart(12, "0")}`;
}

function createLedger(clock: clocks.Clock, capacity = 100, lifetimeMs = () => LIFETIME_MS): ledgers.Ledger {
    return new ledgers.Ledger({ clock, capacity, lifetimeMs, startedWallMs: clock.wall() });
}

function begin(ledger: ledgers.Ledger, key: string, body = "body"): ledgers.Decision {
    return ledger.begin({ team: "gilders", service: "bookings", operation: "book", key }, body);
}

function beginRun(ledger: ledgers.Ledger, key: string): ledgers.LedgerRun {
    const decision = begin(ledger, key);
    expect(decision.kind).toBe("run");
    return (decision as { run: ledgers.LedgerRun }).run;
}

function describeDecision(decision: ledgers.Decision): string {
    return decision.kind === "refused" ? decision.failure.code.name : decision.kind;
}

const answer: ledgers.LedgerRecord = { code: codes.codes.upstreamReset.code, body: undefined };

describe("Ledger", () => {
    const newKeyCases: [string, (wallMs: number) => string, number, string][] = [
        ["a key without creation time at the start", () => "order-1", 0, "key-too-old"],
        ["a key without creation time after the lifetime", () => "order-1", LIFETIME_MS, "run"],
        ["a key created before the start", wallMs => createKey(wallMs - 1), 10, "key-too-old"],
        ["a key created within the skew after the start", wallMs => createKey(wallMs + SKEW_MS), 10, "key-too-old"],
        ["a key created after the skew", wallMs => createKey(wallMs + SKEW_MS + 1), 10, "run"],
        ["a key past its lifetime", wallMs => createKey(wallMs + 9_000), LIFETIME_MS + 9_000, "key-too-old"],
        ["a key created in the future", wallMs => createKey(wallMs + 50_000), 10, "invalid-request"],
        ["a version 4 UUID", () => "0a0a0a0a-0a0a-4000-8000-000000000000", 0, "key-too-old"],
    ];
    it.each(newKeyCases)("runs or rejects %s", (_name, key, afterMs, expected) => {
        const clock = new clocks.ManualClock();
        const ledger = createLedger(clock);
        const startedMs = clock.wall();
        clock.advance(afterMs);
        expect(describeDecision(begin(ledger, key(startedMs)))).toBe(expected);
    });

    it("returns the same answer to every retry and rejects another body", async () => {
        const clock = new clocks.ManualClock();
        const ledger = createLedger(clock);
        clock.advance(LIFETIME_MS);
        const first = beginRun(ledger, "a");
        const waiting = begin(ledger, "a");
        first.settle(answer);
        first.withdraw(codes.failure(codes.codes.connectFailed, "too late"));
        expect(waiting.kind === "running" && await waiting.settled).toBe(answer);
        expect(begin(ledger, "a")).toEqual({ kind: "settled", record: answer });
        expect(describeDecision(begin(ledger, "a", "other"))).toBe("key-reused");
    });

    it("removes a withdrawn key and passes the failure to waiting retries", async () => {
        const clock = new clocks.ManualClock();
        const ledger = createLedger(clock);
        clock.advance(LIFETIME_MS);
        const first = beginRun(ledger, "a");
        const waiting = begin(ledger, "a");
        first.withdraw(codes.failure(codes.codes.connectFailed, "refused"));
        expect(waiting.kind === "running" && (await waiting.settled).code).toBe(codes.codes.connectFailed.code);
        beginRun(ledger, "a");
        first.settle(answer);
        expect(begin(ledger, "a").kind).toBe("running");
    });

    it("rejects new keys when full, and keeps running calls beyond the lifetime", () => {
        const clock = new clocks.ManualClock();
        const ledger = createLedger(clock, 2);
        clock.advance(LIFETIME_MS);
        beginRun(ledger, "a");
        beginRun(ledger, "b").settle(answer);
        const refused = begin(ledger, "c");
        expect(refused.kind === "refused" && refused.failure.retryAfterMs).toBe(LIFETIME_MS + SKEW_MS);
        clock.advance(LIFETIME_MS + SKEW_MS);
        expect([begin(ledger, "a").kind, begin(ledger, "c").kind, ledger.size]).toEqual(["running", "run", 2]);
    });

    it("doesn't run a key again when the lifetime is extended after the key was removed", () => {
        const clock = new clocks.ManualClock();
        let lifetimeMs = 10_000;
        const ledger = createLedger(clock, 10, () => lifetimeMs);
        clock.advance(LIFETIME_MS);
        const timeOrderedKey = createKey(clock.wall(), 1);
        beginRun(ledger, "a").settle(answer);
        beginRun(ledger, timeOrderedKey).settle(answer);
        clock.advance(lifetimeMs + SKEW_MS);
        expect(ledger.size).toBe(0);
        lifetimeMs = LIFETIME_MS;
        expect([begin(ledger, "a"), begin(ledger, timeOrderedKey)].map(describeDecision)).toEqual([
            "key-too-old",
            "key-too-old",
        ]);
    });

    it("runs a key at most once within the lifetime, across restarts", () => {
        const step = fc.record({
            act: fc.constantFrom("begin", "begin", "begin", "settle", "withdraw", "restart", "wait", "long"),
            keyIndex: fc.nat(5),
            skewMs: fc.integer({ min: -SKEW_MS, max: SKEW_MS }),
            waitMs: fc.integer({ min: 1, max: 8_000 }),
        });
        fc.assert(
            fc.property(fc.array(step, { maxLength: 120 }), steps => {
                const clock = new clocks.ManualClock();
                let ledger = createLedger(clock, 4);
                const keys = new Map<number, string>();
                const dispatchedMs = new Map<string, number>();
                let openRuns: { key: string; run: ledgers.LedgerRun }[] = [];
                for (const { act, keyIndex, skewMs, waitMs } of steps) {
                    const idempotencyKey = keys.get(keyIndex)
                        ?? (keyIndex < 2 ? `order-${keyIndex}` : createKey(clock.wall() + skewMs, keyIndex));
                    keys.set(keyIndex, idempotencyKey);
                    const decision = act === "begin" ? begin(ledger, idempotencyKey) : undefined;
                    if (decision?.kind === "run") {
                        const sinceMs = clock.now() - (dispatchedMs.get(idempotencyKey) ?? -Infinity);
                        expect(sinceMs).toBeGreaterThanOrEqual(LIFETIME_MS);
                        openRuns.push({ key: idempotencyKey, run: decision.run });
                        dispatchedMs.set(idempotencyKey, clock.now());
                    }
                    else if (act === "settle") {
                        openRuns.shift()?.run.settle(answer);
                    }
                    else if (act === "withdraw" && openRuns.length > 0) {
                        const withdrawn = openRuns.pop()!;
                        withdrawn.run.withdraw(codes.failure(codes.codes.connectFailed, ""));
                        dispatchedMs.delete(withdrawn.key);
                    }
                    else if (act === "restart") {
                        ledger.dispose();
                        ledger = createLedger(clock, 4);
                        openRuns = [];
                    }
                    clock.advance(act === "wait" ? waitMs : act === "long" ? waitMs * 5 : 1);
                    expect(ledger.size).toBeLessThanOrEqual(4);
                }
            }),
            { seed: SEED, numRuns: 300 },
        );
    });
});
