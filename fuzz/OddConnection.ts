/**
 * A TCP connection on which given bytes are sent, whatever is answered.
 */
import * as net from "node:net";
import * as addresses from "../src/common/Address";
import * as clocks from "../src/common/Clock";

/** Pause between the parts, so that they arrive one by one. */
const PART_PAUSE_MS = 1;

/** What is sent, and what becomes of the connection then. */
export interface ConnectionInput {
    readonly parts: readonly Buffer[];
    readonly end: "half-close" | "reset" | "leave-open";
}

/** Opens a connection; errors are of no interest, since the other side may close it at any time. */
export function openConnection(address: string): net.Socket {
    const socket = net.connect(addresses.parseAddress(address));
    socket.on("error", () => undefined);
    socket.resume();
    return socket;
}

/** Sends the parts and ends the connection; resolves to the socket, which may be open. */
export async function sendParts(address: string, { parts, end }: ConnectionInput): Promise<net.Socket> {
    const socket = openConnection(address);
    for (const part of parts) {
        socket.write(part);
        await clocks.sleep(clocks.systemClock, PART_PAUSE_MS);
    }
    if (end === "half-close") {
        socket.end();
    }
    else if (end === "reset") {
        socket.resetAndDestroy();
    }
    return socket;
}
