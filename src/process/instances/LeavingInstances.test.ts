import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as routingPorts from "../../common/RoutingPorts";
import * as leavingInstances from "./LeavingInstances";

const HOUR_MS = 3_600_000;
const instance: leavingInstances.Incarnation = { id: "i-1", startedMs: 7 };

vitest.describe("an answer to a call that was sent to an instance", () => {
    const plainAnswer: routingPorts.UpstreamAnswerMetadata = {
        effect: "ran",
        attempt: "a",
        isInputLost: false,
        isSigned: true,
        load: undefined,
        isLeaving: true,
        instance: undefined,
        holdMs: undefined,
        limitPerSecond: undefined,
    };
    const cases: readonly {
        readonly name: string;
        readonly answer: Partial<routingPorts.UpstreamAnswerMetadata>;
        readonly isSign: boolean;
    }[] = [
        { name: "a success with the sign", answer: {}, isSign: true },
        { name: "a success without it", answer: { isLeaving: false }, isSign: false },
        { name: "a rejection", answer: { effect: "not-run", isSigned: false }, isSign: true },
        { name: "a rejection because of lost inputs", answer: { effect: "not-run", isInputLost: true }, isSign: true },
        { name: "an answer that names the instance", answer: { instance: "i-1" }, isSign: true },
        { name: "an answer that names another instance", answer: { instance: "i-2" }, isSign: false },
        {
            name: "another instance's statement that it isn't the one meant",
            answer: { effect: "other-instance", instance: "i-2" },
            isSign: false,
        },
        { name: "the same without a name", answer: { effect: "other-instance" }, isSign: false },
        {
            name: "a refusal for another reason, which names the instance",
            answer: { effect: "other-instance", instance: "i-1" },
            isSign: true,
        },
    ];
    vitest.it.each(cases)("counts ($isSign) as its sign of leaving: $name", ({ answer, isSign }) => {
        vitest.expect(leavingInstances.saysLeaving(instance, { ...plainAnswer, ...answer })).toBe(isSign);
    });
});

/** A sign about i-1, started at 7, unless overridden. */
type Step = Partial<leavingInstances.LeavingSign> & { readonly afterMs?: number };

