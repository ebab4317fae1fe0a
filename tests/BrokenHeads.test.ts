/**
 * Guards against answers that an engine broke off in their head, and that callers get as a success with an empty or short
 * body, framed as whole.
 */
import * as vitest from "vitest";
import * as fleets from "../standins/platform/RoutedFleet";

/** Positions in the head: none of it, in and after its first line, in names, values and line ends. */
const POSITIONS = [0, 9, 13, 15, 17, 24, 40, 60, -22, -10, -5, -4, -3, -2, -1];
const calls: readonly {
    readonly name: string;
    readonly path: string;
    readonly headers: Record<string, string>;
    readonly positions?: readonly number[];
}[] = [
    { name: "a call that may be repeated", path: "/look/1", headers: {} },
    { name: "a call that may run once", path: "/book/1", headers: {} },
    { name: "a stream that may run once", path: "/once/1", headers: fleets.PROMPT_HEADERS },
    { name: "a stream that may be resumed", path: "/notes/1", headers: fleets.PROMPT_HEADERS },
    { name: "a stream with stages", path: "/drafts/1", headers: fleets.STAGED_HEADERS, positions: [17, 40, -2] },
];

let fleet: fleets.RoutedFleet;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start();
    await fleet.addServingEntry();
});

vitest.afterEach(() => fleet.dispose());

vitest.describe.each([
    { length: "with a length", hasLength: true },
    { length: "without a length", hasLength: false },
])("an answer $length that breaks off in its head", ({ hasLength }) => {
    vitest.it.each(calls)("is no success to the caller of $name", async ({ path, headers, positions = POSITIONS }) => {
        for (const position of positions) {
            fleet.engines.forEach(engine => engine.faults = { brokenHead: { bytes: position, hasLength } });
            const answer = await fleet.call(path, { headers });
            vitest.expect({ position, isSuccess: answer.status < 300 }).toEqual({ position, isSuccess: false });
        }
    });
});
