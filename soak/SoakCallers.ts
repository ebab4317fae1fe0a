/**
 * Callers of a soak: each sends one call after the other on kept connections, to entries at random.
 */
import * as http from "node:http";
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as fleets from "../standins/platform/RoutedFleet";
import * as checks from "./SoakChecks";
import * as soakFleets from "./SoakFleet";
import * as histories from "./SoakHistory";

/** What a caller waits for its answer, in milliseconds. */
export const DEADLINE_MS = 4_000;
/** Time after which a caller closes a call that got no answer at all, in milliseconds. */
const GIVE_UP_MS = DEADLINE_MS + 3_000;
const PAUSE_MS = 60;
/** Share of calls that ask for a configuration's own route. */
const PROBE_SHARE = 0.1;

/** Sends calls until it is stopped. */
export class SoakCaller {
    private readonly agent = new http.Agent({ keepAlive: true });
    private isStopped = false;
    private nextCall = 1;

    constructor(
        private readonly name: string,
        private readonly fleet: soakFleets.SoakFleet,
        private readonly random: randoms.Random,
    ) {}

    async run(): Promise<void> {
        while (!this.isStopped) {
            this.fleet.history.calls.push(await this.call());
            await clocks.sleep(clocks.systemClock, PAUSE_MS * this.random() * 2);
        }
        this.agent.destroy();
    }

    stop(): void {
        this.isStopped = true;
    }

    private call(): Promise<histories.SoakCall> {
        const route = this.drawRoute();
        const entry = Math.floor(this.random() * this.fleet.entries.length);
        const attempt = `${this.name}-${this.nextCall++}`;
        const call: histories.SoakCall = {
            attempt,
            route,
            entry,
            path: `/${route}/${attempt}`,
            sentMs: clocks.systemClock.now(),
            endedMs: 0,
            body: "",
            isWhole: false,
            hasRetryAfter: false,
        };
        return new Promise(resolve => {
            const end = (): void => {
                clearTimeout(timer);
                call.endedMs ||= clocks.systemClock.now();
                resolve(call);
            };
            const outgoing = this.send(call, end);
            const timer = setTimeout(() => outgoing.destroy(), GIVE_UP_MS);
            outgoing.on("error", end);
            outgoing.on("close", end);
        });
    }

    private send(call: histories.SoakCall, end: () => void): http.ClientRequest {
        const [host, port] = this.fleet.entries[call.entry]!.callers.split(":");
        const staged = call.route === "staged" ? fleets.STAGED_HEADERS : fleets.PROMPT_HEADERS;
        const headers = {
            Host: "desk.example",
            "Attempt-Id": call.attempt,
            "Deadline-Ms": String(DEADLINE_MS),
            Authorization: `Token ${fleets.TEAM_KEY}`,
            ...staged,
        };
        const options = { host, port, method: "POST", path: call.path, headers, agent: this.agent };
        const outgoing = http.request(options, response => {
            call.status = response.statusCode;
            call.stamp = response.headers["route-stamp"] as string | undefined;
            call.hasRetryAfter = response.headers["retry-after"] !== undefined;
            const isFramed = response.headers["content-length"] !== undefined
                || response.headers["transfer-encoding"] === "chunked";
            response.on("data", (chunk: Buffer) => call.body += chunk.toString("utf8"));
            response.on("error", end);
            response.on("close", () => {
                call.isWhole = response.complete && isFramed;
                end();
            });
        });
        outgoing.end("body");
        return outgoing;
    }

    private drawRoute(): string {
        if (this.random() < PROBE_SHARE) {
            const newest = this.fleet.newestVersion;
            const version = this.random() < 0.5 ? newest : Math.max(1, newest - 1);
            return checks.routeOfVersion(version);
        }
        return histories.KINDS[Math.floor(this.random() * histories.KINDS.length)]!;
    }
}
