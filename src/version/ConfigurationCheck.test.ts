import * as vitest from "vitest";
import * as checks from "./ConfigurationCheck";
import * as samples from "./SampleConfiguration";

const { describe, expect, it } = vitest;

type Entries = Record<string, unknown>;

/** The sample configuration with the entry at `path` set to `value`. */
function change(path: string, value: unknown): unknown {
    const content = structuredClone(samples.sampleConfiguration(1)) as unknown as Entries;
    const names = path.split(".");
    let record = content;
    for (const name of names.slice(0, -1)) {
        record = record[name] as Entries;
    }
    record[names[names.length - 1]!] = value;
    return content;
}

function listProblemPaths(content: unknown): string[] {
    const checked = checks.checkConfiguration(content);
    return checked.isOk ? [] : checked.error.map(({ path }) => path);
}

describe("checkConfiguration", () => {
    it("accepts the sample", () => {
        expect(listProblemPaths(samples.sampleConfiguration(1))).toEqual([]);
    });

    const invalidEntries: [string, unknown, string][] = [
        ["version", 0, "version"],
        ["preset", "holiday", "preset"],
        ["presets.peak.hedgeRatio", 2, "presets.peak.hedgeRatio"],
        ["presets.peak.teamWeights", { ghosts: 2 }, "presets.peak.teamWeights.ghosts"],
        ["presets.peak.modelShare", { ghost: 1 }, "presets.peak.modelShare.ghost"],
        ["failureDomains.west.state", "away", "failureDomains.west.state"],
        ["services.engines.slots.engine-1.failureDomain", "south", "services.engines.slots.engine-1.failureDomain"],
        ["services.engines.coldConcurrency", 99, "services.engines.coldConcurrency"],
        [
            "services.engines.operations",
            { constructor: { idempotent: true } },
            "services.engines.operations.constructor",
        ],
        ["pipelines.answer.stages", [], "pipelines.answer.stages"],
        ["pipelines.answer.stages.0.service", "ghost", "pipelines.answer.stages.0.service"],
        ["pipelines.answer.stages.0.service", "constructor", "pipelines.answer.stages.0.service"],
        ["pipelines.answer.stages.0.operation", "ghost", "pipelines.answer.stages.0.operation"],
        ["pipelines.answer.stages.0.model", "model-a", "pipelines.answer.stages.0.model"],
        ["pipelines.answer.stages.1.model", "ghost", "pipelines.answer.stages.1.model"],
        ["pipelines.answer.stages.1.name", "encode", "pipelines.answer.stages.1.name"],
        ["services.encoders.operations.encode.idempotent", false, "pipelines.answer.stages.0.operation"],
        ["services.encoders.operations.encode.streams", true, "pipelines.answer.stages.0.operation"],
        ["surprise", 1, "surprise"],
    ];
    it.each(invalidEntries)("rejects %s = %j", (path, value, expected) => {
        expect(listProblemPaths(change(path, value))).toContain(expected);
    });

    it.each([undefined, 7, "text", [], { version: 1 }])("rejects %j", content => {
        expect(checks.checkConfiguration(content).isErr).toBe(true);
    });

    it("rejects a configuration above the size limit", () => {
        const slot = { failureDomain: "west", state: "in" };
        const slots = Object.fromEntries(Array.from({ length: 30_000 }, (_, index) => [`engine-${index}`, slot]));
        const checked = checks.checkConfiguration(change("services.engines.slots", slots));
        expect(checked.isErr && checked.error[0]?.expected).toContain("1048576 bytes");
    });
});
