import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as vitest from "vitest";
import * as clocks from "../src/common/Clock";
import * as checks from "../src/version/ConfigurationCheck";
import * as fleetProcesses from "../standins/FleetProcess";
import * as freePorts from "../standins/FreePorts";
import * as fleets from "../standins/platform/RoutedFleet";
import * as templates from "../standins/platform/SettingsTemplate";

const { afterEach, beforeEach, describe, expect, it } = vitest;

const PORT_COUNT = 4;
const POLL_MS = 20;
/** How long the settings stay unusable after the process has noticed it. */
const LATE_MS = 1_000;
const REPORT_INTERVAL_MS = 1_000;
const WAIT_LIMIT_MS = 10_000;
const DEFAULTS_USED = "invalid optional settings, defaults used";
const WAITING = "waiting for valid settings";

/** The fields used here of a log line. */
interface LogLine {
    readonly msg: string;
    readonly instance: string;
    readonly waitedMs?: number;
    readonly problems?: readonly checks.Problem[];
}

const fleet = new fleets.RoutedFleet();
let directory: string;
let settingsFile: string;
let logFile: string;
let ports: readonly number[];
let values: templates.TemplateValues;
let child: fleetProcesses.FleetProcess;

beforeEach(async () => {
    directory = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-start-"));
    settingsFile = path.join(directory, "settings.yaml");
    logFile = path.join(directory, "process.log");
    ports = await freePorts.findFreePorts(PORT_COUNT);
    values = templates.createValues({ name: "entry-1", ports, store: fleet.store.address });
});

afterEach(async () => {
    child.kill();
    await child.waitForExit();
    fs.rmSync(directory, { recursive: true, force: true });
});

vitest.beforeAll(() => fleet.start([]));
vitest.afterAll(() => fleet.dispose());

function start(command: "entry" | "agent"): void {
    const args = [path.resolve("dist/cumincrank.cjs"), command, "--settings", settingsFile];
    child = new fleetProcesses.FleetProcess(args, logFile);
    child.start();
}

function readLog(): LogLine[] {
    const text = fs.readFileSync(logFile, "utf8");
    return text.split("\n").filter(line => line.startsWith("{")).map(line => JSON.parse(line) as LogLine);
}

/** Waits for a line of the log; resolves to undefined if the process ends without it. */
async function waitForLine(message: string): Promise<LogLine | undefined> {
    for (;;) {
        const hasEnded = !child.isRunning;
        const line = readLog().find(({ msg }) => msg === message);
        if (line !== undefined || hasEnded) {
            return line;
        }
        await clocks.sleep(clocks.systemClock, POLL_MS);
    }
}

/** Waits until the entry is ready for callers; resolves to false if it ends first. */
async function waitUntilReady(): Promise<boolean> {
    while (child.isRunning) {
        const status = await fetch(`http://127.0.0.1:${ports[1]}/ready`).then(answer => answer.status, () => 0);
        if (status === 200) {
            return true;
        }
        await clocks.sleep(clocks.systemClock, POLL_MS);
    }
    return false;
}

interface LateCase {
    readonly name: string;
    /** What the file holds of the complete text until it is whole; undefined if there is no file. */
    readonly cut: (text: string) => string | undefined;
    /** Path of a problem that the log names. */
    readonly problemPath: string;
}

const lateCases: readonly LateCase[] = [
    { name: "missing", cut: () => undefined, problemPath: "" },
    { name: "empty", cut: () => "", problemPath: "" },
    { name: "half written", cut: text => text.slice(0, text.indexOf("coldRate")), problemPath: "store" },
    { name: "cut off within a value", cut: text => text.trimEnd().slice(0, -1), problemPath: "" },
    { name: "written with an invalid address", cut: text => `${text.trimEnd().slice(0, -2)}x"`, problemPath: "store" },
];

const pipelineSettings = {
    instance: "process-1",
    failureDomain: "zone-a",
    region: "here",
    configurationService: "127.0.0.1:9",
    instanceList: "127.0.0.1:9",
};

function createPipelineSettings(command: "entry" | "agent"): Record<string, unknown> {
    const [callers, peers, admin] = ports.map(port => `127.0.0.1:${port}`);
    const own = command === "entry" ? { callerListen: callers } : { service: "bookings", upstream: "127.0.0.1:9" };
    return { ...pipelineSettings, ...own, role: command, peerListen: peers, adminListen: admin };
}

const optionalPlaceholders = [
    "Region",
    "Seeds",
    "Zones",
    "Bootstrap",
    "Limits.CpuShare",
    "Limits.MemoryMb",
    "Limits.MaxFds",
    "Bounds.GraceS",
    "Bounds.BudgetWindowS",
    "Bounds.BudgetRatio",
    "Bounds.BudgetSlack",
    "Bounds.ColdOver",
    "Bounds.ColdSlack",
];

