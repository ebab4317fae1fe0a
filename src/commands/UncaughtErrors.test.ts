import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as logs from "../common/Log";
import * as uncaughtErrors from "./UncaughtErrors";

const { describe, expect, it } = vitest;

interface Line {
    readonly level: number;
    readonly decision: string;
    readonly id: string;
    readonly error: string;
}

class Fixture {
    readonly clock = new clocks.ManualClock(0);
    readonly lines: Line[] = [];
    ends = 0;
    private nextId = 1;
    readonly errors = new uncaughtErrors.UncaughtErrors({
        clock: this.clock,
        log: logs.createLog("entry-1", "info", line => this.lines.push(JSON.parse(line) as Line)),
        createId: () => `error-${this.nextId++}`,
        end: () => void this.ends++,
    });

    handle(error: unknown): void {
        this.errors.handle(error, "uncaughtException");
    }
}

/** The error with which the operating system refuses a connection. */
function refusedConnection(): Promise<Error> {
    return new Promise(resolve => net.connect(1, "127.0.0.1").on("error", resolve));
}

const LEVEL_ERROR = 50;
const LEVEL_FATAL = 60;

describe("an error that nobody handled", () => {
    it("of the operating system leaves the process running", async () => {
        const fixture = new Fixture();
        fixture.handle(await refusedConnection());
        expect([fixture.ends, fixture.errors.machineErrors, fixture.lines[0]!.level]).toEqual([0, 1, LEVEL_ERROR]);
        expect(fixture.lines[0]!.error).toContain("ECONNREFUSED");
    });

    it("of the operating system ends the process if it has ended a task", async () => {
        const fixture = new Fixture();
        fixture.errors.handle(await refusedConnection(), "unhandledRejection");
        expect([fixture.ends, fixture.lines[0]!.level]).toEqual([1, LEVEL_FATAL]);
    });

    it.each([
        { name: "an exception", error: new TypeError("x is undefined"), text: "x is undefined" },
        { name: "a rejection without an error", error: undefined, text: "undefined" },
        { name: "a text", error: "lost", text: "lost" },
        { name: "a long one", error: "y".repeat(100_000), text: "y".repeat(4_000) },
    ])("ends the process after one line with its ID: $name", ({ error, text }) => {
        const fixture = new Fixture();
        fixture.handle(error);
        fixture.handle(error);
        expect(fixture.ends).toBe(1);
        expect(fixture.lines.map(line => [line.level, line.decision, line.id])).toEqual([
            [LEVEL_FATAL, "uncaught-error", "error-1"],
        ]);
        expect(fixture.lines[0]!.error).toContain(text);
        expect(fixture.lines[0]!.error.length).toBeLessThanOrEqual(4_000);
    });

    it.each([
        { name: "in one moment", gapMs: 0, ends: 1 },
        { name: "over a long time", gapMs: 200, ends: 0 },
    ])("ends the process if the operating system reports 101 $name", async ({ gapMs, ends }) => {
        const fixture = new Fixture();
        const error = await refusedConnection();
        for (let count = 0; count < 101; count++) {
            fixture.handle(error);
            fixture.clock.advance(gapMs);
        }
        expect(fixture.ends).toBe(ends);
    });
});
