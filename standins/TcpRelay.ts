/**
 * Stands in for the network between two processes: relays TCP connections to one target, and can hold back
 * what is under way or cut it off.
 */
import * as net from "node:net";
import * as clocks from "../src/common/Clock";

/** `hold` keeps bytes and new connections until the next `pass`; `cut` resets connections and refuses new ones. */
export type RelayMode = "pass" | "hold" | "cut";

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
        from.on("data", chunk => to.write(chunk));
        from.on("end", () => to.end());
        from.on("error", () => this.end(link));
        from.on("close", () => this.end(link));
    }

    private apply(link: Link): void {
        const { near, far } = link;
        if (this.relayMode === "cut") {
            this.end(link);
        }
        else if (this.relayMode === "hold") {
            near.pause();
            far.pause();
        }
        else {
            near.resume();
            far.resume();
        }
    }

    private end(link: Link): void {
        if (this.links.delete(link)) {
            link.near.destroySoon();
            link.far.destroySoon();
        }
    }
}
