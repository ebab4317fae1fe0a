import * as vitest from "vitest";
import * as descriptorLimits from "./DescriptorLimit";

vitest.describe("callers' connections", () => {
    vitest.it.each([
        { descriptors: 4_100, connections: 1_950 },
        { descriptors: 1_024, connections: 412 },
        { descriptors: 200, connections: 75 },
        { descriptors: 1, connections: 1 },
    ])("with $descriptors descriptors are at most $connections", ({ descriptors, connections }) => {
        vitest.expect(descriptorLimits.maxCallerConnections(descriptors)).toBe(connections);
    });

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
