import * as vitest from "vitest";
import * as limitedRates from "./LimitedRate";

const WINDOW_MS = limitedRates.WINDOW_MS;

/** Times at which requests are sent when as many as possible are wanted, up to `untilMs`. */
function sendAll(rate: limitedRates.LimitedRate, untilMs: number): number[] {
    const sentAtMs: number[] = [];
    for (let nowMs = 0; nowMs < untilMs; nowMs += 10) {
        while (rate.waitMs(nowMs) === 0) {
            rate.add(nowMs);
            sentAtMs.push(nowMs);
        }
    }
    return sentAtMs;
}

function mostWithin(times: readonly number[], windowMs: number): number {
    return Math.max(0, ...times.map(start => times.filter(time => time >= start && time < start + windowMs).length));
}

vitest.describe("requests to an instance with a limit", () => {
    vitest.it.each([
        { name: "a share of none", share: 0, total: 0, burst: 0 },
        { name: "a share of one", share: 1, total: 1, burst: 1 },
        { name: "a small share", share: 4, total: 4, burst: 1 },
        { name: "a large share", share: 200, total: 200, burst: 50 },
    ])("stay within $name in any window, without a burst", ({ share, total, burst }) => {
        const rate = new limitedRates.LimitedRate();
        rate.setShare(share);
        const sentAtMs = sendAll(rate, 20_000);
        vitest.expect(mostWithin(sentAtMs, WINDOW_MS)).toBe(total);
        vitest.expect(mostWithin(sentAtMs, 500)).toBe(burst);
        vitest.expect(sentAtMs.length).toBeGreaterThanOrEqual(Math.floor(total * 20_000 / (WINDOW_MS + 150)));
    });

    vitest.it("are postponed for those that were sent beyond the share", () => {
        const rate = new limitedRates.LimitedRate();
        rate.setShare(1);
        [0, 0, 0].forEach(atMs => rate.add(atMs));
        vitest.expect(rate.waitMs(0)).toBeGreaterThan(2.9 * WINDOW_MS);
    });

    vitest.it("that can be left out leave half of the share to others", () => {
        const rate = new limitedRates.LimitedRate();
        rate.setShare(4);
        [0, 1_000].forEach(atMs => rate.add(atMs));
        vitest.expect(rate.waitMs(2_000)).toBe(0);
        vitest.expect(rate.spareWaitMs(2_000)).toBeGreaterThan(0);
        vitest.expect(rate.spareWaitMs(4_200)).toBe(0);
    });

    vitest.it("aren't held once there is no limit", () => {
        const rate = new limitedRates.LimitedRate();
        rate.setShare(0);
        vitest.expect(rate.waitMs(0)).toBe(Infinity);
        rate.setShare(Infinity);
        vitest.expect(rate.waitMs(0)).toBe(0);
    });
});

vitest.describe("the requests in a window", () => {
    vitest.it.each([{ perSecond: 0, requests: 1 }, { perSecond: 0.1, requests: 1 }, { perSecond: 2.6, requests: 10 }])(
        "of $perSecond a second are of $requests requests",
        ({ perSecond, requests }) => {
            vitest.expect(limitedRates.requestsPerWindow(perSecond)).toBe(requests);
        },
    );
});
