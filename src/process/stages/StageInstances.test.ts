import * as vitest from "vitest";
import * as batching from "./StageBatching";
import * as fixtures from "./StageFixtures";
import * as stageInstances from "./StageInstances";

const [OTHER] = fixtures.INSTANCES;
const FIRST_START: batching.StageInstance = { ...fixtures.INSTANCES[1]!, startedMs: 1 };
const CALL = { service: "ledger", pieces: [], expectedMs: 100, readyCount: 0, freeBytes: 0 };

vitest.describe("a stage worker that was slow", () => {
    const cases: readonly {
        readonly name: string;
        readonly listed: batching.StageInstance;
        readonly isCandidate: boolean;
    }[] = [
        { name: "isn't a candidate soon after a call", listed: FIRST_START, isCandidate: false },
        {
            name: "isn't a candidate when its record has changed otherwise",
            listed: { ...FIRST_START, failureDomain: "x" },
            isCandidate: false,
        },
        {
            name: "is a candidate after a new start under its id, which is measured anew",
            listed: { ...FIRST_START, startedMs: 2 },
            isCandidate: true,
        },
    ];
    vitest.it.each(cases)("$name", ({ listed, isCandidate }) => {
        const instances = new stageInstances.StageInstances();
        instances.selectCandidates([OTHER!, FIRST_START], 0);
        for (let id = 0; id < 5; id++) {
            const batch = { ...CALL, id, instance: FIRST_START, startedMs: id * 1_000 };
            instances.recordStart(batch);
            instances.recordEnd(batch, true, true, (id + 1) * 1_000);
        }
        vitest.expect(instances.selectCandidates([OTHER!, listed], 5_100).includes(listed)).toBe(isCandidate);
    });

    vitest.it("keeps its calls in flight over a new start until they end", () => {
        const instances = new stageInstances.StageInstances();
        instances.selectCandidates([FIRST_START], 0);
        const batch = { ...CALL, id: 1, instance: FIRST_START, startedMs: 0 };
        instances.recordStart(batch);
        instances.selectCandidates([{ ...FIRST_START, startedMs: 2 }], 10);
        vitest.expect(instances.callsInFlight).toBe(1);
        instances.recordEnd(batch, false, false, 20);
        vitest.expect(instances.callsInFlight).toBe(0);
    });
});
