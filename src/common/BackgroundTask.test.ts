import * as pino from "pino";
import * as vitest from "vitest";
import * as backgroundTasks from "./BackgroundTask";

vitest.describe("a task in the background that fails", () => {
    // Guards against a rejected promise that nobody handles, which ends the process.
    vitest.it("leaves a line with its name and its error", async () => {
        const lines: string[] = [];
        const log = pino.pino({}, { write: (line: string) => void lines.push(line) });
        backgroundTasks.runInBackground(log, "sample", () => Promise.reject(new Error("test")));
        await vitest.vi.waitUntil(() => lines.length > 0);
        vitest.expect(JSON.parse(lines[0]!)).toMatchObject({
            decision: "exception",
            task: "sample",
            err: { message: "test" },
        });
    });
});
