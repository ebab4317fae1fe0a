/**
 * Stands in for the network between two processes: relays TCP connections to one target, and can hold back
 * what is under way or cut it off.
 */
import * as net from "node:net";
import * as clocks from "../src/common/Clock";

/**
 * `hold` keeps bytes until the next `pass`, `hold-requests` and `hold-answers` those of one direction; `cut` ends
 * connections and refuses new ones, `reset` does so without an orderly end.
 */
export type RelayMode = "pass" | "hold" | "hold-requests" | "hold-answers" | "cut" | "reset";

/** One relayed connection. */
interface Link {
    readonly near: net.Socket;
    readonly far: net.Socket;
}

/** Relays to one target on 127.0.0.1. */
export class TcpRelay implements clocks.Disposable {
    private readonly links = new Set<Link>();
    private readonly server: net.Server;
    private relayMode: RelayMode = "pass";
    /** What each part of a message waits before it goes on, in milliseconds. */
    delayMs = 0;
    private port = 0;

    private constructor(private readonly targetPort: number) {
        this.server = net.createServer({ allowHalfOpen: true }, socket => this.accept(socket));
    }

    /** Listens on a free port. */
    static async listen(targetPort: number): Promise<TcpRelay> {
        const relay = new TcpRelay(targetPort);
        await new Promise<void>(resolve => relay.server.listen(0, "127.0.0.1", resolve));
        relay.port = (relay.server.address() as net.AddressInfo).port;
        return relay;
    }

    /** IP number and port. */
    get address(): string {
        return `127.0.0.1:${this.port}`;
    }

    set mode(mode: RelayMode) {
        this.relayMode = mode;
        for (const link of [...this.links]) {
            this.apply(link);
        }
    }

    dispose(): void {
        this.mode = "cut";
        this.server.close();
    }

    private accept(near: net.Socket): void {
        const far = net.connect({ host: "127.0.0.1", port: this.targetPort, allowHalfOpen: true });
        const link: Link = { near, far };
        this.links.add(link);
        near.setNoDelay(true);
        far.setNoDelay(true);
        this.forward(link, near, far);
        this.forward(link, far, near);
        this.apply(link);
    }

    private forward(link: Link, from: net.Socket, to: net.Socket): void {
        const waiting: (() => void)[] = [];
        const later = (act: () => void): void => {
            if (this.delayMs === 0 && waiting.length === 0) {
                act();
                return;
            }
            // Whichever timer fires first lets the oldest part go, so that a shorter delay doesn't change the order.
            waiting.push(act);
            setTimeout(() => waiting.shift()!(), this.delayMs);
        };
        from.on("data", chunk => later(() => to.write(chunk)));
        from.on("end", () => later(() => to.end()));
        from.on("error", () => this.end(link));
        from.on("close", () => this.end(link));
    }

    private apply(link: Link): void {
        if (this.relayMode === "cut" || this.relayMode === "reset") {
            this.end(link);
            return;
        }
        flow(link.near, this.relayMode !== "hold" && this.relayMode !== "hold-requests");
        flow(link.far, this.relayMode !== "hold" && this.relayMode !== "hold-answers");
    }

    private end(link: Link): void {
        if (!this.links.delete(link)) {
            return;
        }
        for (const socket of [link.near, link.far]) {
            if (this.relayMode === "reset") {
                socket.resetAndDestroy();
            }
            else {
                socket.destroySoon();
            }
        }
    }
}

function flow(socket: net.Socket, isOpen: boolean): void {
    if (isOpen) {
        socket.resume();
    }
    else {
        socket.pause();
    }
}
