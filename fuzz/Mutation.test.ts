import * as fc from "fast-check";
import * as vitest from "vitest";
import * as randoms from "../src/common/Random";
import * as mutations from "./Mutation";

const SEED = 61;
const RUNS = 2_000;

vitest.describe("a changed document", () => {
    const documents = fc.dictionary(fc.string(), fc.jsonValue(), { minKeys: 1 });

    vitest.it("is the same for the same seed, and leaves the original as it is", () => {
        fc.assert(
            fc.property(documents, fc.integer(), (document, seed) => {
                const before = JSON.stringify(document);
                const first = mutations.mutateDocument(randoms.createRandom(seed), document);
                const second = mutations.mutateDocument(randoms.createRandom(seed), document);
                vitest.expect(JSON.stringify(first)).toBe(JSON.stringify(second));
                vitest.expect(JSON.stringify(document)).toBe(before);
            }),
            { seed: SEED, numRuns: RUNS },
        );
    });
});

vitest.describe("changed bytes", () => {
    const bytes = fc.uint8Array({ minLength: 1, maxLength: 500 }).map(content => Buffer.from(content));

    vitest.it("are the same for the same seed, and leave the original as it is", () => {
        fc.assert(
            fc.property(bytes, fc.integer(), (original, seed) => {
                const before = original.toString("hex");
                const first = mutations.mutateBytes(randoms.createRandom(seed), original);
                const second = mutations.mutateBytes(randoms.createRandom(seed), original);
                vitest.expect(first.equals(second)).toBe(true);
                vitest.expect(original.toString("hex")).toBe(before);
            }),
            { seed: SEED },
        );
    });

    vitest.it("are all there when they are split", () => {
        fc.assert(
            fc.property(bytes, fc.integer(), (original, seed) => {
                const parts = mutations.splitBytes(randoms.createRandom(seed), original, 5);
                vitest.expect(Buffer.concat(parts).equals(original)).toBe(true);
            }),
            { seed: SEED },
        );
    });
});
