import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as fencingTokens from "./FencingToken";
import * as leases from "./OrderLease";

const { describe, expect, it } = vitest;
const WAIT_MS = leases.LEASE_MS + leases.LEASE_MARGIN_MS;

describe("OrderLease", () => {
    const cases: [string, number, number | undefined, number, boolean][] = [
        ["before the predecessor's lease has ended", WAIT_MS - 1, 0, 0, false],
        ["with a fresh confirmation", WAIT_MS, 0, 0, true],
        ["at the end of the lease", WAIT_MS, 0, leases.LEASE_MS, true],
        ["past the lease", WAIT_MS, 0, leases.LEASE_MS + 1, false],
        ["never confirmed", WAIT_MS, undefined, 0, false],
        ["confirmed by a read sent long ago", WAIT_MS, leases.LEASE_MS + 1, 0, false],
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

    it("is void after a pause until the list names the agent again", () => {
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

describe("nextFencingNumber", () => {
    const cases: [string, number, number, number][] = [
        ["start time above the highest", 2_000, 1_000, 2_000],
        ["clock set back", 1_000, 2_000, 2_001],
        ["equal", 1_000, 1_000, 1_001],
    ];
    it.each(cases)("%s", (_name, incarnation, highest, expected) => {
        expect(fencingTokens.nextFencingToken(incarnation, highest)).toBe(expected);
    });
});
