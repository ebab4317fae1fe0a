/**
 * The command `status`: prints the status that a process reports on its admin address.
 */
import * as http from "node:http";
import * as byteCollectors from "../connection/ByteCollector";
import * as exitCodes from "./Exits";

const STATUS_TIMEOUT_MS = 5_000;

/** Prints the status, which is JSON; resolves to the exit code. */
export async function printStatus(address: string): Promise<number> {
    try {
        process.stdout.write(await fetchText(`http://${address}/status`));
        return exitCodes.EXIT_SUCCESS;
    }
    catch (error) {
        console.error(`${address}: ${error instanceof Error ? error.message : String(error)}`);
        return exitCodes.EXIT_FAILED;
    }
}

function fetchText(url: string): Promise<string> {
    return new Promise((resolve, reject) => {
        const request = http.get(url, { timeout: STATUS_TIMEOUT_MS }, response => {
            const collector = new byteCollectors.ByteCollector();
            response.on("data", (chunk: Buffer) => collector.add(chunk));
            response.on("end", () => resolve(collector.take().toString("utf8")));
        });
        request.on("timeout", () => request.destroy(new Error("timeout")));
        request.on("error", reject);
    });
}
