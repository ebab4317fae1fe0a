import * as vitest from "vitest";
import * as routingPorts from "../../common/RoutingPorts";
import * as stageAnswers from "./StageAnswers";

function made(...handles: string[]): routingPorts.StagePieceOutcome[] {
    return handles.map(handle => ({ handle }));
}

const late: routingPorts.StagePieceOutcome = { failure: "late" };
const connection = {};
const otherConnection = {};

vitest.describe("an answer to a stage call", () => {
    // Guards against an earlier answer that is taken for that to the next call.
    vitest.it.each([
        {
            name: "with new handles",
            earlier: [made("a"), made("b")],
            answer: made("c"),
            on: connection,
            expected: true,
        },
        {
            name: "the previous one again",
            earlier: [made("a"), made("b")],
            answer: made("b"),
            on: connection,
            expected: false,
        },
        {
            name: "an earlier one again",
            earlier: [made("a"), made("b")],
            answer: made("a"),
            on: connection,
            expected: false,
        },
        {
            name: "with one known handle",
            earlier: [made("a")],
            answer: [...made("b", "a"), late],
            on: connection,
            expected: false,
        },
        {
            name: "with a handle of another connection",
            earlier: [made("a")],
            answer: made("a"),
            on: otherConnection,
            expected: true,
        },
    ])("is accepted, $name: $expected", ({ earlier, answer, on, expected }) => {
        const answers = new stageAnswers.StageAnswers();
        earlier.forEach(outcomes => vitest.expect(answers.accept(connection, outcomes)).toBe(true));
        vitest.expect(answers.accept(on, answer)).toBe(expected);
    });

    vitest.it.each([
        { name: "with a handle", outcomes: [late, ...made("a")], expected: true },
        { name: "without one", outcomes: [late, late], expected: false },
    ])("$name can be recognized if it comes again: $expected", ({ outcomes, expected }) => {
        vitest.expect(stageAnswers.isRecognizable(outcomes)).toBe(expected);
    });
});
