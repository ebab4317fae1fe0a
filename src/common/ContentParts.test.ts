import * as vitest from "vitest";
import * as contentParts from "./ContentParts";

/** A content of records, with some of them replaced, inserted or left out. */
function createContent(records: number, edit: (index: number) => string | undefined = () => undefined): Buffer {
    const texts = Array.from({ length: records }, (_, index) => {
        const digits = (index * 2_654_435_761 % 4_294_967_296).toString(36);
        return edit(index) ?? `{"name":"route-${digits}","host":"host-${digits}.example","prefix":"/${digits}/"}`;
    });
    return Buffer.from(texts.join(","));
}

const RECORDS = 15_000;
const base = createContent(RECORDS);

vitest.describe("the parts of a content", () => {
    const contents: readonly { readonly name: string; readonly content: Buffer }[] = [
        { name: "empty", content: Buffer.alloc(0) },
        { name: "of one byte", content: Buffer.from("x") },
        { name: "of equal bytes", content: Buffer.alloc(200_000) },
        { name: "of 1.2 MB", content: base },
    ];
    vitest.it.each(contents)("join to a content that is $name", ({ content }) => {
        const parts = contentParts.splitContent(content);
        vitest.expect(Buffer.concat(parts.map(part => part.content)).equals(content)).toBe(true);
        vitest.expect(parts.every(part => part.bytes > 0 && part.bytes <= contentParts.MAX_PART_BYTES)).toBe(true);
    });

    const edits: readonly { readonly name: string; readonly content: Buffer; readonly maxNewBytes: number }[] = [
        {
            name: "one record replaced",
            content: createContent(RECORDS, i => i === 7_000 ? "{}" : undefined),
            maxNewBytes: 20_000,
        },
        {
            name: "a record inserted at the start",
            content: Buffer.concat([Buffer.from("{},"), base]),
            maxNewBytes: 20_000,
        },
        { name: "1,000 records appended", content: createContent(RECORDS + 1_000), maxNewBytes: 110_000 },
    ];
    vitest.it.each(edits)("are shared with the version that has $name", ({ content, maxNewBytes }) => {
        const known = new Set(contentParts.splitContent(base).map(part => part.digest));
        const newParts = contentParts.splitContent(content).filter(part => !known.has(part.digest));
        const newBytes = newParts.reduce((sum, part) => sum + part.bytes, 0);
        vitest.expect(newBytes).toBeGreaterThan(0);
        vitest.expect(newBytes).toBeLessThanOrEqual(maxNewBytes);
    });
});

vitest.describe("references to parts", () => {
    const references = contentParts.splitContent(base).map(({ digest, bytes }) => ({ digest, bytes }));

    vitest.it("are decoded as they were encoded", () => {
        vitest.expect(contentParts.decodeReferences(contentParts.encodeReferences(references))).toEqual(references);
    });

    const malformed: readonly { readonly name: string; readonly encoded: Uint8Array }[] = [
        { name: "cut short", encoded: contentParts.encodeReferences(references).subarray(1) },
        { name: "of no bytes", encoded: new Uint8Array(16) },
        { name: "of too many bytes", encoded: new Uint8Array(16).fill(255) },
    ];
    vitest.it.each(malformed)("that are $name aren't accepted", ({ encoded }) => {
        vitest.expect(contentParts.decodeReferences(encoded)).toBeUndefined();
    });
});
