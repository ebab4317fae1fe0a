/**
 * Child processes of an experiment, which it terminates by their process ID.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as readline from "node:readline";
import * as clocks from "../src/common/Clock";

/** Preloaded script that collects garbage on SIGUSR2, so that the size of the live heap can be read. */
const GC_SCRIPT = "process.on(\"SIGUSR2\", () => globalThis.gc());\n";

/** Starts programs, and terminates all of them on disposal. */
export class Programs implements clocks.Disposable {
    private readonly directory = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-bench-"));
    private readonly children: childProcess.ChildProcess[] = [];

    /** Runs `script` with node, and passes each line of its standard output to `onLine`. */
    start(script: string, args: readonly string[], onLine?: (line: string) => void): childProcess.ChildProcess {
        const gcScript = this.writeFile("collect.cjs", GC_SCRIPT);
        const profileDirectory = process.env["BENCH_CPU_PROFILE"];
        const profileOptions = profileDirectory === undefined
            ? []
            : ["--cpu-prof", `--cpu-prof-dir=${profileDirectory}`];
        const nodeArguments = ["--expose-gc", "--require", gcScript, ...profileOptions, script, ...args];
        const child = childProcess.spawn(process.execPath, nodeArguments, { stdio: ["ignore", "pipe", "inherit"] });
        this.children.push(child);
        if (onLine === undefined) {
            child.stdout.resume();
        }
        else {
            readline.createInterface({ input: child.stdout }).on("line", onLine);
        }
        return child;
    }

    /** Runs a program that prints `ready ADDRESS` when it listens; resolves to the address. */
    startServer(script: string, args: readonly string[]): Promise<string> {
        return new Promise(resolve => {
            this.start(script, args, line => {
                if (line.startsWith("ready ")) {
                    resolve(line.slice("ready ".length));
                }
            });
        });
    }

    /** Writes a temporary file; returns its path. */
    writeFile(name: string, content: string): string {
        const file = path.join(this.directory, name);
        fs.writeFileSync(file, content);
        return file;
    }

    dispose(): void {
        this.children.forEach(child => child.kill("SIGTERM"));
        fs.rmSync(this.directory, { recursive: true });
    }
}

/** Finds an address on 127.0.0.1 with a free port; another process may still take the port. */
export function findFreeAddress(): Promise<string> {
    return new Promise(resolve => {
        const server = net.createServer().listen(0, "127.0.0.1", () => {
            const { port } = server.address() as net.AddressInfo;
            server.close(() => resolve(`127.0.0.1:${port}`));
        });
    });
}
