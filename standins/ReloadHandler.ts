/**
 * Whether a process handles SIGHUP, read from the kernel's description of it. Node.js itself handles SIGTERM and SIGINT, but
 * ends all the same; `EarlySignals` handles these just before SIGHUP.
 */
import * as fs from "node:fs";

/** The bit of SIGHUP in the kernel's masks of signals. */
const SIGHUP_BIT = 1n;

/** Whether the description, the content of `/proc/PID/status`, names a handler for SIGHUP. */
export function handlesReload(status: string): boolean {
    const mask = /^SigCgt:\s*(\w+)$/m.exec(status)?.[1] ?? "0";
    return (BigInt(`0x${mask}`) & SIGHUP_BIT) !== 0n;
}

/** Waits until a process has a handler for SIGHUP; rejects if it has ended. */
export async function waitForHandler(pid: number): Promise<void> {
    while (!handlesReload(fs.readFileSync(`/proc/${pid}/status`, "utf8"))) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
