import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as randoms from "../../common/Random";
import * as callCosts from "./CallCosts";

const OVERHEAD_MS = 20;
const SPREAD = 1.6;

vitest.describe("the cost of a call", () => {
    vitest.it.each([
        { name: "a pool that reads 20 tokens in a millisecond", tokensPerMs: 20 },
        { name: "a pool that reads 80 tokens in a millisecond", tokensPerMs: 80 },
    ])("is learned within 200 calls of all sizes, for $name", ({ tokensPerMs }) => {
        const random = randoms.createRandom(7);
        const costs = new callCosts.CallCosts(new clocks.ManualClock());
        const trueMs = (tokens: number): number => OVERHEAD_MS + tokens / tokensPerMs;
        const sizes = [300, 700, 2_500, 9_000];
        for (let call = 0; call < 200; call++) {
            const tokens = sizes[call % sizes.length]!;
            const wait = random() < 0.1 ? 5 : SPREAD ** (2 * random() - 1);
            costs.record(tokens, trueMs(tokens) * wait);
        }
        for (const tokens of sizes) {
            const ratio = costs.firstEventMs(tokens) / trueMs(tokens);
            vitest.expect(ratio).toBeGreaterThan(1 / 1.25);
            vitest.expect(ratio).toBeLessThan(1.25);
        }
    });

    vitest.it("is the fixed estimate before the first call", () => {
        const costs = new callCosts.CallCosts(new clocks.ManualClock());
        vitest.expect(costs.firstEventMs(3_600)).toBe(190);
    });
});
