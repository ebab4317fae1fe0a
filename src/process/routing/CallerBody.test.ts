import * as events from "node:events";
import * as http from "node:http";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as heapFixtures from "../../common/HeapFixture";
import * as bodies from "./CallerBody";

const MEGABYTE = 1024 * 1024;
const LIMITS: bodies.BodyLimits = { maxBytes: 4 * MEGABYTE, idleMs: 15_000 };
const CHUNKS = 300_000;

/** Begins to read the body of a message; its chunks are emitted by the test. */
function startReading(headers: http.IncomingHttpHeaders, limits = LIMITS) {
    const message = Object.assign(new events.EventEmitter(), { headers });
    const clock = new clocks.ManualClock();
    const scheduled = vitest.vi.spyOn(clock, "schedule");
    const account = { bytes: 0 };
    const tryAddBody = (bytes: number): boolean => {
        account.bytes += bytes;
        return true;
    };
    const reading = bodies.readCallerBody(message as unknown as http.IncomingMessage, limits, { tryAddBody }, clock);
    return { message, clock, scheduled, account, reading };
}

vitest.describe("a caller's body in chunks of one byte", () => {
    // Guards against a body of 4 MB that takes half a gigabyte, and against a timer for each byte.
    vitest.it.each([
        { name: "of no stated length", headers: {} },
        { name: "of a stated length", headers: { "content-length": String(CHUNKS) } },
    ])("$name is read, and what it takes is accounted for", async ({ headers }) => {
        const { message, scheduled, account, reading } = startReading(headers);
        const before = heapFixtures.usedBytes();
        for (let count = 0; count < CHUNKS; count++) {
            message.emit("data", Buffer.alloc(1, "a"));
        }
        const addedBytes = heapFixtures.usedBytes() - before;
        vitest.expect(addedBytes).toBeLessThan(2 * CHUNKS + MEGABYTE);
        vitest.expect(account.bytes).toBeGreaterThanOrEqual(CHUNKS);
        vitest.expect(account.bytes).toBeLessThanOrEqual(2 * CHUNKS);
        vitest.expect(scheduled.mock.calls.length).toBeLessThan(10);
        message.emit("end");
        vitest.expect((await reading).unwrapOr(Buffer.alloc(0)).toString()).toBe("a".repeat(CHUNKS));
    });
});

vitest.describe("a caller's body", () => {
    const silence = "request-timeout";
    vitest.it.each([
        { name: "that flows for long", gapsMs: [10_000, 10_000, 10_000], maxBytes: 4, end: "ok" },
        { name: "that stops before its first byte", gapsMs: [15_100], maxBytes: 4, end: silence },
        { name: "that stops later", gapsMs: [10_000, 15_100], maxBytes: 4, end: silence },
        { name: "that is too large", gapsMs: [1, 1, 1], maxBytes: 2, end: "body-too-large" },
    ])("$name ends as $end", async ({ gapsMs, maxBytes, end }) => {
        const { message, clock, reading } = startReading({}, { ...LIMITS, maxBytes });
        for (const gapMs of gapsMs) {
            clock.advance(gapMs);
            message.emit("data", Buffer.from("a"));
        }
        message.emit("end");
        const outcome = await reading;
        vitest.expect(outcome.isOk ? "ok" : outcome.error.code.name).toBe(end);
    });
});
