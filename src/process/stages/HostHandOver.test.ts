import * as vitest from "vitest";
import * as handOvers from "./HostHandOver";

type Step = "begin" | "order" | "end of calls" | "end of one call";

const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly isInProgress: boolean }[] = [
    { name: "no handover has started", steps: ["order"], isInProgress: false },
    { name: "it has started", steps: ["begin"], isInProgress: true },
    { name: "an order arrives after it has started", steps: ["begin", "order"], isInProgress: true },
    {
        name: "orders arrive while calls end",
        steps: ["begin", "order", "end of one call", "order"],
        isInProgress: true,
    },
    { name: "all calls have ended", steps: ["begin", "order", "end of calls"], isInProgress: false },
    {
        name: "an order arrives from an entry that knows no other host",
        steps: ["begin", "end of calls", "order"],
        isInProgress: false,
    },
    { name: "it starts again", steps: ["begin", "end of calls", "order", "begin", "order"], isInProgress: true },
];

vitest.describe("a stage host's handover", () => {
    vitest.it.each(cases)("when $name", ({ steps, isInProgress }) => {
        const handOver = new handOvers.HostHandOver();
        for (const step of steps) {
            switch (step) {
                case "begin":
                    handOver.begin();
                    break;
                case "order":
                    handOver.recordOrder();
                    break;
                case "end of one call":
                    handOver.tryComplete(1);
                    break;
                case "end of calls":
                    handOver.tryComplete(0);
            }
        }
        vitest.expect(handOver.isInProgress).toBe(isInProgress);
    });

    vitest.it("hands the orders over once", () => {
        const handOver = new handOvers.HostHandOver();
        handOver.begin();
        vitest.expect([handOver.tryComplete(1), handOver.tryComplete(0), handOver.tryComplete(0)]).toEqual([
            false,
            true,
            false,
        ]);
    });
});
