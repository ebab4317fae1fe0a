import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as crashEvidence from "./CrashEvidence";

/** An end, or an answer: its time, and the parts of the prompts. */
type Observation =
    | {
        readonly atMs: number;
        readonly crash: string;
        readonly parts: readonly string[];
        readonly requests: ReadonlyMap<string, number>;
    }
    | { readonly atMs: number; readonly answered: readonly string[] };

function crash(atMs: number, name: string, ...parts: string[]): Observation {
    return { atMs, crash: name, parts, requests: new Map() };
}

/** An end with whole requests, each with the time at which it was sent there. */
function endWith(
    atMs: number,
    name: string,
    sentAtMs: Readonly<Record<string, number>>,
    ...parts: string[]
): Observation {
    return { atMs, crash: name, parts, requests: new Map(Object.entries(sentAtMs)) };
}

function answer(atMs: number, ...answered: string[]): Observation {
    return { atMs, answered };
}

/** Applies observations in their order and returns the suspected groups at `nowMs`. */
function findSuspected(observations: readonly Observation[], nowMs: number): string[] {
    const clock = new clocks.ManualClock(0);
    const evidence = new crashEvidence.CrashEvidence(clock);
    for (const observation of observations) {
        clock.advance(Math.max(0, observation.atMs - clock.now()));
        if ("crash" in observation) {
            const { atMs, crash: instance, parts, requests } = observation;
            evidence.recordCrash({ instance, startedMs: 1, atMs, parts: new Set(parts), requests, attempt: "a" });
        }
        else {
            evidence.recordAnswer(observation.answered, observation.atMs);
        }
    }
    clock.advance(Math.max(0, nowMs - clock.now()));
    return evidence.findSuspected().map(({ parts }) => [...parts].sort().join("+"));
}

