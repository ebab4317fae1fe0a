import * as vitest from "vitest";
import * as handOvers from "./HostHandOver";

type Step = "begin" | "order" | "end of calls" | "end of one call";

const cases: readonly { readonly name: string; readonly steps: readonly Step[]; readonly isInProgress: boolean }[] = [
    { name: "nothing has begun", steps: ["order"], isInProgress: false },
    { name: "it has begun", steps: ["begin"], isInProgress: true },
    { name: "an order comes after it has begun", steps: ["begin", "order"], isInProgress: true },
    {
        name: "orders come between the ends of calls",
        steps: ["begin", "order", "end of one call", "order"],
        isInProgress: true,
    },
    { name: "all calls have ended", steps: ["begin", "order", "end of calls"], isInProgress: false },
    {
        name: "an order comes from one who knows no other host",
        steps: ["begin", "end of calls", "order"],
        isInProgress: false,
    },
    { name: "it begins anew", steps: ["begin", "end of calls", "order", "begin", "order"], isInProgress: true },
];

vitest.describe("a host's hand-over", () => {
    vitest.it.each(cases)("when $name", ({ steps, isInProgress }) => {
        const handOver = new handOvers.HostHandOver();
        for (const step of steps) {
            switch (step) {
                case "begin":
                    handOver.begin();
                    break;
                case "order":
                    handOver.acceptOrder();
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

    vitest.it("moves the orders once", () => {
        const handOver = new handOvers.HostHandOver();
        handOver.begin();
        vitest.expect([handOver.tryComplete(1), handOver.tryComplete(0), handOver.tryComplete(0)]).toEqual([
            false,
            true,
            false,
        ]);
    });
});
