/**
 * One child process of a test or experiment, which can be killed, paused and started again. No child outlives
 * its harness.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as readline from "node:readline";

const runningChildren = new Set<childProcess.ChildProcess>();
/** Has the kernel kill a child whose harness was killed, where the machine has the program. */
const KILL_WITH_PARENT = ["/usr/bin/setpriv", "--pdeathsig", "KILL"] as const;

function killAll(): void {
    runningChildren.forEach(child => child.kill("SIGKILL"));
}

process.once("exit", killAll);
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
    process.once(signal, () => {
        killAll();
        process.exit(1);
    });
}

/** A Node.js program with its arguments. */
export class FleetProcess {
    private child: childProcess.ChildProcess | undefined;
    private exitCode: Promise<number | undefined> = Promise.resolve(undefined);

    /** `logFile` takes what the process prints, over all its starts. */
    constructor(private readonly args: readonly string[], private readonly logFile?: string) {}

    /** Starts the process, unless it runs. */
    start(): void {
        if (this.child !== undefined) {
            return;
        }
        const command = [
            ...(fs.existsSync(KILL_WITH_PARENT[0]) ? KILL_WITH_PARENT : []),
            process.execPath,
            ...this.args,
        ];
        const output = this.logFile === undefined ? "pipe" : fs.openSync(this.logFile, "a");
        const child = childProcess.spawn(command[0]!, command.slice(1), { stdio: ["ignore", output, "inherit"] });
        if (typeof output === "number") {
            fs.closeSync(output);
        }
        this.child = child;
        runningChildren.add(child);
        this.exitCode = new Promise(resolve =>
            child.once("exit", code => {
                runningChildren.delete(child);
                this.child = this.child === child ? undefined : this.child;
                resolve(code ?? undefined);
            })
        );
    }

    /** The first line that the process prints. */
    async readLine(): Promise<string> {
        const output = this.child?.stdout;
        if (!output) {
            return "";
        }
        return new Promise(resolve => readline.createInterface(output).once("line", resolve));
    }

    /** Whether the process has been started and hasn't ended. */
    get isRunning(): boolean {
        return this.child !== undefined;
    }

    /** Kills the process without any notice. */
    kill(): void {
        const child = this.child;
        this.child = undefined;
        child?.kill("SIGKILL");
    }

    pause(): void {
        this.child?.kill("SIGSTOP");
    }

    resume(): void {
        this.child?.kill("SIGCONT");
    }

    /** Says that the settings have changed. */
    reload(): void {
        this.child?.kill("SIGHUP");
    }

    /** Asks for a planned stop; resolves to the exit code, or undefined when a signal ended it. */
    terminate(): Promise<number | undefined> {
        this.child?.kill("SIGTERM");
        return this.exitCode;
    }

    /** Resolves when the process started last has ended. */
    async waitForExit(): Promise<void> {
        await this.exitCode;
    }
}
