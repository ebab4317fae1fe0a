import * as vitest from "vitest";
import * as routing from "../../common/Routing";
import * as calls from "./RoutedCall";
import * as stageGoals from "./StageGoal";

const GOAL_MS = 1_500;
const ARRIVED_MS = 1_000;

/** A call that arrived at 1,000, with its hard deadline at 6,000. */
function createCall(firstEventMs: number | undefined): calls.RoutedCall {
    return {
        route: { goalMs: GOAL_MS } as routing.Route,
        arrivedMs: ARRIVED_MS,
        softDeadlineAtMs: ARRIVED_MS + GOAL_MS,
        hardDeadlineAtMs: 6_000,
        progress: { mayHaveRun: true, firstEventMs },
    } as calls.RoutedCall;
}

vitest.describe("the soft deadline of stages", () => {
    vitest.it.each([
        { name: "is that of the call before its first event", firstEventMs: undefined, nowMs: 1_000, atMs: 2_500 },
        {
            name: "stays when a call without an event is sent again",
            firstEventMs: undefined,
            nowMs: 3_000,
            atMs: 2_500,
        },
        {
            name: "counts from the interruption of a stream that has begun",
            firstEventMs: 900,
            nowMs: 4_000,
            atMs: 5_500,
        },
        { name: "isn't later than the hard deadline", firstEventMs: 900, nowMs: 5_000, atMs: 6_000 },
    ])("$name", ({ firstEventMs, nowMs, atMs }) => {
        vitest.expect(stageGoals.stageSoftDeadlineAtMs(createCall(firstEventMs), nowMs)).toBe(atMs);
    });
});
