/**
 * Guards against builds for a deployment that take an incomplete `node_modules` for complete, and against builds that
 * leave no whole program behind. The build line of the deploy file runs in copies of the repository, where a stand-in of
 * npm installs by a link.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as vitest from "vitest";

const REAL_MODULES = path.resolve("node_modules");
const LOCK_FILE = "package-lock.json";
const INSTALLED_LOCK = "node_modules/.package-lock.json";
/** What the build of the main program needs. */
const SOURCES = ["deploy", "platform", "scripts", "src", "standins", "package.json", LOCK_FILE, ".npmrc"] as const;
const FORMER_PROGRAM = { "cumincrank.cjs": "// former", "cumincrank-main.cjs": "// former main" } as const;

let folder: string;

vitest.beforeEach(() => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-build-"));
    for (const source of SOURCES) {
        fs.cpSync(source, inFolder(source), { recursive: true });
    }
    // An hour ago, so that any node_modules is newer.
    const copiedSeconds = Date.now() / 1000 - 3600;
    fs.utimesSync(inFolder(LOCK_FILE), copiedSeconds, copiedSeconds);
    writeNpm(`rm -rf node_modules; ln -s "${REAL_MODULES}" node_modules`);
});

vitest.afterEach(() => fs.rmSync(folder, { recursive: true, force: true }));

function inFolder(name: string): string {
    return path.join(folder, name);
}

/** Writes the stand-in of npm, which notes each call. */
function writeNpm(command: string): void {
    fs.mkdirSync(inFolder("bin"), { recursive: true });
    fs.writeFileSync(inFolder("bin/npm"), `#!/bin/sh\necho "$*" >> "${inFolder("npm-calls")}"\n${command}\n`);
    fs.chmodSync(inFolder("bin/npm"), 0o755);
}

function countInstalls(): number {
    const file = inFolder("npm-calls");
    return fs.existsSync(file) ? fs.readFileSync(file, "utf8").trim().split("\n").length : 0;
}

/** Starts the build line of the deploy file, as the platform does. */
function startBuild(): childProcess.ChildProcess {
    const [, line] = fs.readFileSync(inFolder("deploy/system.toml"), "utf8").match(/^build = "(.*)"$/m)!;
    const env = { ...process.env, PATH: `${inFolder("bin")}:${process.env["PATH"]}` };
    return childProcess.spawn("sh", ["-c", line!], { cwd: folder, env, stdio: "ignore" });
}

/** Resolves to the exit code of a build. */
function waitForBuild(build: childProcess.ChildProcess): Promise<number | undefined> {
    return new Promise(resolve => build.once("exit", code => resolve(code ?? undefined)));
}

function linkModules(except: readonly string[]): void {
    fs.mkdirSync(inFolder("node_modules"));
    for (const name of fs.readdirSync(REAL_MODULES)) {
        if (!except.includes(name)) {
            fs.symlinkSync(path.join(REAL_MODULES, name), inFolder(`node_modules/${name}`));
        }
    }
}

function writeFormerProgram(): void {
    fs.mkdirSync(inFolder("target"));
    for (const [name, text] of Object.entries(FORMER_PROGRAM)) {
        fs.writeFileSync(inFolder(`target/${name}`), text);
    }
}

/** Reads all files in the target folder. */
function readProgram(): Record<string, string> {
    const names = fs.readdirSync(inFolder("target"));
    return Object.fromEntries(names.map(name => [name, fs.readFileSync(inFolder(`target/${name}`), "utf8")]));
}

interface ModulesCase {
    readonly name: string;
    /** Brings `node_modules` into the state before the build. */
    readonly prepare: () => void;
    readonly installs: number;
}

