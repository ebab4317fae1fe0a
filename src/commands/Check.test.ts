import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as vitest from "vitest";
import * as checks from "./Check";

const { afterAll, beforeAll, describe, expect, it } = vitest;

const examples = path.join(import.meta.dirname, "../../examples");
let directory: string;

/** Checks a copy of an example file in which `from` is replaced by `to`. */
function checkEdited(file: string, from: string, to: string): { code: number; lines: string[] } {
    const text = fs.readFileSync(path.join(examples, file), "utf8");
    expect(text).toContain(from);
    const editedPath = path.join(directory, "changed.yaml");
    fs.writeFileSync(editedPath, text.replace(from, to));
    const lines: string[] = [];
    return { code: checks.checkFile(editedPath, line => lines.push(line)), lines };
}

describe("cumincrank check", () => {
    beforeAll(() => directory = fs.mkdtempSync(path.join(os.tmpdir(), "check-")));
    afterAll(() => fs.rmSync(directory, { recursive: true }));

    it.each([
        ["cooperative.yaml", "configuration"],
        ["imprenta.yaml", "configuration"],
        ["settings/entry.yaml", "settings"],
        ["settings/agent.yaml", "settings"],
    ])("accepts %s", (file, kind) => {
        const lines: string[] = [];
        expect(checks.checkFile(path.join(examples, file), line => lines.push(line))).toBe(0);
        expect(lines).toEqual([`${path.join(examples, file)}: valid ${kind}`]);
    });

    const invalidCases: [string, string, string, string][] = [
        ["cooperative.yaml", "preset: ordinary", "preset: holiday", ": preset: \"holiday\", expected"],
        ["cooperative.yaml", "version: 1", "version: one", ": version: \"one\", expected"],
        ["cooperative.yaml", "version: 1", "", ": version: nothing, expected"],
        ["cooperative.yaml", "kind: engine", "kind: motor", ": services.language-models.kind: \"motor\""],
        ["cooperative.yaml", "failureDomain: seattle-a", "failureDomain: oslo", "slots.language-model-1.failureDomain"],
        ["cooperative.yaml", "model: report-writer", "model: nobody", "pipelines.condition-report.stages.4.model"],
        ["imprenta.yaml", "operation: check-order", "operation: order", "pipelines.order-status.stages.0.operation"],
        ["imprenta.yaml", "coldConcurrency: 2", "coldConcurrency: 99", "services.menu-copy.coldConcurrency: 99"],
        ["imprenta.yaml", "teams:", "groups:", ": teams: nothing, expected"],
        ["imprenta.yaml", "preset: ordinary", "preset: [", ": (document): "],
        ["imprenta.yaml", "owners: 2", "strangers: 2", "presets.peak.teamWeights.strangers"],
        ["settings/entry.yaml", "role: entry", "role: clerk", ": role: \"clerk\", expected"],
        ["settings/entry.yaml", "10.0.1.10:8080", "localhost", ": callerListen: \"localhost\", expected"],
        ["settings/agent.yaml", "upstream: ", "downstream: ", ": upstream: nothing, expected"],
        ["settings/agent.yaml", "ledgerCapacity: 100000", "ledgerCapacity: 0", ": ledgerCapacity: 0, expected"],
    ];
    it.each(invalidCases)("rejects %s with %j replaced by %j", (file, from, to, expected) => {
        const { code, lines } = checkEdited(file, from, to);
        expect(code).toBe(2);
        expect(lines.join("\n")).toContain(expected);
    });

    it("rejects a missing file", () => {
        expect(checks.checkFile(path.join(directory, "missing.yaml"), () => undefined)).toBe(2);
    });
});
