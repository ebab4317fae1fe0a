import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as stores from "../standins/platform/PlatformStoreStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

/** Time in which both entries learn of what the store tells. */
const SETTLE_MS = 900;
/** Time after which an instance that a restored backup lacks is gone. */
const EXPIRY_MS = 3_000;
const NEW_KEY = { Authorization: "Token new" };

let fleet: fleets.RoutedFleet;
let cutOffStore: stores.PlatformStoreStandIn;

/** Starts two entries on the store and a third that can't reach it. */
vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start();
    cutOffStore = new stores.PlatformStoreStandIn();
    await cutOffStore.listen();
    cutOffStore.faults = { status: 503 };
    await fleet.addEntry();
    await fleet.addEntry();
    await fleet.addEntry(cutOffStore.address);
    for (const entry of [0, 1, 2]) {
        await fleet.waitUntil(async () => (await fleet.call("/look/ready", { entry })).status === 200);
    }
});

vitest.afterEach(() => {
    fleet.dispose();
    cutOffStore.dispose();
});

function sleep(ms: number): Promise<void> {
    return clocks.sleep(clocks.systemClock, ms);
}

/** Writes records that matter to nobody, so that lost revisions aren't reached again soon. */
function writeOthers(count: number): void {
    for (let index = 0; index < count; index++) {
        fleet.store.put(`other/${index}`, {});
    }
}

/** Makes the store lose writes; the result writes them again. */
async function lose(write: () => void): Promise<() => void> {
    const backup = fleet.store.backUp();
    writeOthers(20);
    write();
    await sleep(SETTLE_MS);
    const lostWrites = fleet.store.restore(backup).filter(lost => !lost.key.startsWith("other/"));
    return () => fleet.store.writeAgain(lostWrites, backup);
}

/** Instances of the service `desk` that get calls from each of the entries. */
async function findServing(): Promise<string[][]> {
    const found: string[][] = [];
    for (const entry of fleet.entries.keys()) {
        fleet.enginesOf("desk").forEach(engine => engine.runs.splice(0));
        await Promise.all(Array.from({ length: 16 }, () => fleet.call("/look/1", { entry })));
        found.push(fleet.enginesOf("desk").filter(engine => engine.runs.length > 0).map(engine => engine.options.id));
    }
    return found;
}

async function findStatuses(headers: Record<string, string>): Promise<number[]> {
    const answers = await Promise.all(
        [...fleet.entries.keys()].map(entry => fleet.call("/look/1", { entry, headers })),
    );
    return answers.map(answer => answer.status);
}

function onAll<T>(value: T): T[] {
    return [value, value, value];
}

vitest.describe("a store that is restored from a backup", () => {
    vitest.it("doesn't bring back a revoked key, and the next configuration is in force everywhere", async () => {
        const writeAgain = await lose(() => fleet.publish(2, { Tenants: [{ Name: "gilders", ApiKeys: ["new"] }] }));
        await sleep(SETTLE_MS);
        vitest.expect(await findStatuses({})).toEqual(onAll(401));
        vitest.expect(await findStatuses(NEW_KEY)).toEqual(onAll(200));
        writeAgain();
        await sleep(SETTLE_MS);
        vitest.expect(await findStatuses({})).toEqual(onAll(401));
        fleet.publish(3, { Tenants: [{ Name: "gilders", ApiKeys: ["other"] }] });
        await sleep(SETTLE_MS);
        vitest.expect(await findStatuses(NEW_KEY)).toEqual(onAll(401));
    });

    const instanceCases: readonly {
        readonly name: string;
        readonly before?: () => void;
        readonly lost: () => void;
        readonly after: readonly string[];
        readonly later: readonly string[];
        readonly rewritten: readonly string[];
    }[] = [
        {
            name: "keeps a registered instance for a while, and for good once it has written again",
            before: () => fleet.store.delete("servers/desk-2"),
            lost: () => fleet.store.put("servers/desk-2", fleet.enginesOf("desk")[1]!.createStoreRecord()),
            after: ["desk-1", "desk-2"],
            later: ["desk-1"],
            rewritten: ["desk-1", "desk-2"],
        },
        {
            name: "doesn't bring back an instance that drains",
            lost: () => fleet.store.put("servers/desk-2", fleet.enginesOf("desk")[1]!.createStoreRecord("draining")),
            after: ["desk-1"],
            later: ["desk-1"],
            rewritten: ["desk-1"],
        },
        {
            name: "doesn't bring back an instance that was removed",
            lost: () => fleet.store.delete("servers/desk-2"),
            after: ["desk-1"],
            later: ["desk-1"],
            rewritten: ["desk-1"],
        },
        {
            name: "keeps a failure domain out of service",
            lost: () => fleet.store.put("op/evacuate/zone-b", {}),
            after: ["desk-1"],
            later: ["desk-1"],
            rewritten: ["desk-1"],
        },
        {
            name: "keeps a failure domain in service",
            before: () => fleet.store.put("op/evacuate/zone-b", {}),
            lost: () => fleet.store.delete("op/evacuate/zone-b"),
            after: ["desk-1", "desk-2"],
            later: ["desk-1", "desk-2"],
            rewritten: ["desk-1", "desk-2"],
        },
    ];
    vitest.it.each(instanceCases)("$name", async ({ before, lost, after, later, rewritten }) => {
        before?.();
        await sleep(before === undefined ? 0 : EXPIRY_MS);
        const writeAgain = await lose(lost);
        await sleep(SETTLE_MS);
        vitest.expect(await findServing()).toEqual(onAll(after));
        await sleep(EXPIRY_MS);
        vitest.expect(await findServing()).toEqual(onAll(later));
        writeAgain();
        await sleep(EXPIRY_MS);
        vitest.expect(await findServing()).toEqual(onAll(rewritten));
    });

    vitest.it("is followed when it does so twice, and its revisions pass those that were lost", async () => {
        await lose(() => fleet.publish(2));
        await lose(() => fleet.store.put("servers/desk-2", fleet.enginesOf("desk")[1]!.createStoreRecord("draining")));
        writeOthers(60);
        fleet.store.put("op/evacuate/zone-a", {});
        fleet.publish(3, { Tenants: [{ Name: "gilders", ApiKeys: ["new"] }] });
        await sleep(EXPIRY_MS);
        vitest.expect(await findStatuses({})).toEqual(onAll(401));
        vitest.expect(await findStatuses(NEW_KEY)).toEqual(onAll(503));
    });
});
