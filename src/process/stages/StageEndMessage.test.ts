import * as vitest from "vitest";
import * as codes from "../../common/Codes";
import * as messages from "./StageEndMessage";
import * as stageHosts from "./StageHost";

const RESULTS: { readonly name: string; readonly result: stageHosts.StageRunResult }[] = [
    { name: "results", result: { kind: "completed", handles: ["a/1", "b/2"] } },
    { name: "no results", result: { kind: "completed", handles: [] } },
    {
        name: "a rejection with a time to return",
        result: { kind: "failed", failure: codes.failure(codes.codes.overloaded, "full", 400) },
    },
    { name: "a failure", result: { kind: "failed", failure: codes.failure(codes.codes.deadlineUnreachable, "late") } },
];

vitest.describe("StageEndMessage", () => {
    vitest.it.each(RESULTS)("keeps $name", ({ result }) => {
        vitest.expect(messages.decodeResult(messages.encodeResult(7, result))).toEqual(result);
    });

    vitest.it("reads an unknown code as an overload", () => {
        const decoded = messages.decodeResult({ kind: "stages-end", order: 7, code: 99_999 });
        vitest.expect(decoded).toEqual({ kind: "failed", failure: codes.failure(codes.codes.overloaded, "") });
    });
});
