import * as vitest from "vitest";
import * as histories from "./ResultsHistory";

const { describe, expect, it } = vitest;

const rules: histories.ResultsRules = { stageCount: 2, tokenCount: 3, retryRatio: 0.5, reserve: () => 1 };
const own = ["a/a/h.0", "a/a/h.1", "a/a/h.2"];

function textOf(tokens: string[], changes: Partial<histories.ResultRecord> = {}): histories.ResultRecord {
    return {
        token: "a",
        entry: "e",
        outcome: "completed",
        text: tokens.map(token => `${token} `).join(""),
        tokens: [],
        isStream: false,
        stages: [{ retries: 0, hedges: 0 }, { retries: 1, hedges: 0 }],
        entryFailed: false,
        ...changes,
    };
}

function streamOf(tokens: string[], offsets = tokens.map((_, index) => index)): histories.ResultRecord {
    const received = tokens.map((token, index) => ({ offset: offsets[index]!, token: `${token} ` }));
    return textOf([], { text: undefined, tokens: received, isStream: true });
}

const cases: [string, histories.ResultRecord, Partial<histories.ResultsVerdict>][] = [
    ["a whole text", textOf(own), {}],
    ["a whole stream", streamOf(own), {}],
    ["a refusal", textOf([], { outcome: "not-run" }), {}],
    ["no answer", textOf([], { outcome: undefined }), { lost: 1 }],
    ["no answer of an entry that was killed", textOf([], { outcome: undefined, entryFailed: true }), {}],
    ["a text cut short", textOf(own.slice(0, 2)), { lost: 1 }],
    ["a stream cut short", streamOf(own.slice(0, 2)), { lost: 1 }],
    ["a token twice", textOf([...own, own[2]!]), { doubled: 1 }],
    ["an offset twice", streamOf(own, [0, 1, 1]), { doubled: 1 }],
    ["tokens out of order", streamOf([own[1]!, own[0]!, own[2]!]), { doubled: 1 }],
    ["another request's text", textOf(["b/b/h.0", "b/b/h.1", "b/b/h.2"]), { crossed: 1 }],
    ["an earlier stage of another request", textOf(["a/b/h.0", "a/b/h.1", "a/b/h.2"]), { crossed: 1 }],
    ["a stage left out", textOf(["a/h.0", "a/h.1", "a/h.2"]), { crossed: 1 }],
    ["a stream mixed of two", streamOf([own[0]!, "a/a/i.1", own[2]!]), { crossed: 1 }],
    ["retries over the budget", textOf(own, { stages: [{ retries: 3, hedges: 0 }] }), { retriesOverBudget: 1.5 }],
];

describe("checkResults", () => {
    it.each(cases)("judges %s", (_name, record, expected) => {
        const { lost, doubled, crossed, retriesOverBudget } = histories.checkResults([record], rules);
        const clean = { lost: 0, doubled: 0, crossed: 0, retriesOverBudget: 0 };
        expect({ lost, doubled, crossed, retriesOverBudget }).toEqual({ ...clean, ...expected });
    });
});
