import * as vitest from "vitest";
import * as baselines from "./BaselineChoices";
import * as choices from "./UpstreamChoice";

const { expect, it } = vitest;

function candidate(instance: string, active: number, draining = false): choices.Candidate {
    const load = { limit: 8, active, queued: 0, cold: false, draining, expectedMs: 0, models: [] };
    return { instance, failureDomain: "d0", region: "r0", load, pending: 0 };
}

const candidates = [candidate("a", 3), candidate("b", 1), candidate("c", 0, true), candidate("d", 0)];
const cases: [string, () => baselines.ChoiceFunction, string[]][] = [
    ["round robin", baselines.createRoundRobin, ["a", "b", "a"]],
    ["least reported load", baselines.createLeastReportedLoad, ["b", "b", "b"]],
];
it.each(cases)("%s excludes draining and avoided instances", (_name, create, expected) => {
    const choose = create();
    const avoided = { avoidInstances: new Set(["d"]), avoidDomains: new Set<string>() };
    const request = { service: "s", operation: "o", ...avoided, candidates };
    expect(expected.map(() => choose(request)?.candidate.instance)).toEqual(expected);
    expect(choose({ ...request, candidates: [] })).toBeUndefined();
});
