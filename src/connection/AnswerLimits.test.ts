import * as vitest from "vitest";
import * as answerLimits from "./AnswerLimits";

const cases: readonly {
    readonly name: string;
    /** Numbers of chunks with their size, in this order. */
    readonly chunks: readonly { readonly count: number; readonly bytes: number }[];
    readonly isAccepted: boolean;
}[] = [
    { name: "16,384 chunks of one byte", chunks: [{ count: 16_384, bytes: 1 }], isAccepted: true },
    { name: "chunks of one byte without end", chunks: [{ count: 18_000, bytes: 1 }], isAccepted: false },
    { name: "a token in each chunk, without end", chunks: [{ count: 1_000_000, bytes: 16 }], isAccepted: true },
    { name: "a large body", chunks: [{ count: 256, bytes: 65_536 }], isAccepted: true },
    {
        name: "chunks of one byte after a large body",
        chunks: [{ count: 256, bytes: 65_536 }, { count: 18_000, bytes: 1 }],
        isAccepted: false,
    },
];

vitest.it.each(cases)("a body is accepted: $isAccepted, for $name", ({ chunks, isAccepted }) => {
    const count = new answerLimits.ChunkCount();
    const accepted = chunks.flatMap(({ count: length, bytes }) => Array.from({ length }, () => count.add(bytes)));
    vitest.expect(accepted.every(Boolean)).toBe(isAccepted);
});

vitest.it("16 informational heads are accepted", () => {
    const count = new answerLimits.InformationalCount();
    vitest.expect(Array.from({ length: 17 }, () => count.add()).indexOf(false)).toBe(16);
});
