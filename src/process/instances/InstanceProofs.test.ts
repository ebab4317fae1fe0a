import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as views from "../published/PublishedView";
import * as fleetFixtures from "../shares/FleetFixture";
import * as instanceProofs from "./InstanceProofs";

const SOUND_COUNT = 3;
const SECOND_MS = 1_000;

function instance(id: string, address: string, change: Partial<views.KnownInstance> = {}): views.KnownInstance {
    return {
        id,
        startedMs: 1,
        service: "desk",
        softwareVersion: "v1",
        address,
        failureDomain: "a",
        state: "ready",
        slots: 1,
        coldLeftMs: 0,
        knownSinceMs: 0,
        coldUntilMs: 0,
        ...change,
    };
}

/** A list of instances with their proofs. */
class Scenario {
    readonly clock = new clocks.ManualClock(0);
    private readonly listed = new Map<string, views.KnownInstance>();
    readonly proofs: instanceProofs.InstanceProofs;

    constructor() {
        const { listed } = this;
        this.proofs = new instanceProofs.InstanceProofs({
            clock: this.clock,
            fleet: fleetFixtures.knownFleet(["entry-1"]),
            view: {
                find: id => listed.get(id),
                get allInstances() {
                    return [...listed.values()];
                },
            },
        });
        for (let index = 0; index < SOUND_COUNT; index++) {
            this.put(instance(`sound-${index}`, `10.0.0.${index}:80`));
        }
    }

    put(changed: views.KnownInstance): void {
        this.listed.set(changed.id, { ...changed, knownSinceMs: this.clock.now() });
        this.proofs.handleViewChange();
    }

    remove(id: string): void {
        this.listed.delete(id);
        this.proofs.handleViewChange();
    }

    get(id: string): views.KnownInstance {
        return this.listed.get(id)!;
    }

    answer(id: string): void {
        this.proofs.recordAnswer(this.get(id), { effect: "ran", instance: undefined });
    }

    /** A request to `id` is answered by another instance, which may state its id. */
    misdirect(id: string, actualId?: string): void {
        this.proofs.recordAnswer(this.get(id), { effect: "other-instance", instance: actualId });
    }

    fail(id: string): void {
        this.proofs.recordFailure(this.get(id));
    }

    addRefusing(count: number): void {
        for (let index = 0; index < count; index++) {
            this.put(instance(`odd-${index}`, `10.1.0.${index}:80`));
        }
    }

    get doubtful(): string[] {
        return [...this.listed.values()].filter(one => this.proofs.isDoubtful(one)).map(one => one.id);
    }
}

