import * as vitest from "vitest";
import * as fleets from "../standins/platform/RoutedFleet";

const BREAK_AFTER_EVENT = 3;
const SILENT_AFTER_EVENT = 3;
const SILENCE_MS = 30_000;
const DEADLINE_MS = 4_000;

/** Event ids from which the order of the events can't be read. */
const cases: readonly { readonly name: string; readonly eventIdOf: (event: number) => string | undefined }[] = [
    { name: "no ids", eventIdOf: () => undefined },
    { name: "ids that aren't numbers", eventIdOf: event => `part-${event}` },
    { name: "ids that are too long", eventIdOf: event => `${event}`.padStart(2_000, "1") },
    { name: "an id only at first", eventIdOf: event => event === 1 ? "1" : undefined },
];

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start();
    await fleet.addServingEntry();
});

vitest.afterEach(() => fleet.dispose());

/** The numbers of the events that a caller got. */
function readEvents(answer: fleets.Answer): number[] {
    return [...answer.body.matchAll(/^data: part (\d+)$/gm)].map(match => Number(match[1]));
}

/** Calls until the first model engine runs a call, and returns the answer to that call. */
async function callFirstModel(): Promise<fleets.Answer> {
    const headers = { ...fleets.PROMPT_HEADERS, "Deadline-Ms": String(DEADLINE_MS) };
    for (;;) {
        const answer = await fleet.call("/notes/1", { headers });
        if (fleet.enginesOf("model")[0]!.runs.length > 0) {
            return answer;
        }
    }
}

vitest.describe("a stream that may be resumed, but has", () => {
    // Guards against streams that begin anew in the middle of their answer, and end as complete.
    vitest.it.each(cases)("$name, ends as incomplete when its instance breaks it off", async ({ eventIdOf }) => {
        fleet.changeEngines("model", { eventIdOf });
        fleet.enginesOf("model")[0]!.faults = { breakAfterEvent: BREAK_AFTER_EVENT };
        const answer = await callFirstModel();
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: false });
        vitest.expect(readEvents(answer)).toEqual([1, 2, 3]);
    });

    vitest.it.each(cases)("$name, stays at an instance that is silent for long", async ({ eventIdOf }) => {
        fleet.changeEngines("model", { eventIdOf });
        const pause = { afterEvent: SILENT_AFTER_EVENT, ms: SILENCE_MS };
        fleet.enginesOf("model")[0]!.faults = { pause };
        const answer = await callFirstModel();
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: false });
        vitest.expect(readEvents(answer)).toEqual([1, 2, 3]);
    });

    // Guards against a caller that gets events once more which it has already.
    vitest.it("ids that aren't numbers, goes on after the one that its caller states", async () => {
        const eventIdOf = (event: number): string => `part-${event}`;
        fleet.changeEngines("model", { eventIdOf });
        const headers = { ...fleets.PROMPT_HEADERS, "Last-Event-Id": eventIdOf(BREAK_AFTER_EVENT) };
        const answer = await fleet.call("/notes/1", { headers });
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: true });
        vitest.expect(readEvents(answer)).toEqual([4, 5, 6]);
    });

    vitest.it.each(cases)("$name, is sent to another instance that answers before its first event", async testCase => {
        fleet.changeEngines("model", { eventIdOf: testCase.eventIdOf });
        fleet.enginesOf("model")[0]!.faults = { breakAfterEvent: 0 };
        const answer = await callFirstModel();
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: true });
        vitest.expect(readEvents(answer)).toEqual([1, 2, 3, 4, 5, 6]);
    });
});
