/**
 * The command `status`: prints the status that a process reports on its admin address.
 */
import * as httpRequests from "../process/adapters/HttpRequest";
import * as exitCodes from "./Exits";

const STATUS_TIMEOUT_MS = 5_000;
const MAX_STATUS_BYTES = 64 * 1024 * 1024;
const STATUS_REQUEST: httpRequests.Request = {
    method: "GET",
    path: "/status",
    timeoutMs: STATUS_TIMEOUT_MS,
    maxResponseBytes: MAX_STATUS_BYTES,
    usesFreshConnection: true,
};

/** Prints the status, which is JSON; resolves to the exit code. */
export async function printStatus(address: string): Promise<number> {
    const client = httpRequests.createClient(address);
    const reply = await httpRequests.send(client, STATUS_REQUEST, new AbortController().signal);
    if (reply.isErr) {
        console.error(`${address}: ${reply.error.code.name}: ${reply.error.detail}`);
        return exitCodes.EXIT_FAILED;
    }
    process.stdout.write(reply.value.body);
    return exitCodes.EXIT_SUCCESS;
}
