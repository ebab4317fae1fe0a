import * as vitest from "vitest";
import * as descriptorLimits from "./DescriptorLimit";

vitest.describe("callers' connections", () => {
    vitest.it.each([
        { descriptors: 4_100, callers: 1_950, peers: 1_462 },
        { descriptors: 1_024, callers: 412, peers: 309 },
        { descriptors: 200, callers: 75, peers: 56 },
        { descriptors: 1, callers: 1, peers: 1 },
    ])(
        "with $descriptors descriptors are at most $callers, those of peers $peers",
        ({ descriptors, callers, peers }) => {
            vitest.expect(descriptorLimits.maxCallerConnections(descriptors)).toBe(callers);
            vitest.expect(descriptorLimits.maxPeerConnections(descriptors)).toBe(peers);
        },
    );

    vitest.it("follow from a limit of the operating system", () => {
        vitest.expect(descriptorLimits.readDescriptorLimit()).toBeGreaterThan(0);
    });

    vitest.it.each([
        { system: 1_024, settings: 4_100, limit: 1_024 },
        { system: 8_192, settings: 4_100, limit: 4_100 },
        { system: undefined, settings: 4_100, limit: 4_100 },
        { system: 8_192, settings: undefined, limit: 8_192 },
        { system: undefined, settings: undefined, limit: 1_024 },
    ])("are counted from the lower limit of $system and $settings", ({ system, settings, limit }) => {
        vitest.expect(descriptorLimits.findDescriptorLimit(system, settings)).toBe(limit);
    });
});
