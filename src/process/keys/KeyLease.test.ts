import * as vitest from "vitest";
import * as leases from "./KeyLease";

const { describe, expect, it } = vitest;

const LEASE_MS = leases.KEY_LEASE_MS;

describe("checkKeyLease", () => {
    const cases: [string, number | undefined, number | undefined, string[], string | undefined][] = [
        ["recently confirmed", LEASE_MS, undefined, [], undefined],
        ["unconfirmed, connected to all others", LEASE_MS + 1, LEASE_MS, ["b", "c"], undefined],
        ["never confirmed, connected to all others", undefined, 0, ["b", "c"], undefined],
        ["unconfirmed, not connected to one of the others", LEASE_MS + 1, 0, ["b"], "view-stale"],
        ["unconfirmed, with an outdated list", LEASE_MS + 1, LEASE_MS + 1, ["b", "c"], "view-stale"],
        ["without confirmation, list and connections", undefined, undefined, [], "view-stale"],
    ];
    it.each(cases)("%s", (_name, unconfirmedMs, listAgeMs, connected, expected) => {
        const isConnected = (instance: string): boolean => connected.includes(instance);
        const failure = leases.checkKeyLease({ unconfirmedMs, listAgeMs, otherInstances: ["b", "c"], isConnected });
        expect(failure?.code.name).toBe(expected);
    });
});
