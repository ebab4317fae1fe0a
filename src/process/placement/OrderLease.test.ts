import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as fencingTokens from "./FencingToken";
import * as leases from "./OrderLease";

const { describe, expect, it } = vitest;
const WAIT_MS = leases.LEASE_MS + leases.LEASE_MARGIN_MS;

describe("OrderLease", () => {
    const cases: [string, number, number | undefined, number, boolean][] = [
        ["before the predecessor's lease has expired", WAIT_MS - 1, 0, 0, false],
        ["with a fresh confirmation", WAIT_MS, 0, 0, true],
        ["at the expiry of the lease", WAIT_MS, 0, leases.LEASE_MS, true],
        ["after the expiry of the lease", WAIT_MS, 0, leases.LEASE_MS + 1, false],
        ["never confirmed", WAIT_MS, undefined, 0, false],
        ["confirmed by a read that was sent too long ago", WAIT_MS, leases.LEASE_MS + 1, 0, false],
    ];
    it.each(cases)("%s", (_name, startedAgoMs, requestedAgoMs, tickAgoMs, expected) => {
        const clock = new clocks.ManualClock();
        const lease = new leases.OrderLease(clock);
        if (requestedAgoMs !== undefined) {
            lease.confirmListed(clock.now());
        }
        for (let passedMs = 0; passedMs < startedAgoMs; passedMs += 100) {
            clock.advance(Math.min(100, startedAgoMs - passedMs));
            lease.tick();
        }
        if (requestedAgoMs !== undefined) {
            lease.confirmListed(clock.now() - requestedAgoMs);
        }
        clock.advance(tickAgoMs);
        expect(lease.canOrder).toBe(expected);
    });

    it("is invalid after a pause until the list contains the agent again", () => {
        const clock = new clocks.ManualClock();
        const lease = new leases.OrderLease(clock);
        lease.confirmListed(clock.now());
        clock.advance(WAIT_MS);
        lease.tick();
        expect(lease.canOrder).toBe(false);
        lease.confirmListed(clock.now());
        expect(lease.canOrder).toBe(true);
    });
});

describe("nextFencingToken", () => {
    const cases: [string, number, number, number][] = [
        ["start time above the highest token", 2_000, 1_000, 2_000],
        ["clock set back", 1_000, 2_000, 2_001],
        ["start time equal to the highest token", 1_000, 1_000, 1_001],
    ];
    it.each(cases)("%s", (_name, incarnation, highest, expected) => {
        expect(fencingTokens.nextFencingToken(incarnation, highest)).toBe(expected);
    });
});
