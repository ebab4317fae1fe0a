/**
 * Starts an endless peer in a process of its own, so that its writes don't delay the event loop of the test.
 */
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as clocks from "../src/common/Clock";
import * as plans from "./EndlessPlan";

/** One faulty peer. */
export class EndlessPeerProcess implements clocks.Disposable {
    private latest: plans.Progress = { connections: 0, openedConnections: 0, answeredRequests: 0, sentBytes: 0 };

    private constructor(private readonly child: childProcess.ChildProcess, readonly address: string) {
        child.on("message", progress => this.latest = progress as plans.Progress);
    }

    /** Starts the process; a server listens then, a client waits for `begin`. */
    static async start(plan: plans.Plan): Promise<EndlessPeerProcess> {
        const child = childProcess.fork(path.resolve("dist/endless-peer.cjs"));
        child.send(plan);
        const { address } = await new Promise<plans.Listening>(resolve => child.once("message", resolve));
        return new EndlessPeerProcess(child, address);
    }

    /** Makes a client open its connections, or a server answer itself, by default as planned. */
    begin(answers?: plans.Answers): void {
        this.child.send({ kind: "begin", answers } satisfies plans.Command);
    }

    /** Makes a server that has answered relay again. */
    relay(): void {
        this.child.send({ kind: "relay" } satisfies plans.Command);
    }

    /** What the peer has sent so far. */
    get progress(): plans.Progress {
        return this.latest;
    }

    dispose(): void {
        this.child.kill("SIGKILL");
    }
}
