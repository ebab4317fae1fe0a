import * as http from "node:http";
import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as pauseMonitors from "../src/process/membership/PauseMonitor";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const ENTRIES = 4;
/** Time of a stage call; a call has two stages, one after the other. */
const STAGE_MS = 250;
const CALL_INTERVAL_MS = 150;
const CALL_DEADLINE_MS = 6_000;
/** Time after which the route's calls are ended, whole or not, and a margin before it. */
const ROUTE_TIMEOUT_MS = 4_000;
const DEADLINE_MARGIN_MS = 200;
const RESTART_DELAY_MS = 300;
/** As in an entry: a late turn beyond this makes it assume that a request it reads soon after has waited for as long. */
const PAUSE_THRESHOLD_MS = 200;
/** Longest time from the end of such a turn until an entry has read what was sent soon after it. */
const PAUSE_WINDOW_MS = 250;
const ENGINES: readonly engines.EngineOptions[] = [
    ...["a", "b", "c"].flatMap(zone => [
        { id: `model-${zone}`, service: "model", failureDomain: `zone-${zone}`, events: 10, eventIntervalMs: 60 },
        { id: `archive-${zone}`, service: "archive", failureDomain: `zone-${zone}`, stageMs: STAGE_MS },
        { id: `ledger-${zone}`, service: "ledger", failureDomain: `zone-${zone}`, stageMs: STAGE_MS },
    ]),
    { id: "desk-1", service: "desk", failureDomain: "zone-a" },
];

interface CallRecord {
    readonly entry: number;
    readonly sentMs: number;
    /** Late turn of this process, which holds the entries too, just before the call was sent. */
    readonly pauseMs: number;
    end: string;
    elapsedMs: number;
}

let fleet: fleets.RoutedFleet;
let pauses: pauseMonitors.PauseMonitor;

vitest.beforeEach(async () => {
    pauses = new pauseMonitors.PauseMonitor({ clock: clocks.systemClock, thresholdMs: PAUSE_THRESHOLD_MS });
    fleet = new fleets.RoutedFleet();
    await fleet.start(ENGINES);
    for (let index = 0; index < ENTRIES; index++) {
        await fleet.addServingEntry();
    }
});

vitest.afterEach(() => {
    fleet.dispose();
    pauses.dispose();
});

/** Sends calls with stages to an entry, one after the other on open connections, until it stops. */
async function callUntilStopped(entry: number, isStopped: () => boolean, records: CallRecord[]): Promise<void> {
    const agent = new http.Agent({ keepAlive: true });
    while (!isStopped()) {
        const pauseMs = pauses.recentPauseMs(PAUSE_WINDOW_MS);
        const record: CallRecord = { entry, sentMs: clocks.systemClock.now(), pauseMs, end: "open", elapsedMs: 0 };
        records.push(record);
        void sendCall(entry, agent, `${entry}-${records.length}`).then(end => {
            record.end = end;
            record.elapsedMs = clocks.systemClock.now() - record.sentMs;
        });
        await clocks.sleep(clocks.systemClock, CALL_INTERVAL_MS);
    }
}

/** Resolves to how the answer ended: its status, `cut` if it isn't whole, or `none` if nothing was read. */
function sendCall(entry: number, agent: http.Agent, attempt: string): Promise<string> {
    const [host, port] = fleet.entries[entry]!.callerAddress.split(":");
    const headers = {
        Host: "desk.example",
        "Attempt-Id": `rolling-${attempt}`,
        "Deadline-Ms": String(CALL_DEADLINE_MS),
        Authorization: `Token ${fleets.TEAM_KEY}`,
        ...fleets.STAGED_HEADERS,
    };
    return new Promise(resolve => {
        const request = http.request({ host, port, method: "POST", path: "/staged/1", headers, agent }, response => {
            response.resume();
            response.on("close", () => resolve(response.complete ? String(response.statusCode) : "cut"));
        });
        request.on("error", error => resolve(`none ${(error as NodeJS.ErrnoException).code}`));
        request.end();
    });
}

vitest.describe("calls with stages while the entries are stopped in turn", { timeout: 90_000 }, () => {
    vitest.it.each([
        { name: "one after the other", overlap: 1 },
        { name: "two at a time", overlap: 2 },
    ])("get a whole answer, $name", async ({ overlap }) => {
        const records: CallRecord[] = [];
        const stopped = new Set<number>(); // -1 for the entries that were started later.
        const callers = Array.from(
            { length: ENTRIES },
            (_, entry) => callUntilStopped(entry, () => stopped.has(entry), records),
        );
        await clocks.sleep(clocks.systemClock, 1_000);
        for (let first = 0; first < ENTRIES; first += overlap) {
            const group = Array.from({ length: overlap }, (_, index) => first + index);
            await Promise.all(group.map(async entry => {
                await fleet.entries[entry]!.stop();
                stopped.add(entry);
            }));
            await clocks.sleep(clocks.systemClock, RESTART_DELAY_MS);
            for (let started = 0; started < overlap; started++) {
                callers.push(callUntilStopped(await fleet.addServingEntry(), () => stopped.has(-1), records));
            }
        }
        stopped.add(-1);
        await Promise.all(callers);
        await clocks.sleep(clocks.systemClock, CALL_DEADLINE_MS);
        vitest.expect(records.filter(({ end }) => end === "200").length).toBeGreaterThan(ENTRIES);
        vitest.expect(
            records.filter(({ end, elapsedMs, pauseMs }) =>
                end === "open" || (end === "cut" && elapsedMs + pauseMs < ROUTE_TIMEOUT_MS - DEADLINE_MARGIN_MS)
            ),
        ).toEqual([]);
    });
});
