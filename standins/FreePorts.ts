/**
 * Finds ports for processes that restart on the same ports. They lie below the ephemeral range, so that no outgoing
 * connection occupies one in the meantime.
 */
import * as net from "node:net";

const FIRST_PORT = 10_000;
const PORT_COUNT = 20_000;
/** Distance between the ports at which harness processes with consecutive process IDs start to probe. */
const PORT_STEP_PER_PID = 97;

let probedCount = 0;

/** Finds ports on which nothing listens; no port is returned twice within a process. */
export async function findFreePorts(count: number): Promise<number[]> {
    const freePorts: number[] = [];
    while (freePorts.length < count) {
        const port = FIRST_PORT + (process.pid * PORT_STEP_PER_PID + probedCount++) % PORT_COUNT;
        if (await isFree(port)) {
            freePorts.push(port);
        }
    }
    return freePorts;
}

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = net.createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}
