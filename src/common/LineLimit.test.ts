import * as vitest from "vitest";
import * as clocks from "./Clock";
import * as lineLimits from "./LineLimit";

const MAX_LINES = 2;
const INTERVAL_MS = 1_000;

vitest.describe("the lines about one kind of event", () => {
    // Guards against logs that another writer can fill.
    vitest.it.each([
        { name: "are all written up to the limit", timesMs: [0, 10], omitted: [0, 0] },
        { name: "are omitted beyond it", timesMs: [0, 10, 20, 30], omitted: [0, 0, undefined, undefined] },
        {
            name: "state later how many were omitted",
            timesMs: [0, 0, 0, 0, 1_000, 1_001],
            omitted: [0, 0, undefined, undefined, 2, 0],
        },
    ])("$name", ({ timesMs, omitted }) => {
        const clock = new clocks.ManualClock(0);
        const limit = new lineLimits.LineLimit(clock, MAX_LINES, INTERVAL_MS);
        const written = timesMs.map(timeMs => {
            clock.advance(timeMs - clock.now());
            return limit.tryWrite();
        });
        vitest.expect(written).toEqual(omitted);
    });
});
