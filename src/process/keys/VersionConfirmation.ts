/**
 * Asks other agents of the service to confirm a configuration version, before this agent serves keys whose home
 * they may have been. Requests are rare; each opens its own connection so as not to wait for the peer mesh.
 */
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";
import * as peerConnections from "../../connection/PeerConnection";
import * as memberships from "../membership/Membership";
import * as homeClaims from "./HomeClaim";

const CONFIRM_TIMEOUT_MS = 3_000;

/** Options of version confirmation. */
export interface VersionConfirmationOptions {
    readonly clock: clocks.Clock;
    readonly findMember: (instance: string) => memberships.Member | undefined;
    readonly createContext: () => peerConnections.PeerContext;
}

/** Sends confirmation requests. */
export class VersionConfirmation {
    private nextToken = 1;

    constructor(private readonly options: VersionConfirmationOptions) {}

    /**
     * Asks one instance. Returns "gone" only if the platform's list no longer contains it, and "unchanged" if its
     * slots are the same since `sinceVersion`.
     */
    async confirm(instance: string, version: number, sinceVersion: number): Promise<homeClaims.ConfirmationResult> {
        const member = this.options.findMember(instance);
        if (member === undefined) {
            return "gone";
        }
        const openResult = await peerConnections.PeerConnection.open(member.address, this.options.createContext());
        if (openResult.isErr) {
            return "unreachable";
        }
        const connection = openResult.value;
        const timer = this.options.clock.schedule(CONFIRM_TIMEOUT_MS, () => connection.dispose());
        const reply = connection.remote.instance === instance
            ? await this.requestConfirmation(connection, version)
            : undefined;
        timer.dispose();
        connection.dispose();
        if (reply === undefined) {
            return "unreachable";
        }
        return (reply.slotsVersion ?? Infinity) <= sinceVersion ? "unchanged" : "yielded";
    }

    private async requestConfirmation(
        connection: peerConnections.PeerConnection,
        version: number,
    ): Promise<messages.Confirmed | undefined> {
        const token = this.nextToken++;
        connection.send({ kind: "confirm", token, version });
        for (let envelope = await connection.next(); envelope !== undefined; envelope = await connection.next()) {
            if (envelope.message.kind === "confirmed" && envelope.message.token === token) {
                // A peer with a newer version may have a slot change that this process hasn't received yet.
                const isAcceptable = envelope.version >= version
                    && envelope.version <= this.options.createContext().version();
                return isAcceptable ? envelope.message : undefined;
            }
        }
        return undefined;
    }
}
