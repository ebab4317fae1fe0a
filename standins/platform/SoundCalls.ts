/**
 * Calls at an even rate that must all be served, and what became of them.
 */
import * as http from "node:http";
import * as addresses from "../../src/common/Address";
import * as clocks from "../../src/common/Clock";
import * as routedFleets from "./RoutedFleet";

/** Interval of the calls, about 17 a second. */
const INTERVAL_MS = 60;
/** A call without an answer by then counts as hung. */
const TIMEOUT_MS = 5_000;
const DEADLINE_MS = 5_000;

/** What the calls are made with. */
export interface SoundCallOptions {
    /** Address of the entry; read for each call, since an entry may start again elsewhere. */
    readonly address: string;
    readonly path: string;
    readonly durationMs: number;
}

/** What became of the calls. */
export interface SoundReport {
    readonly calls: number;
    /** Number of calls by what they got in place of a complete answer with status 200. */
    readonly failures: Readonly<Record<string, number>>;
    readonly slowestMs: number;
}

/** The status of a complete answer; otherwise `hung`, `cut short`, or the error of the connection. */
type Outcome = number | string;

/** Makes calls for `durationMs`, every other one on a kept connection; resolves when all have ended. */
export async function makeSoundCalls(options: SoundCallOptions): Promise<SoundReport> {
    const { durationMs } = options;
    const agent = new http.Agent({ keepAlive: true });
    const failures: Record<string, number> = {};
    const pending: Promise<void>[] = [];
    let slowestMs = 0;
    const untilMs = clocks.systemClock.now() + durationMs;
    while (clocks.systemClock.now() < untilMs) {
        const startedMs = clocks.systemClock.now();
        const isKept = pending.length % 2 === 0;
        pending.push(
            makeCall(options, isKept ? agent : undefined).then(outcome => {
                slowestMs = Math.max(slowestMs, Math.round(clocks.systemClock.now() - startedMs));
                if (outcome !== 200) {
                    failures[outcome] = (failures[outcome] ?? 0) + 1;
                }
            }),
        );
        await clocks.sleep(clocks.systemClock, INTERVAL_MS);
    }
    await Promise.all(pending);
    agent.destroy();
    return { calls: pending.length, failures, slowestMs };
}

let nextAttempt = 1;

function makeCall({ address, path }: SoundCallOptions, agent: http.Agent | undefined): Promise<Outcome> {
    const headers = {
        Host: "desk.example",
        "Attempt-Id": `sound-${process.pid}-${nextAttempt++}`,
        "Deadline-Ms": String(DEADLINE_MS),
        Authorization: `Token ${routedFleets.TEAM_KEY}`,
        "Content-Length": "4",
    };
    const signal = AbortSignal.timeout(TIMEOUT_MS);
    const target = addresses.parseAddress(address);
    return new Promise(resolve => {
        const request = http.request(
            { ...target, method: "POST", path, headers, agent: agent ?? false, signal },
            response => {
                response.resume();
                response.on("error", () => undefined); // Reported by its close.
                response.on("close", () => resolve(response.complete ? response.statusCode ?? 0 : "cut short"));
            },
        );
        request.on(
            "error",
            (error: NodeJS.ErrnoException) => resolve(signal.aborted ? "hung" : error.code ?? "no answer"),
        );
        request.end("body");
    });
}