vitest.describe("an incarnation", () => {
    const cases: readonly {
        readonly name: string;
        readonly steps: readonly Step[];
        readonly waitMs?: number;
        readonly incarnation?: Partial<leavingInstances.Incarnation>;
        readonly isLeaving: boolean;
    }[] = [
        { name: "without a sign", steps: [], isLeaving: false },
        { name: "at once after its sign", steps: [{}], isLeaving: true },
        { name: "minutes after its sign", steps: [{}], waitMs: 9 * 60_000, isLeaving: true },
        { name: "an hour after its sign", steps: [{}], waitMs: HOUR_MS, isLeaving: false },
        { name: "after a peer's sign of some age", steps: [{ ageMs: 5_000 }], isLeaving: true },
        { name: "after a peer's sign that is too old", steps: [{ ageMs: HOUR_MS }], isLeaving: false },
        {
            name: "whose sign a peer repeats later than its lifetime",
            steps: [{}, { afterMs: HOUR_MS, ageMs: HOUR_MS }],
            isLeaving: false,
        },
        { name: "that says so again after its mark has ended", steps: [{}, { afterMs: HOUR_MS }], isLeaving: true },
        { name: "started later, with the same id", steps: [{}], incarnation: { startedMs: 8 }, isLeaving: false },
        { name: "started earlier, with the same id", steps: [{}], incarnation: { startedMs: 6 }, isLeaving: false },
        {
            name: "with another id, such as the next at the address",
            steps: [{}],
            incarnation: { id: "i-2" },
            isLeaving: false,
        },
        {
            name: "that isn't listed yet, of which a peer was told",
            steps: [{ instance: "i-3" }],
            incarnation: { id: "i-3" },
            isLeaving: true,
        },
    ];
    vitest.it.each(cases)("$name is leaving: $isLeaving", ({ steps, waitMs = 0, incarnation, isLeaving }) => {
        const clock = new clocks.ManualClock();
        const leaving = new leavingInstances.LeavingInstances(clock);
        for (const { afterMs = 0, ...sign } of steps) {
            clock.skip(afterMs);
            leaving.record({ instance: "i-1", startedMs: 7, ageMs: 0, ...sign });
        }
        clock.skip(waitMs);
        vitest.expect(leaving.isLeaving({ ...instance, ...incarnation })).toBe(isLeaving);
    });

    const timeCases: readonly {
        readonly name: string;
        readonly steps: readonly Step[];
        readonly waitMs: number;
        readonly isLastResort: boolean;
        readonly areResultsUsable: boolean;
    }[] = [
        { name: "at once", steps: [{}], waitMs: 0, isLastResort: true, areResultsUsable: true },
        {
            name: "within half of the shortest bound",
            steps: [{}],
            waitMs: 900,
            isLastResort: true,
            areResultsUsable: true,
        },
        { name: "after half of it", steps: [{}], waitMs: 1_100, isLastResort: false, areResultsUsable: true },
        {
            name: "when results are read later than that",
            steps: [{}],
            waitMs: 1_450,
            isLastResort: false,
            areResultsUsable: false,
        },
        {
            name: "after a peer's sign, from its age on",
            steps: [{ ageMs: 1_600 }],
            waitMs: 0,
            isLastResort: false,
            areResultsUsable: false,
        },
        {
            name: "after a later sign of the same",
            steps: [{}, { afterMs: 1_600 }],
            waitMs: 0,
            isLastResort: false,
            areResultsUsable: false,
        },
        {
            name: "after an older sign of the same",
            steps: [{}, { ageMs: 1_600 }],
            waitMs: 0,
            isLastResort: false,
            areResultsUsable: false,
        },
        { name: "without a sign", steps: [], waitMs: 0, isLastResort: false, areResultsUsable: true },
    ];
    vitest.it.each(timeCases)("$name: last resort $isLastResort, results usable $areResultsUsable", timeCase => {
        const clock = new clocks.ManualClock();
        const leaving = new leavingInstances.LeavingInstances(clock);
        for (const { afterMs = 0, ...sign } of timeCase.steps) {
            clock.skip(afterMs);
            leaving.record({ instance: "i-1", startedMs: 7, ageMs: 0, ...sign });
        }
        clock.skip(timeCase.waitMs);
        vitest.expect(leaving.isLastResort(instance)).toBe(timeCase.isLastResort);
        vitest.expect(leaving.areResultsUsable(instance, 100)).toBe(timeCase.areResultsUsable);
    });
});

vitest.describe("the signs for other entries", () => {
    vitest.it("state their age, the newest first, and only once that they are new", () => {
        const clock = new clocks.ManualClock();
        const leaving = new leavingInstances.LeavingInstances(clock);
        vitest.expect(leaving.record({ instance: "a", startedMs: 1, ageMs: 4_000 })).toBe(true);
        clock.skip(10);
        vitest.expect(leaving.record({ instance: "b", startedMs: 1, ageMs: 0 })).toBe(true);
        vitest.expect(leaving.record({ instance: "a", startedMs: 1, ageMs: 0 })).toBe(false);
        clock.skip(90);
        vitest.expect(leaving.signs()).toEqual([
            { instance: "b", startedMs: 1, ageMs: 90 },
            { instance: "a", startedMs: 1, ageMs: 4_100 },
        ]);
        vitest.expect(leaving.signs(90).map(sign => sign.instance)).toEqual(["b"]);
        clock.skip(HOUR_MS);
        vitest.expect(leaving.signs()).toEqual([]);
    });

    vitest.it("are bounded: the oldest are dropped", () => {
        const leaving = new leavingInstances.LeavingInstances(new clocks.ManualClock());
        for (let index = 0; index < 20_000; index++) {
            leaving.record({ instance: `i-${index}`, startedMs: 1, ageMs: 0 });
        }
        vitest.expect(leaving.signs()).toHaveLength(10_000);
        vitest.expect(leaving.isLeaving({ id: "i-19999", startedMs: 1 })).toBe(true);
        vitest.expect(leaving.isLeaving({ id: "i-0", startedMs: 1 })).toBe(false);
    });
});
