/**
 * Guards against signals that end a process which is still starting without a word, and against a Node.js that is too old.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as readline from "node:readline";
import type * as stream from "node:stream";
import * as vitest from "vitest";
import * as freePorts from "../standins/FreePorts";
import * as entryPrograms from "../standins/platform/EntryProgram";
import * as reloadHandlers from "../standins/ReloadHandler";

const PROGRAM = path.resolve("dist/cumincrank.cjs");
const ARGUMENTS = ["--max-old-space-size=160", "--max-semi-space-size=4"] as const;
const RELOAD_INTERVAL_MS = 5;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-early-"));

vitest.afterAll(() => fs.rmSync(folder, { recursive: true, force: true }));

async function writeSettings(): Promise<string> {
    const ports = await freePorts.findFreePorts(entryPrograms.PORT_COUNT + 1);
    const settings = entryPrograms.createSettings({
        instance: "entry-1",
        failureDomain: "zone-a",
        ports: ports.slice(1),
        store: `127.0.0.1:${ports[0]}`,
        seeds: [],
        stopLimitSeconds: 8,
    });
    const file = path.join(folder, "entry.yaml");
    fs.writeFileSync(file, JSON.stringify(settings));
    return file;
}

/** Resolves to the log line "listening", or to the last line of a log that ends without it. */
async function readUntilListening(log: stream.Readable): Promise<string> {
    let last = "";
    for await (const line of readline.createInterface(log)) {
        last = line;
        if (line.includes("\"listening\"")) {
            break;
        }
    }
    // The rest is discarded, so that the process can write on.
    log.resume();
    return last;
}

vitest.it("reloads in series don't end a process that is starting", async () => {
    const args = [...ARGUMENTS, PROGRAM, "entry", "--settings", await writeSettings()];
    const child = childProcess.spawn(process.execPath, args, { stdio: ["ignore", "pipe", "inherit"] });
    try {
        const ended = new Promise(resolve => child.once("exit", (code, signal) => resolve(code ?? signal)));
        await reloadHandlers.waitForHandler(child.pid!);
        child.kill("SIGHUP");
        const reloads = setInterval(() => child.kill("SIGHUP"), RELOAD_INTERVAL_MS);
        vitest.expect(await readUntilListening(child.stdout)).toContain("\"listening\"");
        clearInterval(reloads);
        child.kill("SIGTERM");
        vitest.expect(await ended).toBe(0);
    }
    finally {
        child.kill("SIGKILL");
    }
});

interface OrderCase {
    readonly command: string;
    readonly isHandled: boolean;
}

const orderCases: readonly OrderCase[] = [
    { command: "entry", isHandled: true },
    { command: "agent", isHandled: true },
    { command: "check", isHandled: false },
];

/** Runs a command of which only the first file is the program's own; resolves to what `rest` prints. */
function runWithRest(command: string, rest: string): string {
    const start = path.join(folder, "cumincrank.cjs");
    fs.copyFileSync(PROGRAM, start);
    fs.writeFileSync(path.join(folder, "cumincrank-main.cjs"), `process.stdout.write(${rest});`);
    return childProcess.execFileSync(process.execPath, [start, command], { encoding: "utf8" });
}

vitest.describe("before the rest of the program is loaded", () => {
    vitest.it.each(orderCases)("SIGHUP is handled by $command: $isHandled", ({ command, isHandled }) => {
        const status = runWithRest(command, "require(\"fs\").readFileSync(\"/proc/self/status\")");
        vitest.expect(reloadHandlers.handlesReload(status)).toBe(isHandled);
    });

    vitest.it.each(orderCases)("signals to stop are handled by $command: $isHandled", ({ command, isHandled }) => {
        const counts = "[\"SIGTERM\", \"SIGINT\"].map(signal => process.listenerCount(signal)).join()";
        vitest.expect(runWithRest(command, counts)).toBe(isHandled ? "1,1" : "0,0");
    });
});

/** The oldest major version that the package names. */
const OLDEST_MAJOR = Number(JSON.parse(fs.readFileSync("package.json", "utf8")).engines.node.match(/^>=(\d+)$/)[1]);

interface VersionCase {
    readonly version: string;
    readonly isSupported: boolean;
}

const versionCases: readonly VersionCase[] = [
    { version: "8.17.0", isSupported: false },
    { version: `${OLDEST_MAJOR - 1}.9.0`, isSupported: false },
    { version: `${OLDEST_MAJOR}.0.0`, isSupported: true },
    { version: "100.0.0", isSupported: true },
];

vitest.describe("a Node.js that is too old ends with one line, and others run the program", () => {
    vitest.it.each(versionCases)("$version", ({ version, isSupported }) => {
        const versions = JSON.stringify({ ...process.versions, node: version });
        const file = path.join(folder, "other-node.cjs");
        const script = `Object.defineProperty(process, "versions", { value: ${versions} });`
            + `require(${JSON.stringify(PROGRAM)});`;
        fs.writeFileSync(file, script);
        const { status, stdout, stderr } = childProcess.spawnSync(process.execPath, [file, "codes"], {
            encoding: "utf8",
        });
        vitest.expect(status).toBe(isSupported ? 0 : 1);
        vitest.expect(stdout === "").toBe(!isSupported);
        vitest.expect(stderr).toBe(
            isSupported ? "" : `cumincrank needs Node.js ${OLDEST_MAJOR} or later; this is Node.js ${version}\n`,
        );
    });
});
