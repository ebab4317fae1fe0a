import * as vitest from "vitest";
import * as histories from "./ResultsHistory";

const { describe, expect, it } = vitest;

const rules: histories.ResultsRules = { stageCount: 2, tokenCount: 3, retryRatio: 0.5, reserve: () => 1 };
const expectedTokens = ["a/a/h.0", "a/a/h.1", "a/a/h.2"];

function createTextRecord(tokens: string[], changes: Partial<histories.ResultRecord> = {}): histories.ResultRecord {
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

function createStreamRecord(tokens: string[], offsets = tokens.map((_, index) => index)): histories.ResultRecord {
    const received = tokens.map((token, index) => ({ offset: offsets[index]!, token: `${token} ` }));
    return createTextRecord([], { text: undefined, tokens: received, isStream: true });
}

const cases: [string, histories.ResultRecord, Partial<histories.ResultsVerdict>][] = [
    ["a complete text", createTextRecord(expectedTokens), {}],
    ["a complete stream", createStreamRecord(expectedTokens), {}],
    ["a rejection", createTextRecord([], { outcome: "not-run" }), {}],
    ["no answer", createTextRecord([], { outcome: undefined }), { lost: 1 }],
    ["no answer from an entry that was killed", createTextRecord([], { outcome: undefined, entryFailed: true }), {}],
    ["a truncated text", createTextRecord(expectedTokens.slice(0, 2)), { lost: 1 }],
    ["a truncated stream", createStreamRecord(expectedTokens.slice(0, 2)), { lost: 1 }],
    ["a duplicate token", createTextRecord([...expectedTokens, expectedTokens[2]!]), { doubled: 1 }],
    ["a duplicate offset", createStreamRecord(expectedTokens, [0, 1, 1]), { doubled: 1 }],
    ["tokens out of order", createStreamRecord([expectedTokens[1]!, expectedTokens[0]!, expectedTokens[2]!]), {
        doubled: 1,
    }],
    ["another request's text", createTextRecord(["b/b/h.0", "b/b/h.1", "b/b/h.2"]), { crossed: 1 }],
    ["another request's stage result", createTextRecord(["a/b/h.0", "a/b/h.1", "a/b/h.2"]), { crossed: 1 }],
    ["a skipped stage", createTextRecord(["a/h.0", "a/h.1", "a/h.2"]), { crossed: 1 }],
    ["a stream of two results", createStreamRecord([expectedTokens[0]!, "a/a/i.1", expectedTokens[2]!]), {
        crossed: 1,
    }],
    ["retries over the budget", createTextRecord(expectedTokens, { stages: [{ retries: 3, hedges: 0 }] }), {
        retriesOverBudget: 1.5,
    }],
];

describe("checkResults", () => {
    it.each(cases)("checks %s", (_name, record, expected) => {
        const { lost, doubled, crossed, retriesOverBudget } = histories.checkResults([record], rules);
        const clean = { lost: 0, doubled: 0, crossed: 0, retriesOverBudget: 0 };
        expect({ lost, doubled, crossed, retriesOverBudget }).toEqual({ ...clean, ...expected });
    });
});
