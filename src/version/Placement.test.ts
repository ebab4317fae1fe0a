import * as fc from "fast-check";
import * as vitest from "vitest";
import * as configurations from "../common/Configuration";
import * as placements from "./Placement";

const { describe, expect, it } = vitest;
const SEED = 31;
const MODELS = ["a", "b", "c", "d", "e", "f"];

function createConfiguration(slots: number, share: number): configurations.Configuration {
    const names = Array.from({ length: slots }, (_value, index) => index);
    return configurations.configurationSchema.parse({
        version: 1,
        preset: "p",
        presets: {
            p: {
                retryRatio: 0,
                hedgeRatio: 0,
                shedBelowPriority: 0,
                modelShare: Object.fromEntries(MODELS.map(model => [model, share])),
            },
        },
        failureDomains: Object.fromEntries(["z0", "z1", "z2", "z3"].map(name => [name, { region: "r" }])),
        teams: {},
        services: {
            chat: {
                kind: "engine",
                operations: {},
                warmConcurrency: 1,
                coldConcurrency: 1,
                slots: Object.fromEntries(names.map(index => [`s${index}`, { failureDomain: `z${index % 4}` }])),
            },
        },
        pipelines: {},
    });
}

function findHolders(configuration: configurations.Configuration, live: Set<string>, model: string): string[] {
    return [...live].filter(slot =>
        placements.findWantedModels({ configuration, service: "chat", slot, live, held: new Set() }).includes(model)
    );
}

const sizes = fc.record({ slots: fc.integer({ min: 3, max: 20 }), share: fc.double({ min: 0, max: 1, noNaN: true }) });

describe("findWantedModels", () => {
    it("places every model, in two failure domains if it has two or more replicas", () => {
        fc.assert(
            fc.property(sizes, ({ slots, share }) => {
                const configuration = createConfiguration(slots, share);
                const live = new Set(Object.keys(configuration.services["chat"]!.slots));
                for (const model of MODELS) {
                    const holders = findHolders(configuration, live, model);
                    expect(holders.length).toBe(placements.countReplicas(configuration, "chat", model));
                    const domains = holders.map(slot => configuration.services["chat"]!.slots[slot]!.failureDomain);
                    expect(new Set(domains).size).toBeGreaterThanOrEqual(Math.min(2, holders.length));
                }
            }),
            { seed: SEED, numRuns: 50 },
        );
    });

    it("adds at most two replicas of a model when one slot is removed", () => {
        fc.assert(
            fc.property(sizes, fc.nat(), ({ slots, share }, removedIndex) => {
                const configuration = createConfiguration(slots, share);
                const live = new Set(Object.keys(configuration.services["chat"]!.slots));
                const after = new Set([...live].filter(slot => slot !== `s${removedIndex % slots}`));
                for (const model of MODELS) {
                    const before = findHolders(configuration, live, model);
                    const added = findHolders(configuration, after, model).filter(slot => !before.includes(slot));
                    expect(added.length).toBeLessThanOrEqual(before.includes(`s${removedIndex % slots}`) ? 2 : 0);
                }
            }),
            { seed: SEED, numRuns: 50 },
        );
    });
});

describe("canUnload", () => {
    it("lets one of the holders with the same view unload if there are excess replicas, and none otherwise", () => {
        fc.assert(
            fc.property(sizes, fc.integer({ min: 1, max: 20 }), ({ slots, share }, held) => {
                const configuration = createConfiguration(slots, share);
                const all = Object.keys(configuration.services["chat"]!.slots);
                const holders = all.slice(0, held);
                const unloaders = holders.filter(slot =>
                    placements.canUnload(
                        { configuration, service: "chat", slot, live: new Set(all), held: new Set(["a"]) },
                        "a",
                        holders,
                    )
                );
                const hasSpareHolder = holders.length > placements.countReplicas(configuration, "chat", "a");
                expect(unloaders.length).toBe(hasSpareHolder ? 1 : 0);
            }),
            { seed: SEED },
        );
    });
});
