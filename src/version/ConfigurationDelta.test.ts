import * as cbor from "cbor-x";
import * as fc from "fast-check";
import * as vitest from "vitest";
import * as configurations from "../common/Configuration";
import * as deltas from "./ConfigurationDelta";
import * as digests from "./ContentDigest";
import * as samples from "./SampleConfiguration";

const { describe, expect, it } = vitest;

const SEED = 12;

const state = fc.constantFrom("in" as const, "out" as const);
const name = fc.constantFrom("a", "b", "c", "valueOf");
const slots = fc.dictionary(name, fc.record({ failureDomain: fc.constantFrom("west", "east"), state }));
const stage = fc.record(
    { name, service: name, operation: name, model: fc.option(name, { nil: undefined }) },
);
const configuration: fc.Arbitrary<configurations.Configuration> = fc.record({
    version: fc.integer({ min: 1, max: 9 }),
    preset: fc.constantFrom("ordinary", "peak"),
    teams: fc.dictionary(name, fc.record({ weight: fc.integer({ min: 1, max: 3 }) })),
    pipelines: fc.dictionary(name, fc.record({ deadlineMs: fc.constantFrom(1, 2), stages: fc.array(stage) })),
    services: fc.dictionary(
        name,
        slots.map(value => ({ ...samples.sampleConfiguration(1).services["engines"]!, slots: value })),
    ),
}).map(parts => ({ ...samples.sampleConfiguration(1), ...parts }));

function digestOf(content: unknown): string {
    return new digests.ContentDigest().summarize(content).digest;
}

describe("ConfigurationDelta", () => {
    it("reconstructs the target from the base and the edits after an encoding round trip", () => {
        fc.assert(
            fc.property(configuration, configuration, (from, to) => {
                const before = deltas.canonicalize(from);
                const edits = cbor.decode(cbor.encode(deltas.diff(from, to)));
                const applied = deltas.apply(from, edits) as configurations.Configuration;
                expect(applied).toEqual(to);
                expect(digestOf(applied)).toBe(digestOf(to));
                expect(deltas.canonicalize(from)).toBe(before);
            }),
            { seed: SEED },
        );
    });

    it("computes equal digests and no edits if and only if the contents are equal", () => {
        fc.assert(
            fc.property(configuration, configuration, (from, to) => {
                const same = deltas.canonicalize(from) === deltas.canonicalize(to);
                expect(digestOf(from) === digestOf(to)).toBe(same);
                expect(deltas.diff(from, to).length === 0).toBe(same);
            }),
            { seed: SEED },
        );
    });

    it("describes the changed state of one slot by one edit", () => {
        const from = samples.sampleConfiguration(3);
        const to = structuredClone(from);
        to.services["engines"]!.slots["engine-1"]!.state = "out";
        const path = ["services", "engines", "slots", "engine-1", "state"];
        expect(deltas.diff(from, to)).toEqual([{ path, value: "out" }]);
    });

    it("computes digests independent of the order of names", () => {
        const from = samples.sampleConfiguration(3);
        const reversed = Object.fromEntries(Object.entries(from).reverse()) as configurations.Configuration;
        expect(digestOf(reversed)).toBe(digestOf(from));
    });

    it("doesn't modify prototypes", () => {
        const applied = deltas.apply({}, [{ path: ["__proto__", "polluted"], value: true }]);
        expect((applied as { polluted?: unknown }).polluted).toBeUndefined();
        deltas.apply({}, [{ path: ["constructor", "polluted"], value: true }]);
        expect((Object as { polluted?: unknown }).polluted).toBeUndefined();
    });
});
