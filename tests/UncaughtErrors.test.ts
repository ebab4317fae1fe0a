/**
 * Guards against processes that an error of their machine ends, and against defects after which a process goes on or that
 * leave no trace. The errors come from a module that Node.js loads beside the program.
 */
import * as fs from "node:fs";
import * as http from "node:http";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";
import * as vitest from "vitest";
import * as entryPrograms from "../standins/platform/EntryProgram";
import * as fleets from "../standins/platform/RoutedFleet";

/** The signal at which the module causes its errors. */
const CAUSE = "SIGUSR2";
const EXIT_DEFECT = 4;
/** A port at which nothing listens. */
const UNUSED_PORT = 1;
/** More errors of the machine than a process lets pass in 10 s. */
const TOO_MANY_ERRORS = 101;
const FEW_ERRORS = 20;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-uncaught-"));
let fleet: fleets.RoutedFleet;
let entry: entryPrograms.EntryProgram;
let nextAttempt = 1;

vitest.beforeEach(async () => {
    fleet = new fleets.RoutedFleet();
    await fleet.start([{ id: "desk-1", service: "desk", failureDomain: "zone-a" }]);
});

vitest.afterEach(async () => {
    await entry.dispose();
    fleet.dispose();
});

vitest.afterAll(() => fs.rmSync(folder, { recursive: true }));

/** Starts an entry whose process runs `statement` at each signal, and waits until it serves. */
async function start(statement: string): Promise<void> {
    const file = path.join(folder, `cause-${nextAttempt}.mjs`);
    fs.writeFileSync(
        file,
        `import * as net from "node:net";
        import * as fs from "node:fs";
        process.on("${CAUSE}", () => { ${statement} });
        void [net, fs];`,
    );
    entry = await entryPrograms.EntryProgram.start(fleet.store.address, {
        nodeOptions: ["--import", url.pathToFileURL(file).href],
    });
    await fleet.waitUntil(async () => await callStatus() === 200);
}

function callStatus(): Promise<number> {
    const [host, port] = entry.callerAddress.split(":");
    const headers = {
        Host: "desk.example",
        "Attempt-Id": `uncaught-${nextAttempt++}`,
        "Deadline-Ms": "4000",
        Authorization: `Token ${fleets.TEAM_KEY}`,
    };
    return new Promise(resolve => {
        const request = http.request({ host, port, agent: false, method: "POST", path: "/look/1", headers }, answer => {
            answer.resume().on("close", () => resolve(answer.statusCode ?? 0));
        });
        request.on("error", () => resolve(0));
        request.end();
    });
}

async function readMachineErrors(): Promise<number> {
    const response = await fetch(`http://${entry.adminAddress}/metrics`);
    return Number(/^cumincrank_machine_errors (\S+)$/m.exec(await response.text())?.[1]);
}

function readUncaught(): Record<string, unknown>[] {
    return entry.readLog().filter(({ decision }) => decision === "uncaught-error");
}

const CONNECT = `net.connect(${UNUSED_PORT}, "127.0.0.1");`;

vitest.describe("a process goes on after errors of the machine that nobody handles", () => {
    vitest.it.each([
        { name: "a refused connection", statement: CONNECT, count: 1 },
        { name: "a stream on a missing file", statement: "fs.createReadStream(\"/missing\");", count: 1 },
        {
            name: "several at once",
            statement: `for (let index = 0; index < ${FEW_ERRORS}; index++) { ${CONNECT} }`,
            count: FEW_ERRORS,
        },
    ])("$name", async ({ statement, count }) => {
        await start(statement);
        process.kill(entry.process.pid!, CAUSE);
        await fleet.waitUntil(() => readUncaught().length === count);
        vitest.expect(await callStatus()).toBe(200);
        vitest.expect(await readMachineErrors()).toBe(count);
        vitest.expect(new Set(readUncaught().map(({ level }) => level))).toEqual(new Set([50]));
        vitest.expect(await entry.process.terminate()).toBe(0);
    });
});

vitest.describe("a process ends with code 4, and its last line names the error, after", () => {
    vitest.it.each([
        { name: "an exception", statement: "throw new Error(\"defect of a test\");", error: "defect of a test" },
        {
            name: "an exception in a timer",
            statement: "setTimeout(() => undefined.missing, 5);",
            error: "Cannot read properties of undefined",
        },
        {
            name: "a rejected promise",
            statement: "void Promise.reject(new Error(\"defect of a test\"));",
            error: "defect of a test",
        },
        {
            name: "a task that an error of the machine has ended",
            statement: "void fs.promises.readFile(\"/missing\");",
            error: "ENOENT",
        },
        {
            name: "errors of the machine that don't stop",
            statement: `for (let index = 0; index < ${TOO_MANY_ERRORS}; index++) { ${CONNECT} }`,
            error: "ECONNREFUSED",
        },
        { name: "something thrown that isn't an error", statement: "throw { odd: true };", error: "object" },
    ])("$name", async ({ statement, error }) => {
        await start(statement);
        process.kill(entry.process.pid!, CAUSE);
        vitest.expect(await entry.process.waitForExit()).toBe(EXIT_DEFECT);
        const last = entry.readLog().at(-1)!;
        vitest.expect(last).toMatchObject({ decision: "uncaught-error", level: 60 });
        vitest.expect(last["error"]).toContain(error);
        vitest.expect(last["id"]).toMatch(/^[0-9a-f]{12}$/);
    });
});
