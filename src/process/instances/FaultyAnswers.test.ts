import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as views from "../published/PublishedView";
import * as fleetFixtures from "../shares/FleetFixture";
import * as pools from "./InstancePool";
import * as leavingInstances from "./LeavingInstances";

/** A pool whose store lists instances with these ids, and the lines that it logs. */
function createScenario(ids: readonly string[]) {
    const clock = new clocks.ManualClock();
    const decode = (item: routing.PublishedItem): routing.PublishedRecord => {
        const id = item.key;
        const place = { service: "desk", softwareVersion: "v1", address: `10.0.0.1:${id}`, failureDomain: "a" };
        return { kind: "instance", instance: { id, startedMs: 1, ...place, state: "ready", slots: 8, coldLeftMs: 0 } };
    };
    const view = new views.PublishedView({ clock, log: logs.silentLog, decode });
    const lines: unknown[] = [];
    const pool = new pools.InstancePool({
        clock,
        log: logs.createLog("entry-1", "info", line => lines.push(JSON.parse(line))),
        random: () => 0,
        view,
        leaving: new leavingInstances.LeavingInstances(clock),
        failureDomain: "a",
        fleet: fleetFixtures.knownFleet(["entry-1"]),
        coldRateLimit: () => ({ factor: 1, extra: 0 }),
    });
    const items = ids.map(key => ({ key, era: 0, revision: 1, content: new Uint8Array() }));
    view.apply({ items, era: 0, revision: 1, isWhole: true }, "store");
    const giveUp = (id: string): void => [1, 2, 3].forEach(() => pool.faults.record(view.find(id)!, "framing", ["a"]));
    const fail = (id: string): void => pool.trafficOf(view.find(id)!).begin(0, []).end("unreachable");
    const choose = (tried: readonly string[]): string | undefined =>
        pool.choose({
            service: "desk",
            promptTokens: 0,
            promptParts: [],
            inputBytesByDomain: new Map(),
            triedIncarnations: new Set(tried.map(id => `${id}@1`)),
            softwareVersion: undefined,
        })?.instance.id;
    return { pool, view, lines, giveUp, fail, choose };
}

vitest.describe("an instance that is given up for faulty answers", () => {
    const cases: readonly {
        readonly name: string;
        readonly ids: readonly string[];
        readonly givenUp: readonly string[];
        readonly failed?: readonly string[];
        readonly tried?: readonly string[];
        readonly chosen: string | undefined;
    }[] = [
        { name: "isn't chosen beside another one", ids: ["x", "faulty"], givenUp: ["faulty"], chosen: "x" },
        {
            name: "isn't chosen beside another one that is paused",
            ids: ["x", "faulty"],
            givenUp: ["faulty"],
            failed: ["x"],
            chosen: "x",
        },
        { name: "is chosen if it is the only one", ids: ["faulty"], givenUp: ["faulty"], chosen: "faulty" },
        {
            name: "isn't chosen for a retry, though it is the only one left",
            ids: ["x", "faulty"],
            givenUp: ["x", "faulty"],
            tried: ["x"],
            chosen: undefined,
        },
    ];
    vitest.it.each(cases)("$name", ({ ids, givenUp, failed = [], tried = [], chosen }) => {
        const { giveUp, fail, choose } = createScenario(ids);
        failed.forEach(fail);
        givenUp.forEach(giveUp);
        vitest.expect(choose(tried)).toBe(chosen);
    });

    vitest.it("is counted and logged, and chosen again after a sound answer", () => {
        const { pool, view, lines, giveUp } = createScenario(["x", "faulty"]);
        giveUp("faulty");
        const line = { decision: "faulty-answer", attempts: ["a"], instance: "faulty", service: "desk" };
        vitest.expect(lines).toMatchObject([
            { ...line, fault: "framing", isGivenUp: false },
            { ...line, fault: "framing", isGivenUp: false },
            { ...line, fault: "framing", isGivenUp: true },
        ]);
        vitest.expect([...pool.faults.counts]).toEqual([["faulty", 3]]);
        pool.trafficOf(view.find("faulty")!).begin(0, []).end("ok");
        vitest.expect(pool.usableInstances("desk")).toHaveLength(2);
    });
});
