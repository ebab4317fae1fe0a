/**
 * A caller of a soak: sends one call after another to random entries, on keep-alive connections.
 */
import * as http from "node:http";
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as routedFleets from "../standins/platform/RoutedFleet";
import * as checks from "./SoakChecks";
import * as soakEngines from "./SoakEngines";
import * as soakFleets from "./SoakFleet";
import * as histories from "./SoakHistory";

/** The deadline that a caller sets for each call. */
export const CALL_DEADLINE_MS = 4_000;
/** Time after which a caller closes the connection of an unfinished call. */
const CLIENT_TIMEOUT_MS = CALL_DEADLINE_MS + 3_000;
const MEAN_PAUSE_MS = 60;
/** The same between calls that crash engines. */
const MEAN_CRASH_PAUSE_MS = 500;
/** Largest number of attempts to resume a stream. */
const MAX_RESUMPTIONS = 3;
/** Share of calls to a route that only one configuration version has. */
const VERSION_ROUTE_SHARE = 0.1;

/** A prompt with the part that crashes engines; its other parts are those of sound prompts too. */
const CRASH_PROMPT = { ...routedFleets.PROMPT_HEADERS, "Prefix-Hash": `5c:800,${soakEngines.CRASH_PART}:410,e4:250` };
/** The route of the calls with such prompts, which aren't resumed. */
const CRASH_ROUTE = "once";
/** Share of the calls that crash engines which are the same request again, and its route and path. */
const REPEATED_SHARE = 0.5;
const REPEATED_ROUTE = "look";
const REPEATED_PATH = "/look/again";

/** Sends calls until it is stopped, and records them in the history. */
export class SoakCaller {
    private readonly agent = new http.Agent({ keepAlive: true });
    private isStopped = false;
    private nextCallNumber = 1;

    constructor(
        private readonly name: string,
        private readonly fleet: soakFleets.SoakFleet,
        private readonly random: randoms.Random,
        /** Whether it sends only calls that crash engines. */
        private readonly isCrashing = false,
    ) {}

    async run(): Promise<void> {
        while (!this.isStopped) {
            await this.runWithResumptions();
            const meanPauseMs = this.isCrashing ? MEAN_CRASH_PAUSE_MS : MEAN_PAUSE_MS;
            await clocks.sleep(clocks.systemClock, meanPauseMs * this.random() * 2);
        }
        this.agent.destroy();
    }

    stop(): void {
        this.isStopped = true;
    }

    /** Sends a call, and resumes a stream that breaks, each time at a random entry. */
    private async runWithResumptions(): Promise<void> {
        const first = await this.runCall(this.drawRoute(), undefined);
        this.fleet.history.calls.push(first);
        let lastEventId = checks.lastEventIdOf(first);
        let latest = first;
        for (let count = 0; count < MAX_RESUMPTIONS && isBrokenStream(latest, lastEventId); count++) {
            latest = await this.runCall(first.route, { firstAttempt: first.attempt, lastEventId: lastEventId! });
            this.fleet.history.calls.push(latest);
            lastEventId = checks.lastEventIdOf(latest) ?? lastEventId;
        }
    }

    private runCall(route: string, resumes: histories.SoakCall["resumes"]): Promise<histories.SoakCall> {
        const entry = Math.floor(this.random() * this.fleet.entries.length);
        const attempt = `${this.name}-${this.nextCallNumber++}`;
        const isRepeated = this.isCrashing && route === REPEATED_ROUTE;
        const call: histories.SoakCall = {
            attempt,
            route,
            entry,
            path: isRepeated ? REPEATED_PATH : `/${route}/${attempt}`,
            sentMs: clocks.systemClock.now(),
            endedMs: 0,
            body: "",
            isWhole: false,
            hasRetryAfter: false,
            isCrashing: this.isCrashing,
            isRepeated,
            resumes,
        };
        return new Promise(resolve => {
            const finish = (): void => {
                clearTimeout(timer);
                call.endedMs ||= clocks.systemClock.now();
                resolve(call);
            };
            const request = this.sendRequest(call, finish);
            const timer = setTimeout(() => request.destroy(), CLIENT_TIMEOUT_MS);
            request.on("error", finish);
            request.on("close", finish);
        });
    }

    private sendRequest(call: histories.SoakCall, finish: () => void): http.ClientRequest {
        const [host, port] = this.fleet.entries[call.entry]!.callerAddress.split(":");
        const promptHeaders = this.isCrashing && call.isRepeated !== true ? CRASH_PROMPT : routedFleets.PROMPT_HEADERS;
        const kindHeaders = call.route === "staged" ? routedFleets.STAGED_HEADERS : promptHeaders;
        const headers = {
            Host: "desk.example",
            "Attempt-Id": call.attempt,
            "Deadline-Ms": String(CALL_DEADLINE_MS),
            Authorization: `Token ${routedFleets.TEAM_KEY}`,
            ...kindHeaders,
            ...(call.resumes === undefined
                ? {}
                : { "Last-Event-Id": String(call.resumes.lastEventId), Resumes: call.resumes.firstAttempt }),
        };
        const options = { host, port, method: "POST", path: call.path, headers, agent: this.agent };
        const request = http.request(options, response => {
            call.status = response.statusCode;
            call.stamp = response.headers["route-stamp"] as string | undefined;
            call.hasRetryAfter = response.headers["retry-after"] !== undefined;
            const isFramed = response.headers["content-length"] !== undefined
                || response.headers["transfer-encoding"] === "chunked";
            response.on("data", (chunk: Buffer) => call.body += chunk.toString("utf8"));
            response.on("error", finish);
            response.on("close", () => {
                call.isWhole = response.complete && isFramed;
                finish();
            });
        });
        request.end(call.isRepeated === true ? soakEngines.CRASH_BODY : "body");
        return request;
    }

    private drawRoute(): string {
        if (this.isCrashing) {
            return this.random() < REPEATED_SHARE ? REPEATED_ROUTE : CRASH_ROUTE;
        }
        if (this.random() < VERSION_ROUTE_SHARE) {
            const newest = this.fleet.newestVersion;
            const version = this.random() < 0.5 ? newest : Math.max(1, newest - 1);
            return checks.routeOfVersion(version);
        }
        return histories.CALL_KINDS[Math.floor(this.random() * histories.CALL_KINDS.length)]!;
    }
}

/** Whether a stream that may be resumed has begun and is incomplete. */
function isBrokenStream(latest: histories.SoakCall, lastEventId: number | undefined): boolean {
    const isComplete = latest.status === 200 && latest.isWhole;
    return latest.route === histories.RESUMABLE_KIND && lastEventId !== undefined && !isComplete;
}
