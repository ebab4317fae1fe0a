import * as vitest from "vitest";
import * as heapFixtures from "../../common/HeapFixture";
import * as parsers from "./TokenStreamParser";

const LINE_BYTES = 200_000;

vitest.describe("a line that comes in chunks", () => {
    // Guards against a buffer for each byte of a line.
    vitest.it.each([{ chunkBytes: 1 }, { chunkBytes: 100 }])(
        "of $chunkBytes bytes holds little more than its bytes, and is parsed",
        ({ chunkBytes }) => {
            const parts: unknown[] = [];
            const parser = new parsers.TokenStreamParser(0, part => parts.push(part));
            const line = Buffer.from(JSON.stringify({ offset: 0, tokens: ["a".repeat(LINE_BYTES)] }));
            const failures: unknown[] = [];
            const before = heapFixtures.usedBytes();
            for (let sent = 0; sent < line.length; sent += chunkBytes) {
                failures.push(...[parser.push(Buffer.from(line.subarray(sent, sent + chunkBytes)))].filter(Boolean));
            }
            vitest.expect(failures).toEqual([]);
            vitest.expect(heapFixtures.usedBytes() - before).toBeLessThan(2 * LINE_BYTES + 2_000_000);
            vitest.expect(parser.push(Buffer.from("\n"))).toBeUndefined();
            vitest.expect(parts).toHaveLength(1);
        },
    );
});
