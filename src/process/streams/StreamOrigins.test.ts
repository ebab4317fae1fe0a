import * as vitest from "vitest";
import * as origins from "./StreamOrigins";

const FIRST: origins.StreamOrigin = { service: "model", softwareVersion: "v1" };
const OTHER_SERVICE: origins.StreamOrigin = { service: "draft", softwareVersion: "v7" };

vitest.describe("decideResume", () => {
    const cases: readonly {
        readonly name: string;
        readonly evidence: Partial<origins.ResumeEvidence>;
        readonly expected: origins.ResumeDecision;
    }[] = [
        { name: "binds to a known origin", evidence: { origins: [FIRST] }, expected: { kind: "bound", origin: FIRST } },
        {
            name: "prefers a known origin to the only version of now",
            evidence: { origins: [FIRST], onlyVersion: "v2" },
            expected: { kind: "bound", origin: FIRST },
        },
        {
            name: "binds to the origin's service, not to the one that a new call would get",
            evidence: { origins: [OTHER_SERVICE], targets: ["model", "draft"] },
            expected: { kind: "bound", origin: OTHER_SERVICE },
        },
        {
            name: "binds to the version of the service that still serves the route, if two have written",
            evidence: { origins: [OTHER_SERVICE, FIRST] },
            expected: { kind: "bound", origin: FIRST },
        },
        {
            name: "doesn't bind when only a service wrote that no longer serves the route",
            evidence: { origins: [OTHER_SERVICE] },
            expected: { kind: "free" },
        },
        {
            name: "binds to the only version there has been",
            evidence: { onlyVersion: "v3" },
            expected: { kind: "bound", origin: { service: "model", softwareVersion: "v3" } },
        },
        { name: "never guesses", evidence: {}, expected: { kind: "unknown" } },
    ];
    vitest.it.each(cases)("$name", ({ evidence, expected }) => {
        const unknown = { origins: [], targets: ["model"], service: "model", onlyVersion: undefined };
        vitest.expect(origins.decideResume({ ...unknown, ...evidence })).toEqual(expected);
    });
});

vitest.describe("StreamOrigins", () => {
    const lifetimeMs = 1_000;

    vitest.it("keeps the first origin of each service, until it expires", () => {
        const memory = new origins.StreamOrigins();
        vitest.expect(memory.add({ attempt: "a", ...FIRST, lifetimeMs }, 0)).toBe(true);
        vitest.expect(memory.add({ attempt: "a", ...FIRST, softwareVersion: "v2", lifetimeMs }, 0)).toBe(false);
        vitest.expect(memory.add({ attempt: "a", ...OTHER_SERVICE, lifetimeMs }, 500)).toBe(true);
        vitest.expect(memory.find("a", 1_500)).toEqual([FIRST, OTHER_SERVICE]);
        vitest.expect(memory.find("a", 1_501)).toEqual([]);
        vitest.expect(memory.find("b", 0)).toEqual([]);
    });

    vitest.it("lists the streams of a service with the rest of their lifetimes", () => {
        const memory = new origins.StreamOrigins();
        memory.add({ attempt: "expired", ...FIRST, lifetimeMs }, 0);
        memory.add({ attempt: "other", ...OTHER_SERVICE, lifetimeMs }, 800);
        memory.add({ attempt: "open", ...FIRST, lifetimeMs }, 800);
        vitest.expect(memory.streamsOf("model", 1_200)).toEqual([{ attempt: "open", ...FIRST, lifetimeMs: 600 }]);
    });

    vitest.it("forgets the oldest streams when there are too many", () => {
        const memory = new origins.StreamOrigins();
        for (let index = 0; index <= 50_000; index++) {
            memory.add({ attempt: `${index}`, ...FIRST, lifetimeMs }, 0);
        }
        vitest.expect([memory.find("0", 0).length, memory.find("1", 0).length]).toEqual([0, 1]);
    });
});
