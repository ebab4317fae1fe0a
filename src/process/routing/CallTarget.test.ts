import * as vitest from "vitest";
import * as routing from "../../common/Routing";
import * as tables from "../../version/RouteTable";
import * as callTargets from "./CallTarget";

const oldRoute: routing.Route = {
    name: "old",
    host: "a.example",
    prefix: "/old/",
    kind: "idempotent",
    timeoutMs: 2_000,
    goalMs: 300,
    priority: 0,
    targets: [{ service: "desk", weight: 1 }],
    attempts: 1,
    isResumable: false,
    isPublic: false,
    stages: [],
};

function createTable(version: number, prefixes: readonly string[], keys: readonly string[]): tables.RouteTable {
    return new tables.RouteTable({
        version,
        routes: prefixes.map(prefix => ({ ...oldRoute, prefix })),
        services: [],
        teams: [{ name: "team", keys, priority: 0 }],
        limits: { headerBytes: 10_000, bodyBytes: 10_000, headerTimeoutMs: 3_000, idleTimeoutMs: 3_000 },
    } as unknown as routing.RoutingConfiguration);
}

const before = createTable(1, ["/old/"], ["k1"]);
const after = createTable(2, ["/old/", "/new/"], ["k1", "k2"]);

// Entries that knew that they were behind answered 404 for routes that others served already.
vitest.describe("a call", () => {
    const cases: readonly {
        readonly name: string;
        readonly path: string;
        readonly apiKey: string;
        /** Whether the view becomes as new as those of the others; `undefined` if it is. */
        readonly catchesUp: boolean | undefined;
        readonly outcome: string;
    }[] = [
        {
            name: "of a known route is served while behind",
            path: "/old/1",
            apiKey: "k1",
            catchesUp: false,
            outcome: "/old/",
        },
        {
            name: "of an added route is served after the wait",
            path: "/new/1",
            apiKey: "k1",
            catchesUp: true,
            outcome: "/new/",
        },
        {
            name: "with an added key is served after the wait",
            path: "/old/1",
            apiKey: "k2",
            catchesUp: true,
            outcome: "/old/",
        },
        {
            name: "of an added route isn't refused for good while behind",
            path: "/new/1",
            apiKey: "k1",
            catchesUp: false,
            outcome: "not-ready",
        },
        {
            name: "with an added key isn't refused for good while behind",
            path: "/old/1",
            apiKey: "k2",
            catchesUp: false,
            outcome: "not-ready",
        },
        {
            name: "of no route is refused once caught up",
            path: "/none/1",
            apiKey: "k1",
            catchesUp: true,
            outcome: "unknown-path",
        },
        {
            name: "of no route is refused if the view is current",
            path: "/none/1",
            apiKey: "k1",
            catchesUp: undefined,
            outcome: "unknown-path",
        },
        {
            name: "with no valid key is refused if the view is current",
            path: "/old/1",
            apiKey: "k3",
            catchesUp: undefined,
            outcome: "unknown-key",
        },
    ];
    vitest.it.each(cases)("$name", async ({ path, apiKey, catchesUp, outcome }) => {
        let table = before;
        const context = {
            table: () => table,
            catchUp: () => {
                table = catchesUp === true ? after : before;
                return Promise.resolve(catchesUp !== false);
            },
        };
        const request = { host: "a.example", path, apiKey, remainingMs: 2_000 };
        const target = await callTargets.findTarget(context, request, new AbortController().signal);
        const found = target.isOk ? target.value.route.prefix : target.error.code.name;
        vitest.expect(found).toBe(outcome);
        vitest.expect(target.isErr && target.error.code.name === "not-ready" && target.error.retryAfterMs).not.toBe(
            undefined,
        );
    });
});