describe("a process whose settings come late", () => {
    // A start ended with exit code 2 at once.
    it.each(lateCases)("starts once its file, at first $name, is complete", async ({ cut, problemPath }) => {
        const text = templates.renderSettings(values);
        const early = cut(text);
        if (early !== undefined) {
            fs.writeFileSync(settingsFile, early);
        }
        start("entry");
        const waiting = await waitForLine(WAITING);
        expect(waiting?.problems?.map(problem => problem.path)).toContain(problemPath);
        await clocks.sleep(clocks.systemClock, LATE_MS);
        expect(child.isRunning).toBe(true);
        fs.writeFileSync(settingsFile, text);
        expect(await waitUntilReady()).toBe(true);
    });

    it.each(["entry", "agent"] as const)("starts as %s of pipelines once there is a file", async command => {
        start(command);
        expect(await waitForLine(WAITING)).toBeDefined();
        fs.writeFileSync(settingsFile, JSON.stringify(createPipelineSettings(command)));
        expect((await waitForLine("listening"))?.instance).toBe("process-1");
    });

    it("names the problem once a second, and ends with exit code 2 at the limit", async () => {
        fs.writeFileSync(settingsFile, templates.renderSettings(templates.withoutValue(values, "Platform.Address")));
        start("entry");
        expect(await child.waitForExit()).toBe(2);
        const lines = readLog();
        const waiting = lines.filter(({ msg }) => msg === WAITING);
        const waitedMs = waiting.map(line => line.waitedMs!);
        expect(waiting.length).toBeGreaterThan(1);
        expect(waitedMs.every((ms, index) => index === 0 || ms - waitedMs[index - 1]! >= REPORT_INTERVAL_MS)).toBe(
            true,
        );
        expect(waitedMs.at(-1)).toBeLessThan(WAIT_LIMIT_MS);
        for (const line of [...waiting, lines.find(({ msg }) => msg === "can't start")!]) {
            expect(line.problems?.map(problem => problem.path)).toEqual(["store"]);
        }
    });

    it.each(["SIGTERM", "SIGINT"] as const)("ends with exit code 0 on %s", async signal => {
        start("entry");
        await waitForLine(WAITING);
        expect(await child.terminate(signal)).toBe(0);
    });
});

describe("a process whose optional settings", () => {
    // A start ended with exit code 2.
    it.each(optionalPlaceholders)("lack a value for %s starts", async name => {
        fs.writeFileSync(settingsFile, templates.renderSettings(templates.withoutValue(values, name)));
        start("entry");
        expect(await waitUntilReady()).toBe(true);
    });

    it("lack all values starts", async () => {
        const required = optionalPlaceholders.reduce(templates.withoutValue, values);
        fs.writeFileSync(settingsFile, templates.renderSettings(required));
        start("entry");
        expect(await waitUntilReady()).toBe(true);
    });

    const invalidBounds = { GraceS: "8 s", BudgetRatio: -1 };

    it("are invalid starts at once, and names them in its log", async () => {
        const [seed] = values["Seeds"] as string[];
        const invalid = { ...values, Seeds: ["nowhere", seed], Bounds: invalidBounds };
        fs.writeFileSync(settingsFile, templates.renderSettings(invalid));
        start("entry");
        expect(await waitUntilReady()).toBe(true);
        const line = await waitForLine(DEFAULTS_USED);
        expect(line?.problems?.map(problem => problem.path)).toEqual(["seeds.0", "stopLimitSeconds", "repeats.ratio"]);
        expect(readLog().some(({ msg }) => msg === WAITING)).toBe(false);
    });

    // It took itself for the only entry at once, and every share of the whole fleet with it.
    it("state seeds of which none is valid waits for them, then starts without knowing the others", async () => {
        const invalid = { ...values, Seeds: ["nowhere"], Bounds: invalidBounds };
        fs.writeFileSync(settingsFile, templates.renderSettings(invalid));
        start("entry");
        expect((await waitForLine(WAITING))?.problems?.map(problem => problem.path)).toContain("seeds.0");
        expect(await waitUntilReady()).toBe(true);
        const line = await waitForLine(DEFAULTS_USED);
        expect(line?.problems?.map(problem => problem.path)).toEqual(["seeds.0", "stopLimitSeconds", "repeats.ratio"]);
        const waitedMs = readLog().flatMap(({ msg, waitedMs: ms }) => msg === WAITING ? [ms!] : []);
        expect(Math.max(...waitedMs)).toBeGreaterThanOrEqual(WAIT_LIMIT_MS - 2 * REPORT_INTERVAL_MS);
        const metrics = await (await fetch(`http://127.0.0.1:${ports[3]}/metrics`)).text();
        expect(metrics).toContain("cumincrank_knows_entries 0");
    });

    it("state seeds that become valid starts with them", async () => {
        fs.writeFileSync(settingsFile, templates.renderSettings({ ...values, Seeds: ["nowhere"] }));
        start("entry");
        await waitForLine(WAITING);
        fs.writeFileSync(settingsFile, templates.renderSettings(values));
        expect(await waitUntilReady()).toBe(true);
        expect(readLog().some(({ msg }) => msg === DEFAULTS_USED)).toBe(false);
    });
});
