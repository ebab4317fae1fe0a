import * as fc from "fast-check";
import * as vitest from "vitest";
import * as streams from "./StreamAssembly";

const { expect, it } = vitest;

const SEED = 21;

const parts: [string, number, string[], streams.PartOutcome, number][] = [
    ["the next part", 2, ["c"], "delivered", 3],
    ["an overlapping part", 1, ["b", "c", "d"], "delivered", 4],
    ["a part already delivered", 0, ["a", "b"], "duplicate", 2],
    ["an empty part", 2, [], "duplicate", 2],
    ["a part after a gap", 3, ["d"], "gap", 2],
];
it.each(parts)("classifies %s", (_name, offset, tokens, outcome, next) => {
    const assembly = new streams.StreamAssembly(() => undefined);
    assembly.accept({ offset: 0, tokens: ["a", "b"] });
    expect(assembly.accept({ offset, tokens })).toBe(outcome);
    expect(assembly.next).toBe(next);
});

it("delivers each token once and in order for any sequence of parts", () => {
    const part = fc.tuple(fc.nat(30), fc.nat(8));
    fc.assert(
        fc.property(fc.array(part, { maxLength: 60 }), list => {
            const seen: string[] = [];
            const assembly = new streams.StreamAssembly((offset, token) => seen.push(`${offset}:${token}`));
            for (const [offset, length] of list) {
                assembly.accept({ offset, tokens: Array.from({ length }, (_, index) => `t${offset + index}`) });
            }
            expect(seen).toEqual(Array.from({ length: assembly.next }, (_, index) => `${index}:t${index}`));
        }),
        { seed: SEED },
    );
});