const cases: readonly {
    readonly name: string;
    readonly act: (scenario: Scenario) => void;
    readonly expected: readonly string[];
}[] = [
    { name: "none as long as nothing failed", act: () => undefined, expected: [] },
    {
        name: "one that failed without an answer, while others haven't been tried",
        act: scenario => {
            scenario.addRefusing(1);
            scenario.fail("odd-0");
        },
        expected: ["odd-0"],
    },
    {
        name: "none that failed after an answer, which is paused instead",
        act: scenario => {
            scenario.answer("sound-0");
            scenario.fail("sound-0");
        },
        expected: [],
    },
    {
        name: "all that share the address of an instance that names itself",
        act: scenario => {
            [0, 1, 2].forEach(index => scenario.put(instance(`odd-${index}`, "10.0.0.0:80")));
            scenario.clock.advance(1);
            scenario.misdirect("odd-1", "sound-0");
        },
        expected: ["odd-0", "odd-1", "odd-2"],
    },
    {
        name: "no new instance at a reused address, while its predecessor is listed without an answer",
        act: scenario => {
            scenario.answer("sound-0");
            scenario.clock.advance(SECOND_MS);
            scenario.put(instance("new", "10.0.0.0:80"));
            scenario.misdirect("sound-0", "new");
        },
        expected: ["sound-0"],
    },
    {
        name: "those not tried once many failed",
        act: scenario => {
            scenario.addRefusing(6);
            scenario.answer("sound-0");
            [0, 1, 2, 3].forEach(index => scenario.fail(`odd-${index}`));
        },
        expected: ["sound-1", "sound-2", "odd-0", "odd-1", "odd-2", "odd-3", "odd-4", "odd-5"],
    },
    {
        name: "none that answered to a probe",
        act: scenario => {
            scenario.addRefusing(1);
            scenario.fail("odd-0");
            scenario.proofs.recordAnswer(scenario.get("odd-0"), { effect: "ran", instance: "odd-0" });
        },
        expected: [],
    },
    {
        name: "none whose record changed",
        act: scenario => {
            scenario.addRefusing(1);
            scenario.fail("odd-0");
            scenario.put(instance("odd-0", "10.1.0.0:80", { slots: 2 }));
        },
        expected: [],
    },
    {
        name: "none beside an owner of the address that is no longer listed",
        act: scenario => {
            scenario.put(instance("odd-0", "10.0.0.0:80"));
            scenario.clock.advance(1);
            scenario.misdirect("odd-0", "sound-0");
            scenario.remove("sound-0");
            scenario.put(instance("odd-0", "10.0.0.0:80", { slots: 2 }));
        },
        expected: [],
    },
    {
        name: "one that was answered by an instance that isn't listed",
        act: scenario => scenario.misdirect("sound-1", "unlisted"),
        expected: ["sound-1"],
    },
];

vitest.describe("doubtful instances are", () => {
    // Guards against records that name no sound instance and draw calls, and against sound instances without calls.
    vitest.it.each(cases)("$name", ({ act, expected }) => {
        const scenario = new Scenario();
        act(scenario);
        vitest.expect(scenario.doubtful).toEqual(expected);
        vitest.expect(scenario.proofs.doubtfulCount).toBe(expected.length);
    });
});

vitest.describe("probes", () => {
    // Guards against a newcomer that waits behind all odd records, and against probes without a bound.
    vitest.it("ask the newest instance first, a few at a time", () => {
        const scenario = new Scenario();
        scenario.addRefusing(60);
        scenario.answer("sound-0");
        [0, 1, 2, 3].forEach(index => scenario.fail(`odd-${index}`));
        scenario.clock.advance(1);
        scenario.put(instance("new", "10.2.0.0:80"));
        const probed = scenario.proofs.takeProbes(() => true).map(({ id }) => id);
        vitest.expect(probed[0]).toBe("new");
        vitest.expect(probed).toHaveLength(4);
    });

    vitest.it("ask no instance that may not be sent a request", () => {
        const scenario = new Scenario();
        scenario.addRefusing(6);
        [0, 1, 2, 3].forEach(index => scenario.fail(`odd-${index}`));
        vitest.expect(scenario.proofs.takeProbes(({ id }) => id === "odd-5").map(({ id }) => id)).toEqual(["odd-5"]);
    });

    vitest.it("ask many at a time while none has answered", () => {
        const scenario = new Scenario();
        scenario.addRefusing(60);
        [0, 1, 2, 3].forEach(index => scenario.fail(`odd-${index}`));
        vitest.expect(scenario.proofs.takeProbes(() => true)).toHaveLength(32);
    });

    vitest.it("come less and less often while an instance fails", () => {
        const scenario = new Scenario();
        scenario.addRefusing(1);
        scenario.fail("odd-0");
        const probedAtMs: number[] = [];
        while (scenario.clock.now() < 140 * SECOND_MS) {
            scenario.clock.advance(SECOND_MS);
            for (const { id } of scenario.proofs.takeProbes(() => true)) {
                probedAtMs.push(scenario.clock.now() / SECOND_MS);
                scenario.fail(id);
            }
        }
        vitest.expect(probedAtMs).toEqual([1, 3, 7, 15, 31, 63, 123]);
    });
});
