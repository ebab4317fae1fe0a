import * as fs from "node:fs";
import * as vitest from "vitest";
import * as codes from "../common/Codes";
import * as codesTables from "./CodesTable";

const { describe, expect, it } = vitest;

describe("the table of result codes", () => {
    it("matches docs/RESULT-CODES.md", () => {
        expect(fs.readFileSync("docs/RESULT-CODES.md", "utf8")).toBe(codesTables.renderCodesPage());
    });

    it("has unique numbers and names", () => {
        const rows = Object.values(codes.codes);
        expect(new Set(rows.map(row => row.code)).size).toBe(rows.length);
        expect(new Set(rows.map(row => row.name)).size).toBe(rows.length);
    });

    it.each(Object.values(codes.codes))("gives $name the outcome of its range of numbers", row => {
        const expected = ["completed", "not-run", "not-run", "unknown"][Math.floor(row.code / 100)];
        expect(row.outcome).toBe(expected);
    });
});
