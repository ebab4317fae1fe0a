import * as vitest from "vitest";
import * as clocks from "./Clock";
import * as outputs from "./LogOutput";

const { describe, expect, it } = vitest;

const INTERVAL_MS = 250;
/** Longer than the size up to which lines are collected. */
const LONG_LINE = "x".repeat(9_000) + "\n";

/** A descriptor: each write ends with what `next` returns, or not at all while that is `stuck`. */
class Descriptor {
    readonly clock = new clocks.ManualClock(0);
    written = "";
    writes = 0;
    next: Error | "all" | "stuck" | number = "all";
    private finishStuck: (() => void) | undefined;
    readonly output = new outputs.LogOutput({
        clock: this.clock,
        write: (bytes, callback) => {
            this.writes++;
            const finish = (): void => this.finish(bytes, callback);
            if (this.next === "stuck") {
                this.finishStuck = finish;
                return;
            }
            finish();
        },
    });

    unblock(): void {
        this.next = "all";
        this.finishStuck?.();
    }

    /** Drains the output while time passes; resolves to its result. */
    async drain(limitMs: number): Promise<boolean> {
        let result: boolean | undefined;
        void this.output.drain(limitMs).then(isDone => result = isDone);
        for (let passedMs = 0; result === undefined; passedMs += 10) {
            await Promise.resolve();
            this.clock.advance(10);
            await new Promise(resolve => setImmediate(resolve));
        }
        return result;
    }

    private finish(bytes: Buffer, callback: outputs.WriteCallback): void {
        if (this.next instanceof Error) {
            callback(this.next, 0);
            return;
        }
        const count = typeof this.next === "number" ? this.next : bytes.length;
        this.written += bytes.subarray(0, count).toString();
        callback(undefined, count);
    }
}

interface OutputCase {
    readonly name: string;
    readonly run: (descriptor: Descriptor) => unknown;
    readonly expected: unknown;
}

describe("the output of a log", () => {
    const cases: OutputCase[] = [
        {
            name: "collects lines for an interval",
            run: descriptor => {
                descriptor.output.write("a\n");
                descriptor.clock.advance(INTERVAL_MS - 1);
                return descriptor.written;
            },
            expected: "",
        },
        {
            name: "writes collected lines in one write",
            run: descriptor => {
                descriptor.output.write("a\n");
                descriptor.output.write("b\n");
                descriptor.clock.advance(INTERVAL_MS);
                return [descriptor.written, descriptor.writes];
            },
            expected: ["a\nb\n", 1],
        },
        {
            name: "writes at once what is long enough",
            run: descriptor => {
                descriptor.output.write(LONG_LINE);
                return descriptor.written === LONG_LINE;
            },
            expected: true,
        },
        {
            name: "goes on after a partial write",
            run: descriptor => {
                descriptor.next = 1;
                descriptor.output.write("abc\n");
                descriptor.clock.advance(INTERVAL_MS);
                return [descriptor.written, descriptor.writes];
            },
            expected: ["abc\n", 4],
        },
        {
            name: "keeps lines whose write failed, and repeats it after the interval only",
            run: descriptor => {
                descriptor.next = new Error("ENOSPC");
                descriptor.output.write(LONG_LINE);
                descriptor.output.write(LONG_LINE);
                const writes = descriptor.writes;
                descriptor.next = "all";
                descriptor.clock.advance(2 * INTERVAL_MS);
                return [writes, descriptor.output.failedWrites, descriptor.written === LONG_LINE + LONG_LINE];
            },
            expected: [1, 1, true],
        },
        {
            name: "drops lines beyond its backlog while writes fail",
            run: descriptor => {
                descriptor.next = new Error("ENOSPC");
                for (let count = 0; count < 200; count++) {
                    descriptor.output.write(LONG_LINE);
                }
                return descriptor.output.droppedLines;
            },
            expected: 84,
        },
        {
            name: "drops lines beyond its backlog while a write blocks, and goes on afterwards",
            run: descriptor => {
                descriptor.next = "stuck";
                for (let count = 0; count < 200; count++) {
                    descriptor.output.write(LONG_LINE);
                }
                descriptor.unblock();
                descriptor.clock.advance(INTERVAL_MS);
                return [descriptor.output.droppedLines, descriptor.written.length];
            },
            expected: [84, 116 * LONG_LINE.length],
        },
    ];

    it.each(cases)("$name", ({ run, expected }) => {
        expect(run(new Descriptor())).toEqual(expected);
    });

    it.each([
        { name: "is complete at once", next: "all" as const, isDone: true, drainedMs: 0 },
        { name: "gives up a descriptor that fails", next: new Error("ENOSPC"), isDone: true, drainedMs: 500 },
        { name: "gives up a descriptor that blocks", next: "stuck" as const, isDone: false, drainedMs: 500 },
    ])("drained: $name", async ({ next, isDone, drainedMs }) => {
        const descriptor = new Descriptor();
        descriptor.next = next;
        descriptor.output.write("last\n");
        expect(await descriptor.drain(500)).toBe(isDone);
        expect(descriptor.clock.now()).toBeGreaterThanOrEqual(drainedMs);
        expect(descriptor.clock.now()).toBeLessThan(drainedMs + 50);
    });
});
