/**
 * Asks other agents of the service to confirm a configuration version, before keys that may have been theirs
 * are served here. Each question uses a connection of its own: it is rare, and mustn't wait for the mesh.
 */
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";
import * as peerConnections from "../../connection/PeerConnection";
import * as memberships from "../membership/Membership";
import * as homeClaims from "./HomeClaim";

const CONFIRM_TIMEOUT_MS = 3_000;

/** What the questions need from their process. */
export interface ConfirmationOptions {
    readonly clock: clocks.Clock;
    readonly find: (instance: string) => memberships.Member | undefined;
    readonly context: () => peerConnections.PeerContext;
}

/** Sends the questions. */
export class VersionConfirmation {
    private nextToken = 1;

    constructor(private readonly options: ConfirmationOptions) {}

    /**
     * Asks one instance; "gone" only when the platform's list no longer names it. "unchanged" when its slots have
     * been the same from version `since` on.
     */
    async confirm(instance: string, version: number, since: number): Promise<homeClaims.Confirmation> {
        const member = this.options.find(instance);
        if (member === undefined) {
            return "gone";
        }
        const opened = await peerConnections.PeerConnection.open(member.address, this.options.context());
        if (opened.isErr) {
            return "unreachable";
        }
        const connection = opened.value;
        const timer = this.options.clock.schedule(CONFIRM_TIMEOUT_MS, () => connection.dispose());
        const confirmed = connection.remote.instance === instance ? await this.ask(connection, version) : undefined;
        timer.dispose();
        connection.dispose();
        if (confirmed === undefined) {
            return "unreachable";
        }
        return (confirmed.slotsVersion ?? Infinity) <= since ? "unchanged" : "yielded";
    }

    private async ask(
        connection: peerConnections.PeerConnection,
        version: number,
    ): Promise<messages.Confirmed | undefined> {
        const token = this.nextToken++;
        connection.send({ kind: "confirm", token, version });
        for (let envelope = await connection.next(); envelope !== undefined; envelope = await connection.next()) {
            if (envelope.message.kind === "confirmed" && envelope.message.token === token) {
                // A peer that is ahead may know of a change that this process has yet to see.
                const isInStep = envelope.version >= version && envelope.version <= this.options.context().version();
                return isInStep ? envelope.message : undefined;
            }
        }
        return undefined;
    }
}
