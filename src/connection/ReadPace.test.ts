import * as vitest from "vitest";
import * as paces from "./ReadPace";

vitest.describe("the size of the next piece", () => {
    vitest.it.each([
        { name: "doubles while pieces are cheap", limit: 16_384, bytes: 16_384, tookMs: 0.1, next: 32_768 },
        { name: "doubles up to 64 KB", limit: 65_536, bytes: 65_536, tookMs: 0.1, next: 65_536 },
        { name: "stays after a short piece", limit: 16_384, bytes: 100, tookMs: 0.1, next: 16_384 },
        {
            name: "stays after a piece in time that wasn't cheap",
            limit: 16_384,
            bytes: 16_384,
            tookMs: 1.5,
            next: 16_384,
        },
        { name: "shrinks to what takes the time limit", limit: 16_384, bytes: 16_384, tookMs: 4, next: 8_192 },
        { name: "shrinks to a quarter at most", limit: 65_536, bytes: 65_536, tookMs: 500, next: 16_384 },
        { name: "shrinks to 1 KB at least", limit: 2_000, bytes: 2_000, tookMs: 500, next: 1_024 },
        { name: "isn't raised by a slow piece", limit: 2_048, bytes: 65_536, tookMs: 3, next: 2_048 },
        { name: "doesn't depend on a slow piece that was short", limit: 16_384, bytes: 300, tookMs: 3, next: 16_384 },
    ])("$name", ({ limit, bytes, tookMs, next }) => {
        vitest.expect(paces.nextLimitBytes(limit, bytes, tookMs)).toBe(next);
    });

    vitest.it("settles where pieces of chunks of one byte take 2 ms", () => {
        const MS_PER_BYTE = 0.0005;
        let limit = paces.FIRST_PIECE_BYTES;
        for (let piece = 0; piece < 20; piece++) {
            limit = paces.nextLimitBytes(limit, limit, limit * MS_PER_BYTE);
        }
        vitest.expect(limit).toBe(4_000);
    });
});
