import * as prom from "prom-client";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as adminServers from "./AdminServer";

vitest.describe("the admin server", () => {
    // Guards against the end of the process by a status or a metric that can't be read.
    vitest.it.each(["/status", "/metrics"])("answers 500 to %s if that can't be read, and serves on", async path => {
        const registry = new prom.Registry();
        new prom.Gauge({
            name: "broken",
            help: "broken",
            registers: [registry],
            collect() {
                throw new Error("test");
            },
        });
        const server = await adminServers.listenAdmin("127.0.0.1:0", {
            isReady: () => true,
            status: () => {
                throw new Error("test");
            },
            registry,
        }, { clock: clocks.systemClock, log: logs.silentLog });
        vitest.expect((await fetch(`http://${server.address}${path}`)).status).toBe(500);
        vitest.expect((await fetch(`http://${server.address}/readyz`)).status).toBe(200);
        server.dispose();
    });
});
