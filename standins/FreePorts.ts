/**
 * Ports for processes that must come back on the same ones: below the range from which the system takes the
 * ports of outgoing connections.
 */
import * as net from "node:net";

const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Distance between the first tries of two harness processes. */
const PORTS_PER_PID = 97;

let probedCount = 0;

/** Ports that nothing listens on now; none is given twice by this process. */
export async function findFreePorts(count: number): Promise<number[]> {
    const found: number[] = [];
    while (found.length < count) {
        const port = FIRST_PORT + (process.pid * PORTS_PER_PID + probedCount++) % PORT_COUNT;
        if (await isFree(port)) {
            found.push(port);
        }
    }
    return found;
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
