import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as flowEstimates from "./FlowEstimate";

const { describe, expect, it } = vitest;

const encode = { service: "encoders", operation: "encode" };
const generate = { service: "engines", operation: "generate" };
const stages = [encode, generate];

interface ServiceCalls {
    readonly active: number;
    readonly queued?: number;
    readonly ownCalls?: number;
}

/** One instance of each service with a limit of 4; a call takes 10 ms on encoders and 100 ms on engines. */
function createEstimate(calls: Record<string, ServiceCalls>): flowEstimates.FlowEstimate {
    const limit = 4;
    const readLoads = (service: string): flowEstimates.InstanceLoad[] => {
        const { active, queued = 0, ownCalls = 0 } = calls[service] ?? { active: 0 };
        const serviceMs = service === "engines" ? 100 : 10;
        const callsBefore = Math.max(0, queued + 1 + active - limit);
        const expectedMs = serviceMs * (callsBefore / limit + 1);
        const state = { cold: false, draining: false, models: [] };
        return [{ load: { limit, active, queued, expectedMs, ...state }, pending: 0, unanswered: ownCalls }];
    };
    const weight = (team: string): number => team === "heavy" ? 3 : 1;
    return new flowEstimates.FlowEstimate({ clock: new clocks.ManualClock(), readLoads, weight });
}

describe("FlowEstimate", () => {
    const cases: [string, Record<string, ServiceCalls>, Record<string, number>, string, number][] = [
        ["idle instances", {}, {}, "a", 110],
        [
            "a later stage saturated by calls of this team",
            { engines: { active: 4, queued: 20, ownCalls: 24 } },
            { a: 24 },
            "a",
            1_150,
        ],
        [
            "a later stage saturated by calls of another team",
            { engines: { active: 4, queued: 20, ownCalls: 24 } },
            { b: 24 },
            "a",
            110,
        ],
        ["requests of this entry that haven't reached a later stage", {}, { a: 23 }, "a", 1_100],
        ["requests of two teams", {}, { a: 12, b: 12 }, "a", 1_200],
        ["a team of higher weight", {}, { heavy: 12, b: 12 }, "heavy", 767],
        ["requests in progress at other entries", { engines: { active: 4, ownCalls: 1 } }, { a: 8 }, "a", 1_529],
    ];
    it.each(cases)("estimates the completion with %s", (_name, calls, requests, team, expectedMs) => {
        const estimate = createEstimate(calls);
        for (const [sender, count] of Object.entries(requests)) {
            for (let index = 0; index < count; index++) {
                estimate.track(sender, stages);
            }
        }
        for (let index = 0; index < 200; index++) {
            estimate.expectCompletionMs(team, stages);
        }
        expect(Math.round(estimate.expectCompletionMs(team, stages))).toBe(expectedMs);
    });

    it("doesn't extrapolate a sudden burst at this entry to all entries", () => {
        const estimate = createEstimate({ engines: { active: 4, ownCalls: 1 } });
        for (let index = 0; index < 200; index++) {
            estimate.expectCompletionMs("a", stages);
        }
        Array.from({ length: 8 }, () => estimate.track("a", stages));
        expect(Math.round(estimate.expectCompletionMs("a", stages))).toBe(527);
    });

    it("no longer counts requests that have ended or whose stages have been answered", () => {
        const estimate = createEstimate({});
        const requests = Array.from({ length: 40 }, () => estimate.track("a", stages));
        const expectedMs = [estimate.expectCompletionMs("a", stages)];
        requests.forEach(request => {
            request.markSent(0);
            request.markAnswered(0);
            request.markSent(1);
        });
        expectedMs.push(estimate.expectCompletionMs("a", stages));
        requests.forEach(request => request.end());
        expectedMs.push(estimate.expectCompletionMs("a", stages));
        expect(expectedMs.map(Math.round)).toEqual([1_950, 110, 110]);
    });

    it("reserves the time that later stages need, and divides insufficient time in proportion to the needs", () => {
        const estimate = createEstimate({});
        expect(estimate.findBudgetMs(stages, 1_000)).toBe(1_000);
        estimate.observe(encode, 50);
        estimate.observe(generate, 150);
        expect([estimate.findBudgetMs(stages, 1_000), estimate.findBudgetMs(stages, 100)]).toEqual([850, 25]);
        expect(estimate.findBudgetMs([generate], 100)).toBe(100);
    });
});
