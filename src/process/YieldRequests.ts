/**
 * Asks other agents of the service to confirm a configuration version, before keys that may have been theirs
 * are served here. Each question uses a connection of its own: it is rare, and mustn't wait for the mesh.
 */
import * as clocks from "../common/Clock";
import * as peerConnections from "../connection/PeerConnection";
import * as memberships from "./Membership";

const YIELD_TIMEOUT_MS = 3_000;

/** What the requests need from their process. */
export interface YieldOptions {
    readonly clock: clocks.Clock;
    readonly service: string;
    readonly find: (instance: string) => memberships.Member | undefined;
    readonly context: () => peerConnections.PeerContext;
}

/** Sends the questions. */
export class YieldRequests {
    constructor(private readonly options: YieldOptions) {}

    /** Asks one instance; "gone" only when the platform's list no longer names it. */
    async confirm(instance: string, version: number): Promise<"yielded" | "gone" | "unreachable"> {
        const member = this.options.find(instance);
        if (member === undefined) {
            return "gone";
        }
        const opened = await peerConnections.PeerConnection.open(member.address, this.options.context());
        if (opened.isErr) {
            return "unreachable";
        }
        const connection = opened.value;
        const timer = this.options.clock.schedule(YIELD_TIMEOUT_MS, () => connection.dispose());
        const confirmed = connection.remote.instance === instance && await this.ask(connection, version);
        timer.dispose();
        connection.dispose();
        return confirmed ? "yielded" : "unreachable";
    }

    private async ask(connection: peerConnections.PeerConnection, version: number): Promise<boolean> {
        connection.send({ kind: "yield", service: this.options.service, version });
        for (;;) {
            const envelope = await connection.next();
            if (envelope === undefined) {
                return false;
            }
            if (envelope.message.kind === "yielded") {
                return envelope.message.version >= version;
            }
        }
    }
}
