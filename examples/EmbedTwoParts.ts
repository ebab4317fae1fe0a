/**
 * Embeds two parts of the library: an admission limit that rises from its cold concurrency, and a ledger that lets
 * a call run only once.
 */
import * as cumincrank from "cumincrank";

const limit = new cumincrank.AdmissionLimit(() => ({ coldConcurrency: 2, warmConcurrency: 8 }));
const ledger = new cumincrank.Ledger({
    clock: cumincrank.systemClock,
    capacity: 1_000,
    lifetimeMs: () => 1,
    startedWallMs: cumincrank.systemClock.wall() - 60_000,
});

for (let call = 0; call < 20; call++) {
    const ticket = limit.tryAcquire();
    if (ticket !== undefined) {
        limit.release(ticket, { kind: "success", latencyMs: 10 });
    }
}
console.log(`limit after 20 successes: ${limit.limit}`);

const identity = { team: "office", service: "bookings", operation: "book", key: `${cumincrank.systemClock.wall()}` };
await new Promise(resolve => setTimeout(resolve, 10));
const decisions = [ledger.begin(identity, "body"), ledger.begin(identity, "body"), ledger.begin(identity, "other")];
console.log(`decisions: ${decisions.map(decision => decision.kind).join(", ")}`);

limit.dispose();
ledger.dispose();
