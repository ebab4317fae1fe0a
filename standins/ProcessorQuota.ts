/**
 * Limits a process to a share of one core as a machine's quota does: `node dist/processor-quota.cjs PID SHARE`. When the
 * process has used its share of a period, it is stopped until the next one begins. Ends with the process that forked it.
 */
import * as fs from "node:fs";

const PERIOD_MS = 100;
const POLL_INTERVAL_MS = 2;
/** Clock ticks of /proc. */
const TICK_MS = 10;
/** Fields of /proc/PID/stat, counted from the one after the name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

const pid = Number(process.argv[2]);
const quotaMs = Number(process.argv[3]) * PERIOD_MS;
let periodStartMs = performance.now();
let usedAtStartMs = 0;
let isStopped = false;

/** Processor time of all threads so far; undefined once the process has ended. */
function readUsedMs(): number | undefined {
    try {
        const fields = fs.readFileSync(`/proc/${pid}/stat`, "utf8").split(") ")[1]!.split(" ");
        return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * TICK_MS;
    }
    catch {
        return undefined;
    }
}

function signal(name: "SIGSTOP" | "SIGCONT"): void {
    try {
        process.kill(pid, name);
        isStopped = name === "SIGSTOP";
    }
    catch {
        process.exit(0);
    }
}

function check(): void {
    const nowMs = performance.now();
    const usedMs = readUsedMs();
    if (usedMs === undefined) {
        process.exit(0);
    }
    if (nowMs - periodStartMs >= PERIOD_MS) {
        periodStartMs = nowMs;
        // As with a quota, what was used beyond the share of a period counts in the next one.
        usedAtStartMs = Math.min(usedMs, Math.max(usedAtStartMs + quotaMs, usedMs - quotaMs));
        if (isStopped) {
            signal("SIGCONT");
        }
    }
    else if (!isStopped && usedMs - usedAtStartMs >= quotaMs) {
        signal("SIGSTOP");
    }
}

usedAtStartMs = readUsedMs() ?? 0;
setInterval(check, POLL_INTERVAL_MS);
process.on("disconnect", () => {
    signal("SIGCONT");
    process.exit(0);
});
