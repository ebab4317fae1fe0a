import * as vitest from "vitest";
import * as fixtures from "./SoakFixtures";
import * as histories from "./SoakHistory";
import * as shares from "./SoakShares";

const BEGUN = fixtures.EVENT_TEXTS[0]!.replace("part 1", "part 1 of v1");
const SECOND = fixtures.EVENT_TEXTS[1]!.replace("part 2", "part 2 of v1");
const SENT_MS = 100_000;

/** A stream that begins at one entry, breaks, and is resumed at another one with this answer. */
function addStream(history: histories.SoakHistory, attempt: string, resumed: Partial<histories.SoakCall>): void {
    const common = { route: "notes", sentMs: SENT_MS, endedMs: SENT_MS + 100, isWhole: false };
    history.calls.push(
        fixtures.createCall({ ...common, attempt, body: BEGUN }),
        fixtures.createCall({
            ...common,
            attempt: `${attempt}-2`,
            entry: 1,
            resumes: { firstAttempt: attempt, lastEventId: 1 },
            ...resumed,
        }),
    );
}

function createHistory(engineCount: number): histories.SoakHistory {
    const history = new histories.SoakHistory();
    for (let index = 0; index < engineCount; index++) {
        const engine = { id: `model-${index}`, service: "model", softwareVersion: "v1" };
        history.engines.push({ ...engine, fromMs: 0, leavesAtMs: Infinity });
    }
    return history;
}

const cases: readonly {
    readonly name: string;
    readonly engines?: number;
    readonly faults?: readonly histories.SoakFault[];
    readonly status?: number;
    readonly expected: Partial<shares.StreamShares>;
}[] = [
    { name: "one that goes on", expected: { newStreams: 1, begun: 1, resumedStreams: 1, wentOn: 1 } },
    { name: "one that is rejected", status: 503, expected: { newStreams: 1, begun: 1, resumedStreams: 1, wentOn: 0 } },
    { name: "none while one engine of its version serves", engines: 1, expected: { resumedStreams: 0 } },
    {
        name: "none while one of two engines has a fault",
        faults: [{ kind: "hang", engine: "model-0", fromMs: SENT_MS - 100, toMs: SENT_MS }],
        expected: { resumedStreams: 0 },
    },
    {
        name: "none at an entry that was restarted",
        faults: [{ kind: "kill", entry: 1, fromMs: SENT_MS - 2_000, toMs: SENT_MS - 1_000 }],
        expected: { newStreams: 1, resumedStreams: 0 },
    },
];

vitest.describe("the counted streams", () => {
    vitest.it.each(cases)("are $name", ({ engines = 2, faults = [], status = 200, expected }) => {
        const history = createHistory(engines);
        history.faults.push(...faults);
        addStream(history, "a", { status, body: status === 200 ? SECOND : "" });
        vitest.expect(shares.countStreams(history)).toMatchObject(expected);
    });
});

vitest.it.each([
    { resumedStreams: 12, wentOn: 5, begun: 100, isViolated: true },
    { resumedStreams: 12, wentOn: 6, begun: 100, isViolated: false },
    { resumedStreams: 12, wentOn: 5, begun: 80, isViolated: false },
    { resumedStreams: 11, wentOn: 0, begun: 100, isViolated: false },
])("$wentOn of $resumedStreams that go on, while $begun of 100 begin: $isViolated", ({ isViolated, ...counts }) => {
    const violation = shares.findShareViolation({ newStreams: 100, ...counts });
    vitest.expect(violation !== undefined).toBe(isViolated);
});
