/**
 * The part of the demo that shows routed calls: two entries with stand-ins of the platform's store and engines.
 */
import * as fleets from "../../standins/platform/RoutedFleet";

/** Demonstrates routed calls; resolves to whether all of them had the expected results. */
export async function showRoutedCalls(print: (text: string) => void): Promise<boolean> {
    print("\n6. routed calls through two entries, with the platform's store and engines");
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
            await showKeyRevocation(fleet, print),
        ];
        return results.every(Boolean);
    }
    finally {
        fleet.dispose();
    }
}

async function showStages(fleet: fleets.RoutedFleet, print: (text: string) => void): Promise<boolean> {
    const answer = await fleet.call("/staged/1", { headers: fleets.STAGED_HEADERS });
    const pieceCounts = [...fleet.enginesOf("archive"), ...fleet.enginesOf("ledger")].map(engine =>
        engine.batches.flat().length
    );
    print(`  a stream with two stages: status ${answer.status}, pieces computed: ${pieceCounts.join(" and ")}`);
    return answer.status === 200 && answer.isComplete;
}

async function showResumption(fleet: fleets.RoutedFleet, print: (text: string) => void): Promise<boolean> {
    const [firstEngine] = fleet.enginesOf("model");
    firstEngine!.faults = { breakAfterEvent: 3 };
    let answer = await fleet.call("/notes/1", { headers: fleets.PROMPT_HEADERS });
    while (firstEngine!.runs.every(run => !run.path.startsWith("/notes/"))) {
        answer = await fleet.call("/notes/1", { headers: fleets.PROMPT_HEADERS });
    }
    const ids = [...answer.body.matchAll(/^id: (\d+)$/gm)].map(match => match[1]);
    print(`  a stream whose engine fails after event 3: events ${ids.join(" ")}, complete: ${answer.isComplete}`);
    return answer.isComplete && ids.join() === "1,2,3,4,5,6";
}

async function showKeyRevocation(fleet: fleets.RoutedFleet, print: (text: string) => void): Promise<boolean> {
    const answerBefore = await fleet.call("/look/1");
    fleet.publish(2, { Tenants: [{ Name: "gilders", ApiKeys: ["another"] }] });
    const isRejected = async (entry: number): Promise<boolean> =>
        (await fleet.call("/look/1", { entry })).status === 401;
    await fleet.waitUntil(async () => await isRejected(0) && await isRejected(1));
    print(`  a revoked key: status ${answerBefore.status} before, 401 at both entries afterwards`);
    return answerBefore.status === 200;
}
