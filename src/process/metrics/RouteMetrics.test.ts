import * as vitest from "vitest";
import * as metrics from "./RouteMetrics";

vitest.describe("the routes of the metrics", () => {
    // Guards against a process that keeps the routes of all configurations that it has had.
    vitest.it.each([
        { routes: 3, labels: 3, hasOther: false },
        { routes: 4_000, labels: 501, hasOther: true },
    ])("of $routes routes: $labels", async ({ routes, labels, hasOther }) => {
        const routeMetrics = new metrics.RouteMetrics();
        for (let round = 0; round < 2; round++) {
            for (let index = 0; index < routes; index++) {
                routeMetrics.countEnd(`route-${index}`, "200");
                routeMetrics.recordDuration(`route-${index}`, 1);
            }
        }
        const text = await routeMetrics.registry.metrics();
        const counted = [...text.matchAll(/^cumincrank_routed_calls_total\{route="([^"]+)",end="200"\} (\d+)$/gm)];
        vitest.expect(counted).toHaveLength(labels);
        vitest.expect(counted.some(([, route]) => route === "other")).toBe(hasOther);
        vitest.expect(counted.reduce((sum, [, , count]) => sum + Number(count), 0)).toBe(2 * routes);
    });
});
