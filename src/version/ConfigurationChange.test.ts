import * as fc from "fast-check";
import * as vitest from "vitest";
import * as messages from "../common/Messages";
import * as checks from "./ConfigurationCheck";
import * as deltas from "./ConfigurationDelta";
import * as digests from "./ContentDigest";
import * as samples from "./SampleConfiguration";

const { describe, expect, it } = vitest;

const SEED = 51;
const base = samples.sampleConfiguration(1);

const path = fc.constantFrom<string[]>(
    ["version"],
    ["preset"],
    ["keyLifetimeMs"],
    ["unknown"],
    ["failureDomains", "west"],
    ["failureDomains", "west", "state"],
    ["failureDomains", "constructor"],
    ["teams", "team-a", "weight"],
    ["teams", "bad name"],
    ["models", "model-a"],
    ["models"],
    ["services", "engines", "coldConcurrency"],
    ["services", "engines", "slots", "engine-1", "state"],
    ["services", "engines", "slots", "engine-1", "failureDomain"],
    ["services", "engines", "slots", "engine-9"],
    ["services", "engines", "slots", "bad name"],
    ["services", "encoders"],
    ["pipelines", "answer", "deadlineMs"],
    ["presets", "ordinary", "retryRatio"],
    ["presets", "peak"],
);
const value = fc.constantFrom<unknown>(
    undefined,
    "in",
    "out",
    "west",
    "nowhere",
    2,
    99,
    -1,
    true,
    { weight: 3 },
    { region: "region-1" },
    { region: "region-1", state: "out" },
    { failureDomain: "east" },
    { failureDomain: "nowhere", state: "in" },
    {},
    [],
);
const edits: fc.Arbitrary<messages.Edit[]> = fc.array(fc.record({ path, value }), { minLength: 1, maxLength: 4 });

describe("a change of a validated configuration", () => {
    it("is accepted or rejected with the same result as the complete content", () => {
        fc.assert(
            fc.property(edits, list => {
                const content = deltas.apply(base, list);
                const checked = checks.checkConfiguration(content);
                const change = checks.checkChange(base, content, deltas.canonicalize(content).length);
                expect(change.isOk).toBe(checked.isOk);
                expect(change.isOk ? change.value : change.error).toEqual(checked.isOk ? checked.value : checked.error);
            }),
            { seed: SEED, numRuns: 2_000 },
        );
    });

    it("has the same digest and length whether or not the base is cached", () => {
        fc.assert(
            fc.property(edits, list => {
                const cachingDigest = new digests.ContentDigest();
                cachingDigest.summarize(base);
                const content = deltas.apply(base, list);
                const summary = cachingDigest.summarize(content);
                expect(summary).toEqual(new digests.ContentDigest().summarize(structuredClone(content)));
                expect(summary.length).toBe(deltas.canonicalize(content).length);
            }),
            { seed: SEED },
        );
    });

    it("shares the unchanged records with the base", () => {
        const content = deltas.apply(base, [{
            path: ["services", "engines", "slots", "engine-1", "state"],
            value: "out",
        }]);
        const changed = checks.checkChange(base, content, 0).unwrapOr(base);
        expect(changed.services["encoders"]).toBe(base.services["encoders"]);
        expect(changed.services["engines"]!.slots["engine-2"]).toBe(base.services["engines"]!.slots["engine-2"]);
        expect(changed.services["engines"]!.slots["engine-1"]!.state).toBe("out");
    });
});
