/**
 * Asks other agents of the service to confirm a configuration version, before keys that may have been theirs
 * are served here. Each question uses a connection of its own: it is rare, and mustn't wait for the mesh.
 */
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";
import * as peerConnections from "../../connection/PeerConnection";
import * as memberships from "../membership/Membership";
import * as keyHandovers from "./KeyHandover";

const CONFIRM_TIMEOUT_MS = 3_000;

/** What the questions need from their process. */
export interface VersionConfirmationOptions {
    readonly clock: clocks.Clock;
    readonly findMember: (instance: string) => memberships.Member | undefined;
    readonly createContext: () => peerConnections.PeerContext;
}

/** Sends the questions. */
export class VersionConfirmation {
    private nextToken = 1;

    constructor(private readonly options: VersionConfirmationOptions) {}

    /**
     * Asks one instance; "gone" only when the platform's list no longer names it. "unchanged" when its slots have
     * been the same from version `since` on.
     */
    async confirm(instance: string, version: number, sinceVersion: number): Promise<keyHandovers.ConfirmationResult> {
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
                // A peer that is ahead may know of a change that this process has yet to see.
                const isAcceptable = envelope.version >= version
                    && envelope.version <= this.options.createContext().version();
                return isAcceptable ? envelope.message : undefined;
            }
        }
        return undefined;
    }
}
