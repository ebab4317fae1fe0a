/**
 * A child process of a test or experiment that can be killed, paused and restarted. All children are killed when the
 * harness that started them exits.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as readline from "node:readline";
import * as stream from "node:stream";

const runningChildren = new Set<childProcess.ChildProcess>();
/** Command prefix that makes the kernel kill the child when the harness is killed; used if setpriv is installed. */
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

/** Sets the limit on descriptors, given as the first argument, and becomes the program of the others. */
const LIMIT_DESCRIPTORS = ["/bin/sh", "-c", "ulimit -n \"$0\"; exec \"$@\""] as const;

/** A Node.js program that runs as a child process. */
export class FleetProcess {
    private child: childProcess.ChildProcess | undefined;
    private exitCode: Promise<number | undefined> = Promise.resolve(undefined);

    /** The standard output of all runs is appended to `logFile`. */
    constructor(
        private readonly args: readonly string[],
        private readonly logFile?: string,
        private readonly maxDescriptors?: number,
    ) {}

    /** Starts the process unless it is running. */
    start(): void {
        if (this.child !== undefined) {
            return;
        }
        const command = [
            ...(fs.existsSync(KILL_WITH_PARENT[0]) ? KILL_WITH_PARENT : []),
            ...(this.maxDescriptors === undefined ? [] : [...LIMIT_DESCRIPTORS, String(this.maxDescriptors)]),
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

    /** Reads one line of standard output; an empty string if the process isn't running or has a log file. */
    async readLine(): Promise<string> {
        const output = this.child?.stdout;
        if (!output) {
            return "";
        }
        return new Promise(resolve => readline.createInterface(output).once("line", resolve));
    }

    /** ID of the running process; undefined if it isn't running. */
    get pid(): number | undefined {
        return this.child?.pid;
    }

    /** Whether the process has been started and has neither exited nor been killed. */
    get isRunning(): boolean {
        return this.child !== undefined;
    }

    /** Standard output of the running process; undefined with a log file. */
    get output(): stream.Readable | undefined {
        return this.child?.stdout ?? undefined;
    }

    /** Kills the process with SIGKILL. */
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

    /** Makes the process reload its settings (SIGHUP). */
    reload(): void {
        this.child?.kill("SIGHUP");
    }

    /** Requests a planned stop. Resolves to the exit code, or to undefined if a signal ended the process. */
    terminate(signal: "SIGTERM" | "SIGINT" = "SIGTERM"): Promise<number | undefined> {
        this.child?.kill(signal);
        return this.exitCode;
    }

    /** Resolves to the exit code of the process started last, or to undefined if a signal ended it. */
    waitForExit(): Promise<number | undefined> {
        return this.exitCode;
    }
}
