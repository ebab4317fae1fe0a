import * as vitest from "vitest";
import * as handOvers from "./HostHandOver";

type Step = "begin" | "order" | "end of calls" | "end of one call";

const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly isHolding: boolean }[] = [
    { name: "nothing has begun", steps: ["order"], isHolding: false },
    { name: "it has begun", steps: ["begin"], isHolding: true },
    { name: "an order comes after it has begun", steps: ["begin", "order"], isHolding: true },
    {
        name: "orders come between the ends of calls",
        steps: ["begin", "order", "end of one call", "order"],
        isHolding: true,
    },
    { name: "all calls have ended", steps: ["begin", "order", "end of calls"], isHolding: false },
    {
        name: "an order comes from one who knows no other host",
        steps: ["begin", "end of calls", "order"],
        isHolding: false,
    },
    { name: "it begins anew", steps: ["begin", "end of calls", "order", "begin", "order"], isHolding: true },
];

vitest.describe("a host's hand-over", () => {
    vitest.it.each(cases)("when $name", ({ steps, isHolding }) => {
        const handOver = new handOvers.HostHandOver();
        for (const step of steps) {
            switch (step) {
                case "begin":
                    handOver.begin();
                    break;
                case "order":
                    handOver.noteOrder();
                    break;
                case "end of one call":
                    handOver.tryEnd(1);
                    break;
                case "end of calls":
                    handOver.tryEnd(0);
            }
        }
        vitest.expect(handOver.isUnderWay).toBe(isHolding);
    });

    vitest.it("moves the orders once", () => {
        const handOver = new handOvers.HostHandOver();
        handOver.begin();
        vitest.expect([handOver.tryEnd(1), handOver.tryEnd(0), handOver.tryEnd(0)]).toEqual([false, true, false]);
    });
});
