/**
 * Guards against stops that end a process by the signal, with no line in its log, while it is starting.
 */
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as fleetProcesses from "../standins/FleetProcess";
import * as freePorts from "../standins/FreePorts";
import * as entryPrograms from "../standins/platform/EntryProgram";
import * as reloadHandlers from "../standins/ReloadHandler";

const { afterEach, beforeEach, describe, expect, it } = vitest;

const POLL_MS = 10;
const PEER_PORT_INDEX = 2;
const STOPPED = "stopped before it listened";
const UNREACHABLE = "127.0.0.1:9";

let directory: string;
let settingsFile: string;
let logFile: string;
let ports: readonly number[];
let child: fleetProcesses.FleetProcess;
let occupant: net.Server | undefined;

beforeEach(async () => {
    directory = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-stop-"));
    settingsFile = path.join(directory, "settings.yaml");
    logFile = path.join(directory, "process.log");
    ports = await freePorts.findFreePorts(entryPrograms.PORT_COUNT);
});

afterEach(async () => {
    occupant?.close();
    occupant = undefined;
    child.kill();
    await child.waitForExit();
    fs.rmSync(directory, { recursive: true, force: true });
});

/** Settings by the kind of process that uses them. */
const settingsOf = {
    "route entry": () =>
        entryPrograms.createSettings({
            instance: "process-1",
            failureDomain: "zone-a",
            ports,
            store: UNREACHABLE,
            seeds: [],
            stopLimitSeconds: 8,
        }),
    entry: () => ({ ...createPipelineSettings("entry"), callerListen: `127.0.0.1:${ports[0]}` }),
    agent: () => ({ ...createPipelineSettings("agent"), service: "bookings", upstream: UNREACHABLE }),
};

function createPipelineSettings(role: "entry" | "agent"): Record<string, unknown> {
    return {
        role,
        instance: "process-1",
        failureDomain: "zone-a",
        region: "here",
        peerListen: `127.0.0.1:${ports[PEER_PORT_INDEX]}`,
        adminListen: `127.0.0.1:${ports[3]}`,
        configurationService: UNREACHABLE,
        instanceList: UNREACHABLE,
    };
}

function start(kind: keyof typeof settingsOf): void {
    fs.writeFileSync(settingsFile, JSON.stringify(settingsOf[kind]()));
    const command = kind === "agent" ? "agent" : "entry";
    const args = [path.resolve("dist/cumincrank.cjs"), command, "--settings", settingsFile];
    child = new fleetProcesses.FleetProcess(args, logFile);
    child.start();
}

function readMessages(): string[] {
    const lines = fs.readFileSync(logFile, "utf8").split("\n").filter(line => line.startsWith("{"));
    return lines.map(line => (JSON.parse(line) as { readonly msg: string }).msg);
}

const kinds = Object.keys(settingsOf) as (keyof typeof settingsOf)[];

describe.each(kinds)("a %s that is stopped before it listens", kind => {
    it.each(["SIGTERM", "SIGINT"] as const)("says so and ends with code 0, while it loads, on %s", async signal => {
        start(kind);
        await reloadHandlers.waitForHandler(child.pid!);
        expect(await child.terminate(signal)).toBe(0);
        expect(readMessages().at(-1)).toBe(STOPPED);
        expect(readMessages()).not.toContain("listening");
    });

    it("says so and ends with code 0, while it waits for an address", async () => {
        occupant = net.createServer();
        await new Promise<void>(resolve => occupant!.listen(ports[PEER_PORT_INDEX], "127.0.0.1", resolve));
        start(kind);
        while (child.isRunning && !readMessages().includes("can't listen yet")) {
            await clocks.sleep(clocks.systemClock, POLL_MS);
        }
        expect(await child.terminate()).toBe(0);
        expect(readMessages().at(-1)).toBe(STOPPED);
    });
});