const modulesCases: readonly ModulesCase[] = [
    { name: "complete", prepare: () => linkModules([]), installs: 0 },
    { name: "missing", prepare: () => undefined, installs: 1 },
    {
        name: "of an interrupted installation",
        prepare: () => linkModules([".package-lock.json", "esbuild", "zod"]),
        installs: 1,
    },
    {
        name: "with a cache folder of a tool only",
        prepare: () => fs.mkdirSync(inFolder("node_modules/.cache/tool"), { recursive: true }),
        installs: 1,
    },
    {
        name: "older than what the lock file names",
        prepare: () => {
            linkModules([".package-lock.json"]);
            const installed = fs.readFileSync(INSTALLED_LOCK, "utf8");
            fs.writeFileSync(inFolder(INSTALLED_LOCK), installed.replace(/"integrity": "sha512-/, "$&older"));
        },
        installs: 1,
    },
    {
        name: "with half of npm's record",
        prepare: () => {
            linkModules([".package-lock.json"]);
            const installed = fs.readFileSync(INSTALLED_LOCK, "utf8");
            fs.writeFileSync(inFolder(INSTALLED_LOCK), installed.slice(0, installed.length / 2));
        },
        installs: 1,
    },
    {
        name: "of another kind of machine",
        prepare: () => {
            linkModules(["esbuild", "@esbuild"]);
            fs.cpSync(path.join(REAL_MODULES, "esbuild"), inFolder("node_modules/esbuild"), { recursive: true });
            fs.mkdirSync(inFolder("node_modules/@esbuild/other-machine"), { recursive: true });
        },
        installs: 1,
    },
    { name: "without a package that npm installed", prepare: () => linkModules(["zod"]), installs: 1 },
];

vitest.describe("a build for a deployment makes a program that runs from a node_modules", () => {
    vitest.it.each(modulesCases)("$name", async ({ prepare, installs }) => {
        prepare();
        vitest.expect(await waitForBuild(startBuild())).toBe(0);
        const version = childProcess.execFileSync(process.execPath, [inFolder("target/cumincrank.cjs"), "--version"]);
        vitest.expect(version.toString().trim()).toBe(JSON.parse(fs.readFileSync("package.json", "utf8")).version);
        vitest.expect(countInstalls()).toBe(installs);
    });
});

function prepend(name: string, text: string): void {
    fs.writeFileSync(inFolder(name), text + fs.readFileSync(inFolder(name), "utf8"));
}

interface FailureCase {
    readonly name: string;
    readonly prepare: () => void;
}

const failureCases: readonly FailureCase[] = [
    { name: "npm fails", prepare: () => writeNpm("exit 1") },
    { name: "the first module is missing", prepare: () => fs.rmSync(inFolder("src/commands/Start.ts")) },
    { name: "the command line is missing", prepare: () => fs.rmSync(inFolder("src/commands/Main.ts")) },
    { name: "a module has a syntax error", prepare: () => fs.appendFileSync(inFolder("src/commands/Main.ts"), "}") },
    {
        name: "the program ends with an error",
        prepare: () => prepend("src/commands/Main.ts", "throw new Error();"),
    },
];

vitest.describe("a build for a deployment fails, and leaves the former program, when", () => {
    vitest.it.each(failureCases)("$name", async ({ prepare }) => {
        writeFormerProgram();
        prepare();
        vitest.expect(await waitForBuild(startBuild())).toBe(1);
        vitest.expect(readProgram()).toEqual(FORMER_PROGRAM);
    });
});

vitest.it(
    "a process that starts during a build finds each file of the former program or of the new one, whole",
    async () => {
        linkModules([]);
        writeFormerProgram();
        const names = Object.keys(FORMER_PROGRAM) as (keyof typeof FORMER_PROGRAM)[];
        const seen = new Map(names.map(name => [name, new Set<string>()]));
        let isRunning = true;
        const ended = waitForBuild(startBuild()).finally(() => isRunning = false);
        while (isRunning) {
            seen.forEach((texts, name) => texts.add(fs.readFileSync(inFolder(`target/${name}`), "utf8")));
            await new Promise(resolve => setImmediate(resolve));
        }
        vitest.expect(await ended).toBe(0);
        for (const [name, texts] of seen) {
            const built = fs.readFileSync(inFolder(`target/${name}`), "utf8");
            vitest.expect(
                [...texts].filter(text => text !== FORMER_PROGRAM[name] && text !== built).map(text => text.length),
            ).toEqual([]);
        }
    },
);
