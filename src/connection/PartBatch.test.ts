import * as vitest from "vitest";
import * as ports from "../common/Ports";
import * as batches from "./PartBatch";

const { expect, it } = vitest;

type Part = [offset: number, ...tokens: string[]];
const long = Array.from({ length: batches.MAX_BATCH_TOKENS }, (_, index) => `${index}`);
const wide = "x".repeat(batches.MAX_BATCH_CHARACTERS);

/** Title, parts added in each turn of the event loop, and parts sent. */
const cases: [string, Part[][], Part[]][] = [
    ["combines the parts of one turn", [[[0, "a"], [1, "b", "c"], [3, "d"]]], [[0, "a", "b", "c", "d"]]],
    ["sends the parts of each turn separately", [[[0, "a"]], [[1, "b"], [2, "c"]]], [[0, "a"], [1, "b", "c"]]],
    ["doesn't combine parts with a gap between them", [[[0, "a"], [5, "b"]]], [[0, "a"], [5, "b"]]],
    ["doesn't combine overlapping parts", [[[0, "a", "b"], [1, "b", "c"]]], [[0, "a", "b"], [1, "b", "c"]]],
    ["limits the tokens of a part", [[[0, ...long], [long.length, "x"]]], [[0, ...long], [long.length, "x"]]],
    ["limits the characters of a part", [[[0, wide], [1, "x"]]], [[0, wide], [1, "x"]]],
    ["sends nothing for an empty part", [[[4]]], []],
];
it.each(cases)("%s", (_, turns, expected) => {
    const sent: ports.UpstreamPart[] = [];
    const deferred: (() => void)[] = [];
    const batch = new batches.PartBatch(part => sent.push(part), callback => deferred.push(callback));
    for (const turn of turns) {
        turn.forEach(([offset, ...tokens]) => batch.add({ offset, tokens }));
        deferred.splice(0).forEach(callback => callback());
    }
    expect(sent).toEqual(expected.map(([offset, ...tokens]) => ({ offset, tokens })));
});

it("sends batched tokens once when flushed before the end of the turn", () => {
    const sent: ports.UpstreamPart[] = [];
    const deferred: (() => void)[] = [];
    const batch = new batches.PartBatch(part => sent.push(part), callback => deferred.push(callback));
    batch.add({ offset: 0, tokens: ["a"] });
    batch.flush();
    deferred.forEach(callback => callback());
    expect(sent).toEqual([{ offset: 0, tokens: ["a"] }]);
});
