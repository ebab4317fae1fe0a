import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as knownEntries from "./KnownEntries";
import * as peerEntries from "./PeerEntry";

const MINUTE_MS = 60_000;
const SELF = { instance: "self", address: "127.0.0.1:1", failureDomain: "a" };
/** Bound on the entries that are known from lists alone. */
const MAX_UNMET = 1_000;

let nowMs: number;
let known: knownEntries.KnownEntries;

function addMadeUp(list: number, count: number): void {
    const entries = Array.from({ length: count }, (_, index) => ({
        instance: `made-up-${list}-${index}`,
        address: `10.1.${index >> 8}.${index & 255}:${list + 1}`,
        failureDomain: "a",
        silentMs: 0,
    }));
    known.addListed({ kind: "entries", isComplete: false, entries });
}

function connect(count: number): peerEntries.PeerEntry[] {
    return Array.from({ length: count }, (_, index) => {
        const peer = known.obtain(`real-${index}`, `10.0.0.${index + 1}:1`, "a");
        peer.connection = {} as NonNullable<peerEntries.PeerEntry["connection"]>;
        return peer;
    });
}

vitest.beforeEach(() => {
    nowMs = 0;
    const clock = { ...clocks.systemClock, now: () => nowMs };
    known = new knownEntries.KnownEntries({ clock, log: logs.silentLog, ...SELF });
});

vitest.describe("entries that are known from lists alone", () => {
    // Guards against made-up entries: each was tried, told to others and kept for good.
    vitest.it.each([
        { lists: 1, size: 10_000 },
        { lists: 50, size: 100 },
    ])("of $lists lists with $size are bounded, not told to others, and forgotten", ({ lists, size }) => {
        connect(4);
        for (let list = 0; list < lists; list++) {
            addMadeUp(list, size);
        }
        vitest.expect(known.size).toBe(4 + MAX_UNMET);
        vitest.expect(known.buildList(true).entries.map(({ instance }) => instance)).toEqual([
            "self",
            "real-0",
            "real-1",
            "real-2",
            "real-3",
        ]);
        nowMs = 2 * MINUTE_MS;
        known.forgetSilent();
        vitest.expect(known.names).toHaveLength(5);
        vitest.expect(known.at("10.1.0.0:1")).toEqual([]);
    });

    vitest.it("leave room for those of a later list", () => {
        addMadeUp(0, MAX_UNMET);
        nowMs = 2 * MINUTE_MS;
        known.forgetSilent();
        addMadeUp(1, 3);
        vitest.expect(known.size).toBe(3);
    });
});

vitest.describe("entries that were connected", () => {
    vitest.it.each([
        { name: "stay while most are gone", lost: 3, left: 4 },
        { name: "are forgotten while most are connected", lost: 1, left: 3 },
    ])("$name", ({ lost, left }) => {
        for (const peer of connect(4).slice(0, lost)) {
            peer.connection = undefined;
            peer.lostAtMs = nowMs;
        }
        nowMs = 2 * MINUTE_MS;
        known.forgetSilent();
        vitest.expect(known.size).toBe(left);
    });

    vitest.it("are found at their address, also one that has taken the place of another", () => {
        const [peer] = connect(1);
        const next = known.obtain("next", peer!.address, "a");
        vitest.expect(known.at(peer!.address)).toEqual([peer, next]);
        const moved = known.obtain("next", "10.0.0.9:1", "a");
        vitest.expect(known.at(peer!.address)).toEqual([peer]);
        vitest.expect(known.at("10.0.0.9:1")).toEqual([moved]);
    });
});
