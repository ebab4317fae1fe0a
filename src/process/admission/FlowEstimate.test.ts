import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as flowEstimates from "./FlowEstimate";

const { describe, expect, it } = vitest;

const encode = { service: "encoders", operation: "encode" };
const generate = { service: "engines", operation: "generate" };
const stages = [encode, generate];

interface Calls {
    readonly active: number;
    readonly queued?: number;
    readonly own?: number;
}

/** One instance of each service with a limit of 4; a call takes 10 ms on encoders and 100 ms on engines. */
function createEstimate(calls: Record<string, Calls>): flowEstimates.FlowEstimate {
    const limit = 4;
    const loads = (service: string): flowEstimates.InstanceLoad[] => {
        const { active, queued = 0, own = 0 } = calls[service] ?? { active: 0 };
        const serviceMs = service === "engines" ? 100 : 10;
        const before = Math.max(0, queued + 1 + active - limit);
        const expectedMs = serviceMs * (before / limit + 1);
        const state = { cold: false, draining: false, models: [] };
        return [{ load: { limit, active, queued, expectedMs, ...state }, pending: 0, waiting: own }];
    };
    const weight = (team: string): number => team === "heavy" ? 3 : 1;
    return new flowEstimates.FlowEstimate({ clock: new clocks.ManualClock(), loads, weight });
}

describe("FlowEstimate", () => {
    const cases: [string, Record<string, Calls>, Record<string, number>, string, number][] = [
        ["idle instances", {}, {}, "a", 110],
        [
            "a full later stage, by calls of this team",
            { engines: { active: 4, queued: 20, own: 24 } },
            { a: 24 },
            "a",
            1_150,
        ],
        [
            "a full later stage, by calls of another team",
            { engines: { active: 4, queued: 20, own: 24 } },
            { b: 24 },
            "a",
            110,
        ],
        ["requests of this entry on their way to a later stage", {}, { a: 23 }, "a", 1_100],
        ["as many requests of two teams", {}, { a: 12, b: 12 }, "a", 1_200],
        ["a team of higher weight", {}, { heavy: 12, b: 12 }, "heavy", 767],
        ["requests on their way at other entries", { engines: { active: 4, own: 1 } }, { a: 8 }, "a", 1_529],
    ];
    it.each(cases)("with %s", (_name, calls, requests, team, expectedMs) => {
        const estimate = createEstimate(calls);
        for (const [sender, count] of Object.entries(requests)) {
            for (let index = 0; index < count; index++) {
                estimate.enter(sender, stages);
            }
        }
        for (let index = 0; index < 200; index++) {
            estimate.expectMs(team, stages);
        }
        expect(Math.round(estimate.expectMs(team, stages))).toBe(expectedMs);
    });

    it("doesn't take a sudden burst at this entry for one at all entries", () => {
        const estimate = createEstimate({ engines: { active: 4, own: 1 } });
        for (let index = 0; index < 200; index++) {
            estimate.expectMs("a", stages);
        }
        Array.from({ length: 8 }, () => estimate.enter("a", stages));
        expect(Math.round(estimate.expectMs("a", stages))).toBe(527);
    });

    it("forgets requests as they pass and end", () => {
        const estimate = createEstimate({});
        const tickets = Array.from({ length: 40 }, () => estimate.enter("a", stages));
        const seen = [estimate.expectMs("a", stages)];
        tickets.forEach(ticket => {
            ticket.start(0);
            ticket.pass(0);
            ticket.start(1);
        });
        seen.push(estimate.expectMs("a", stages));
        tickets.forEach(ticket => ticket.end());
        seen.push(estimate.expectMs("a", stages));
        expect(seen.map(Math.round)).toEqual([1_950, 110, 110]);
    });

    it("leaves later stages what they need, and cuts in proportion when there is too little", () => {
        const estimate = createEstimate({});
        expect(estimate.share(stages, 1_000)).toBe(1_000);
        estimate.observe(encode, 50);
        estimate.observe(generate, 150);
        expect([estimate.share(stages, 1_000), estimate.share(stages, 100)]).toEqual([850, 25]);
        expect(estimate.share([generate], 100)).toBe(100);
    });
});
