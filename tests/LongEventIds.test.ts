import * as vitest from "vitest";
import * as fleets from "../standins/platform/RoutedFleet";

const EVENTS = [1, 2, 3, 4, 5, 6];
const BREAK_AFTER_EVENT = 3;
/** Ids of 16 digits, those that a number doesn't hold exactly, and those beyond 64 bits. */
const cases = ["1000000000000000", "9007199254740992", "18446744073709551616", `1${"0".repeat(40)}`].map(base => ({
    base,
    eventIdOf: (event: number): string => String(BigInt(base) + BigInt(event)),
}));

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start();
    await fleet.addServingEntry();
});

vitest.afterEach(() => fleet.dispose());

function encodeEvents(events: readonly number[], eventIdOf: (event: number) => string): string {
    return events.map(event => `id: ${eventIdOf(event)}\ndata: part ${event}\n\n`).join("");
}

vitest.describe("a stream whose events have long ids", () => {
    // Guards against streams that begin anew in the middle of their answer, since their ids counted as none.
    vitest.it.each(cases)("above $base has each event once when its instance breaks it off", async ({ eventIdOf }) => {
        fleet.changeEngines("model", { eventIdOf });
        const [first, second] = fleet.enginesOf("model");
        first!.faults = { breakAfterEvent: BREAK_AFTER_EVENT };
        while (first!.runs.length === 0) {
            const answer = await fleet.call("/notes/1", { headers: fleets.PROMPT_HEADERS });
            vitest.expect(answer).toMatchObject({ status: 200, isComplete: true });
            vitest.expect(answer.body).toBe(encodeEvents(EVENTS, eventIdOf));
        }
        vitest.expect(second!.runs.at(-1)!.headers["last-event-id"]).toBe(eventIdOf(BREAK_AFTER_EVENT));
    });

    // Guards against a caller that gets events once more which it has already.
    vitest.it.each(cases)("above $base goes on after the one that its caller states", async ({ eventIdOf }) => {
        fleet.changeEngines("model", { eventIdOf });
        const headers = { ...fleets.PROMPT_HEADERS, "Last-Event-Id": eventIdOf(BREAK_AFTER_EVENT) };
        const answer = await fleet.call("/notes/1", { headers });
        vitest.expect(answer).toMatchObject({ status: 200, isComplete: true });
        vitest.expect(answer.body).toBe(encodeEvents(EVENTS.slice(BREAK_AFTER_EVENT), eventIdOf));
    });
});
