import * as vitest from "vitest";
import * as routing from "../common/Routing";
import * as tables from "./RouteTable";

function route(name: string, host: string, prefix: string): routing.Route {
    return {
        name,
        host,
        prefix,
        kind: "idempotent",
        timeoutMs: 1_000,
        goalMs: 300,
        priority: 0,
        targets: [{ service: "desk", weight: 1 }],
        attempts: 1,
        isResumable: false,
        isPublic: false,
        stages: [],
    };
}

const table = new tables.RouteTable({
    version: 1,
    routes: [route("short", "a.example", "/x/"), route("long", "a.example", "/x/y/"), route("other", "b.example", "/")],
    services: [{ name: "desk", coldMs: 0, coldPerSecond: 0 }],
    teams: [{ name: "gilders", keys: ["k1", "k2"] }],
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

vitest.describe("the route", () => {
    const cases: readonly { readonly host: string; readonly path: string; readonly found: string | undefined }[] = [
        { host: "a.example", path: "/x/1", found: "short" },
        { host: "a.example", path: "/x/y/1", found: "long" },
        { host: "A.EXAMPLE:8080", path: "/x/y/", found: "long" },
        { host: "a.example", path: "/x", found: undefined },
        { host: "a.example", path: "/z/", found: undefined },
        { host: "b.example", path: "/z/", found: "other" },
        { host: "c.example", path: "/x/", found: undefined },
    ];
    vitest.it.each(cases)("of $host$path is $found", ({ host, path, found }) => {
        vitest.expect(table.findRoute(host, path)?.name).toBe(found);
    });
});

vitest.describe("the team", () => {
    vitest.it.each([
        { key: "k1", team: "gilders" },
        { key: "k2", team: "gilders" },
        { key: "k3", team: undefined },
        { key: undefined, team: undefined },
    ])("with the API key $key is $team", ({ key, team }) => {
        vitest.expect(table.findTeam(key)?.name).toBe(team);
    });
});
