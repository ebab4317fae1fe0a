/**
 * An entry in a separate process, so that it can be paused with signals.
 */
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as clocks from "../src/common/Clock";

const PROGRAM = "dist/cumincrank.cjs";
const POLL_INTERVAL_MS = 50;
const ADDRESS_SETTINGS = ["callerListen", "peerListen", "adminListen"] as const;

export class SeparateEntry implements clocks.Disposable {
    isPaused = false;
    private hasExited = false;

    private constructor(
        private readonly child: childProcess.ChildProcess,
        private readonly directory: string,
        readonly callerAddress: string,
        private readonly adminAddress: string,
    ) {
        child.once("exit", () => this.hasExited = true);
    }

    /** Starts an entry on free ports; resolves when it is connected to `agents` agents. Starts it again if it exits. */
    static async start(settings: Record<string, unknown>, agents: number): Promise<SeparateEntry> {
        for (;;) {
            const entry = await SeparateEntry.launch(settings);
            if (await entry.waitForConnections(agents)) {
                return entry;
            }
            entry.dispose();
        }
    }

    private static async launch(settings: Record<string, unknown>): Promise<SeparateEntry> {
        const addresses = await Promise.all(ADDRESS_SETTINGS.map(findFreeAddress));
        const listenSettings = Object.fromEntries(ADDRESS_SETTINGS.map((name, index) => [name, addresses[index]]));
        const directory = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-bench-"));
        const file = path.join(directory, "entry.yaml");
        const content = { role: "entry", logLevel: "silent", ...settings, ...listenSettings };
        fs.writeFileSync(file, JSON.stringify(content));
        const processArguments = [PROGRAM, "entry", "--settings", file];
        const child = childProcess.spawn(process.execPath, processArguments, { stdio: "ignore" });
        return new SeparateEntry(child, directory, addresses[0]!, addresses[2]!);
    }

    pause(): void {
        this.isPaused = true;
        this.child.kill("SIGSTOP");
    }

    resume(): void {
        this.isPaused = false;
        this.child.kill("SIGCONT");
    }

    dispose(): void {
        this.child.kill("SIGKILL");
        fs.rmSync(this.directory, { recursive: true });
    }

    /** Waits for the connections; false if the process exits, as it does if another process has taken a port. */
    private async waitForConnections(agents: number): Promise<boolean> {
        while (!this.hasExited && await this.countConnectedAgents() < agents) {
            await clocks.sleep(clocks.systemClock, POLL_INTERVAL_MS);
        }
        return !this.hasExited;
    }

    /** Counts the connected agents; 0 while the entry isn't ready. */
    private async countConnectedAgents(): Promise<number> {
        try {
            const response = await fetch(`http://${this.adminAddress}/status`);
            const status = await response.json() as { ready: boolean; agents: unknown[] };
            return status.ready ? status.agents.length : 0;
        }
        catch {
            return 0;
        }
    }
}

function findFreeAddress(): Promise<string> {
    return new Promise(resolve => {
        const server = net.createServer();
        server.listen(0, "127.0.0.1", () => {
            const { port } = server.address() as net.AddressInfo;
            server.close(() => resolve(`127.0.0.1:${port}`));
        });
    });
}
