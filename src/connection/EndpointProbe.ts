/**
 * Finds out whether a process still listens at an address, without sending it anything.
 */
import * as net from "node:net";
import * as addresses from "../common/Address";
import * as clocks from "../common/Clock";

const TIMEOUT_MS = 500;

/** `refused`: the machine answers and nothing listens there. `unknown`: there was no answer. */
export type EndpointState = "listening" | "refused" | "unknown";

/** Opens a connection and closes it at once. Never rejects. */
export function probeEndpoint(address: string, clock: clocks.Clock): Promise<EndpointState> {
    const { host, port } = addresses.parseAddress(address);
    if (!addresses.isConnectable({ host, port })) {
        return Promise.resolve("unknown");
    }
    return new Promise(resolve => {
        const socket = net.connect(port, host);
        const timer = clock.schedule(TIMEOUT_MS, () => finish("unknown"));
        socket.once("connect", () => finish("listening"));
        socket.once(
            "error",
            (error: NodeJS.ErrnoException) => finish(error.code === "ECONNREFUSED" ? "refused" : "unknown"),
        );
        function finish(state: EndpointState): void {
            timer.dispose();
            socket.destroy();
            resolve(state);
        }
    });
}
