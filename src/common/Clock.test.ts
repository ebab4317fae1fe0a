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

vitest.describe("a timer", () => {
    // Guards against a loop that keeps the processor: Node.js calls back at once after a delay of 2^31 ms and more.
    vitest.it.each([2 ** 31, 1e12, Infinity])("with a delay of %d ms doesn't call back soon", async delayMs => {
        let calls = 0;
        const timer = clocks.systemClock.schedule(delayMs, () => calls++);
        await clocks.sleep(clocks.systemClock, 50);
        timer.dispose();
        vitest.expect(calls).toBe(0);
    });
});
