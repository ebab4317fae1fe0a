import * as vitest from "vitest";
import * as clocks from "./Clock";

const TASKS = 12;

vitest.describe("many tasks that sleep until they are stopped", () => {
    // Guards against a warning of Node.js on standard error, which isn't a line of the log.
    vitest.it("cause no warning, and end together", async () => {
        const warnings: Error[] = [];
        const record = (warning: Error): void => void warnings.push(warning);
        process.on("warning", record);
        const stop = clocks.createStop();
        const tasks = Array.from({ length: TASKS }, () => clocks.sleep(clocks.systemClock, 60_000, stop.signal));
        await new Promise(resolve => setImmediate(resolve)); // Warnings are reported in a later turn.
        stop.abort();
        await Promise.all(tasks);
        process.off("warning", record);
        vitest.expect(warnings).toEqual([]);
    });
});
