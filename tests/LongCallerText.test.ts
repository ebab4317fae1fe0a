import * as vitest from "vitest";
import * as fleets from "../standins/platform/RoutedFleet";

const STREAM_BODY = [1, 2, 3, 4, 5, 6].map(id => `id: ${id}\ndata: part ${id}\n\n`).join("");
const LONG_TEXT = "a".repeat(500);
const { PROMPT_HEADERS: PROMPT, STAGED_HEADERS: STAGED } = fleets;

let fleet: fleets.RoutedFleet;

/** Whether each of the two entries has a connection to the other one. */
async function areConnected(): Promise<boolean> {
    const statuses = await Promise.all([fleet.status(0), fleet.status(1)]);
    return statuses.every(status => (status["entries"] as { connected: boolean }[]).some(entry => entry.connected));
}

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start();
    await fleet.addEntry();
    await fleet.addEntry();
    await fleet.waitUntil(async () => await fleet.readyStatus(1) === 200);
    await fleet.waitUntil(areConnected);
    await fleet.waitUntil(async () => (await fleet.call("/look/ready", { entry: 1 })).status === 200);
});

vitest.afterEach(() => fleet.dispose());

// Guards against messages that the other entry refuses: it closes the connection, and other calls' orders are lost.
vitest.describe("a call with a long text of its caller", () => {
    vitest.it.each([
        { name: "as its attempt, with stages", path: "/staged/1", headers: { ...STAGED, "Attempt-Id": LONG_TEXT } },
        { name: "as its attempt, resumable", path: "/notes/1", headers: { ...PROMPT, "Attempt-Id": LONG_TEXT } },
        { name: "as its piece key", path: "/staged/1", headers: { ...STAGED, "Piece-Key": LONG_TEXT } },
    ])("$name, is served and leaves the entries connected", async ({ path, headers }) => {
        let isPending = true;
        const call = fleet.call(path, { entry: 1, headers }).finally(() => isPending = false);
        const connected: boolean[] = [];
        while (isPending) {
            connected.push(await areConnected());
        }
        vitest.expect(connected).not.toContain(false);
        const answer = await call;
        vitest.expect(answer).toMatchObject({ status: 200, body: STREAM_BODY, isComplete: true });
    });
});
