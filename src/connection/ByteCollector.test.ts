import * as vitest from "vitest";
import * as heapFixtures from "../common/HeapFixture";
import * as byteCollectors from "./ByteCollector";

const MEGABYTE = 1024 * 1024;
/** What is held beside twice the bytes. */
const SLACK_BYTES = 4 * 1024;

/** Calls back with chunks of these sizes in turn, until they make up the total. */
function cut(totalBytes: number, sizes: readonly number[], onChunk: (chunk: Buffer) => void): void {
    let sentBytes = 0;
    for (let index = 0; sentBytes < totalBytes; index++) {
        const bytes = Math.min(sizes[index % sizes.length]!, totalBytes - sentBytes);
        onChunk(Buffer.alloc(bytes, index % 251));
        sentBytes += bytes;
    }
}

const cases: readonly { readonly name: string; readonly totalBytes: number; readonly sizes: readonly number[] }[] = [
    { name: "nothing", totalBytes: 0, sizes: [1] },
    { name: "a single small chunk", totalBytes: 20, sizes: [20] },
    { name: "a single large chunk", totalBytes: 65_536, sizes: [65_536] },
    { name: "chunks of one byte", totalBytes: MEGABYTE, sizes: [1] },
    { name: "chunks of 100 bytes", totalBytes: MEGABYTE, sizes: [100] },
    { name: "chunks just below those kept", totalBytes: MEGABYTE, sizes: [4_095] },
    { name: "chunks of the size of a read", totalBytes: 4 * MEGABYTE, sizes: [65_536] },
    { name: "one byte between large chunks", totalBytes: MEGABYTE, sizes: [4_096, 1] },
    { name: "few bytes between large chunks", totalBytes: MEGABYTE, sizes: [5_000, 600, 3, 1_500] },
];

vitest.describe("collected bytes", () => {
    vitest.it.each(cases)("are the same, and few more are held: $name", ({ totalBytes, sizes }) => {
        const chunks: Buffer[] = [];
        cut(totalBytes, sizes, chunk => chunks.push(chunk));
        const whole = Buffer.concat(chunks);
        for (const collector of [new byteCollectors.ByteCollector(), new byteCollectors.ByteCollector(totalBytes)]) {
            for (const chunk of chunks) {
                collector.add(chunk);
                if (collector.heldBytes > 2 * collector.size + SLACK_BYTES) {
                    vitest.expect.fail(`${collector.heldBytes} bytes are held for ${collector.size}`);
                }
            }
            vitest.expect(collector.size).toBe(totalBytes);
            vitest.expect(collector.take().equals(whole)).toBe(true);
            vitest.expect(collector).toMatchObject({ size: 0, heldBytes: 0 });
            collector.add(Buffer.from("next"));
            vitest.expect(collector.take().toString()).toBe("next");
        }
    });

    // Guards against a byte that keeps the 64 KB with which it was read.
    vitest.it.each([
        { first: 1, readBytes: 65_536, isKept: false },
        { first: 1_000, readBytes: 65_536, isKept: false },
        { first: 800, readBytes: 1_200, isKept: true },
        { first: 60_000, readBytes: 65_536, isKept: true },
        { first: 8_000, readBytes: 4_000_000, isKept: false },
    ])("keep a first chunk of $first bytes of a read of $readBytes: $isKept", ({ first, readBytes, isKept }) => {
        const read = Buffer.alloc(readBytes);
        const collector = new byteCollectors.ByteCollector();
        collector.add(read.subarray(0, first));
        const content = collector.take();
        vitest.expect(content.length).toBe(first);
        vitest.expect(content.buffer === read.buffer).toBe(isKept);
    });

    vitest.it.each([{ sizes: [1] }, { sizes: [16] }, { sizes: [4_096, 1] }])(
        "take no more of the heap than is stated, in chunks of $sizes bytes",
        ({ sizes }) => {
            const collector = new byteCollectors.ByteCollector();
            const before = heapFixtures.usedBytes();
            cut(MEGABYTE, sizes, chunk => collector.add(chunk));
            const addedBytes = heapFixtures.usedBytes() - before;
            vitest.expect(addedBytes).toBeLessThan(collector.heldBytes + MEGABYTE);
            vitest.expect(collector.size).toBe(MEGABYTE); // It is still held.
        },
    );

    vitest.it("of a stated size are held in no more than that", () => {
        const collector = new byteCollectors.ByteCollector(100_000);
        cut(100_000, [7], chunk => collector.add(chunk));
        vitest.expect(collector.heldBytes).toBe(100_000);
    });
});