vitest.describe("the parts that are suspected", () => {
    const cases: readonly {
        readonly name: string;
        readonly observations: readonly Observation[];
        readonly nowMs?: number;
        readonly suspected: readonly string[];
    }[] = [
        {
            name: "none after two ends",
            observations: [crash(1_000, "i1", "x"), crash(2_000, "i2", "x")],
            suspected: [],
        },
        {
            name: "the part that all ends have in common",
            observations: [crash(1_000, "i1", "a", "x"), crash(2_000, "i2", "b", "x"), crash(3_000, "i3", "c", "x")],
            suspected: ["x"],
        },
        {
            name: "not a popular one that is answered in between",
            observations: [
                crash(1_000, "i1", "a", "x"),
                answer(1_500, "a"),
                crash(2_000, "i2", "a", "x"),
                answer(2_500, "a"),
                crash(3_000, "i3", "a", "x"),
                answer(3_500, "a"),
            ],
            suspected: ["x"],
        },
        {
            name: "only together with parts that always came with it",
            observations: [crash(1_000, "i1", "a", "x"), crash(2_000, "i2", "a", "x"), crash(3_000, "i3", "a", "x")],
            suspected: ["a+x"],
        },
        {
            name: "not a part whose ends another one explains",
            observations: [
                crash(1_000, "i1", "a", "x"),
                crash(2_000, "i2", "a", "x"),
                crash(3_000, "i3", "a", "x"),
                crash(4_000, "i4", "x"),
            ],
            suspected: ["x"],
        },
        {
            name: "two that cause ends by themselves",
            observations: [1, 2, 3, 4, 5, 6].map(n => crash(n * 1_000, `i${n}`, n % 2 === 0 ? "x" : "y", `own-${n}`)),
            suspected: ["y", "x"],
        },
        {
            name: "none for instances that end together",
            observations: [
                crash(1_000, "i1", "a"),
                crash(1_050, "i2", "a"),
                crash(1_100, "i3", "a"),
                crash(1_200, "i4", "a"),
            ],
            suspected: [],
        },
        {
            name: "none for one end that is told again and again",
            observations: [
                crash(1_000, "i1", "x"),
                crash(1_500, "i1", "x"),
                crash(2_000, "i1", "x"),
                crash(2_500, "i1", "x"),
            ],
            suspected: [],
        },
        {
            name: "none once a prompt with the part is answered",
            observations: [1, 2, 3].map(n => crash(n * 1_000, `i${n}`, "x")).concat([answer(4_000, "x")]),
            suspected: [],
        },
        {
            name: "again after further ends",
            observations: [answer(500, "x"), ...[2, 3, 4].map(n => crash(n * 1_000, `i${n}`, "x"))],
            suspected: ["x"],
        },
        {
            name: "forgotten when no such prompt comes",
            observations: [1, 2, 3].map(n => crash(n * 1_000, `i${n}`, "x")),
            nowMs: 130_000,
            suspected: [],
        },
        {
            name: "a request that is sent to the next instance as soon as the last has ended",
            observations: [
                endWith(1_000, "i1", { r: 970, s1: 900 }),
                endWith(1_050, "i2", { r: 1_005, s2: 900 }),
                endWith(1_100, "i3", { r: 1_060, s3: 900 }),
            ],
            suspected: ["r"],
        },
        {
            name: "not a request whose copies were at instances that ended for a common reason",
            observations: [
                endWith(1_000, "i1", { r: 900 }),
                endWith(1_050, "i2", { r: 900 }),
                endWith(1_100, "i3", { r: 900 }),
            ],
            suspected: [],
        },
        {
            name: "a request that comes at once in copies, and again when the instances are back",
            observations: [0, 1, 2].flatMap(round =>
                [0, 1, 2].map(engine =>
                    endWith(3_000 * round + 10 * engine, `i${round}${engine}`, { r: 3_000 * round - 50 })
                )
            ),
            suspected: ["r"],
        },
        {
            name: "two requests that end instances at the same time, each for itself",
            observations: [0, 1, 2, 3, 4, 5].map(n =>
                endWith(1_000 + 40 * n, `i${n}`, { [n % 2 === 0 ? "r" : "s"]: 995 + 40 * n })
            ),
            suspected: ["r", "s"],
        },
        {
            name: "not a request that has been answered since",
            observations: [
                endWith(1_000, "i1", { r: 970 }),
                endWith(2_000, "i2", { r: 1_970 }),
                endWith(3_000, "i3", { r: 2_970 }),
                answer(3_500, "r"),
            ],
            suspected: [],
        },
        {
            name: "a request together with the parts of its prompt",
            observations: [
                endWith(1_000, "i1", { r: 970 }, "a", "x"),
                endWith(2_000, "i2", { r: 1_970 }, "a", "x"),
                endWith(3_000, "i3", { r: 2_970 }, "a", "x"),
            ],
            suspected: ["a+r+x"],
        },
        {
            name: "the part of the prompts, if no two requests are alike",
            observations: [
                endWith(1_000, "i1", { r1: 970 }, "x"),
                endWith(2_000, "i2", { r2: 1_970 }, "x"),
                endWith(3_000, "i3", { r3: 2_970 }, "x"),
            ],
            suspected: ["x"],
        },
    ];
    vitest.it.each(cases)("are $name", ({ observations, nowMs, suspected }) => {
        vitest.expect(findSuspected(observations, nowMs ?? 10_000)).toEqual(suspected);
    });

    vitest.it("are remembered while prompts with them come, for an hour at most", () => {
        const clock = new clocks.ManualClock(0);
        const evidence = new crashEvidence.CrashEvidence(clock);
        [1, 2, 3].forEach(n =>
            evidence.recordCrash({
                instance: `i${n}`,
                startedMs: 1,
                atMs: n * 1_000,
                parts: new Set(["x"]),
                requests: new Map(),
                attempt: "a",
            })
        );
        let rememberedMs = 0;
        for (; evidence.findSuspected().length > 0; rememberedMs += 60_000) {
            evidence.noteSeen(evidence.findSuspected()[0]!);
            clock.advance(60_000);
        }
        vitest.expect(rememberedMs).toBeGreaterThan(3_500_000);
        vitest.expect(rememberedMs).toBeLessThanOrEqual(3_660_000);
    });

    vitest.it("take bounded memory", () => {
        const evidence = new crashEvidence.CrashEvidence(new clocks.ManualClock(0));
        for (let index = 0; index < 20_000; index++) {
            evidence.recordAnswer([`part-${index}`], index);
            const parts = new Set(Array.from({ length: 100 }, (_, part) => `p${index}-${part}`));
            if (index % 100 === 0) {
                const requests = new Map([...parts, ...parts].map((part, number) => [`r${part}-${number}`, index]));
                evidence.recordCrash({
                    instance: `i${index}`,
                    startedMs: 1,
                    atMs: index,
                    parts,
                    requests,
                    attempt: "a",
                });
            }
        }
        vitest.expect(evidence.all.length).toBeLessThanOrEqual(64);
        vitest.expect(evidence.all.every(({ parts }) => parts.size <= 64)).toBe(true);
        vitest.expect(evidence.all.every(({ requests }) => requests.size <= 128)).toBe(true);
        vitest.expect(evidence.lastAnsweredMs("part-0")).toBeUndefined();
    });
});
