/**
 * The part of the demo that shows routed calls: entries on stand-ins of the platform's store and engines.
 */
import * as fleets from "../../standins/platform/RoutedFleet";

/** Shows routed calls at work; resolves to whether all of it went as it should. */
export async function showRoutedCalls(print: (text: string) => void): Promise<boolean> {
    print("\n6. routed calls on the platform's store and engines, by two entries");
    const fleet = new fleets.RoutedFleet();
    try {
        await fleet.start();
        await fleet.addEntry();
        await fleet.addEntry();
        await fleet.waitUntil(async () => await fleet.readyStatus(0) === 200 && await fleet.readyStatus(1) === 200);
        await fleet.waitUntil(async () => (await fleet.call("/look/1", { entry: 1 })).status === 200);
        const results = [
            await showStages(fleet, print),
            await showResumption(fleet, print),
            await showKey(fleet, print),
        ];
        return results.every(Boolean);
    }
    finally {
        fleet.dispose();
    }
}

async function showStages(fleet: fleets.RoutedFleet, print: (text: string) => void): Promise<boolean> {
    const answer = await fleet.call("/staged/1", { headers: fleets.STAGED_HEADERS });
    const batches = [...fleet.enginesOf("archive"), ...fleet.enginesOf("ledger")].map(engine =>
        engine.batches.flat().length
    );
    print(`  a stream with two stages: status ${answer.status}, pieces made ${batches.join(" and ")}`);
    return answer.status === 200 && answer.isComplete;
}

async function showResumption(fleet: fleets.RoutedFleet, print: (text: string) => void): Promise<boolean> {
    const [first] = fleet.enginesOf("model");
    first!.faults = { breakAfterEvent: 3 };
    let answer = await fleet.call("/notes/1", { headers: fleets.PROMPT_HEADERS });
    while (first!.runs.every(run => !run.path.startsWith("/notes/"))) {
        answer = await fleet.call("/notes/1", { headers: fleets.PROMPT_HEADERS });
    }
    const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(found => found[1]);
    print(`  a stream whose engine breaks after event 3: events ${ids.join(" ")}, whole ${answer.isComplete}`);
    return answer.isComplete && ids.join() === "1,2,3,4,5,6";
}

async function showKey(fleet: fleets.RoutedFleet, print: (text: string) => void): Promise<boolean> {
    const before = await fleet.call("/look/1");
    fleet.publish(2, { Tenants: [{ Name: "gilders", ApiKeys: ["another"] }] });
    const isRefused = async (entry: number): Promise<boolean> =>
        (await fleet.call("/look/1", { entry })).status === 401;
    await fleet.waitUntil(async () => await isRefused(0) && await isRefused(1));
    print(`  a key that is taken away: ${before.status} before, 401 at both entries after`);
    return before.status === 200;
}
