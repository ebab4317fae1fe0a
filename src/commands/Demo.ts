/**
 * The command `demo`: the whole system with stand-ins in one process, shown at work.
 */
import * as fs from "node:fs";
import * as callers from "../../standins/Caller";
import * as fleets from "../../standins/LocalFleet";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as configurations from "../common/Configuration";
import * as logs from "../common/Log";
import * as document from "./DemoConfiguration";
import * as exits from "./Exits";
import * as routedDemos from "./RoutedDemo";

const PIPELINE_PATH = "/v1/pipelines/report";
const BOOKING_PATH = "/v1/services/bookings/book";
const REMEMBERED_POLL_MS = 1_000;
const BACKGROUND_CALLS = 20;
const OUT_DOMAIN = "zone-b";

type Fleet = fleets.LocalFleet;

function print(text: string): void {
    fs.writeSync(1, `${text}\n`);
}

/** Prints the decisions of a process, and leaves its other log lines out. */
function createDecisionLog(instance: string, prints: () => boolean): logs.Log {
    return logs.createLog(instance, "info", line => {
        const record = JSON.parse(line) as Record<string, unknown>;
        if (record["decision"] !== undefined && prints()) {
            const { decision, request, stage, candidates, choice, reason } = record;
            print(`  decision ${JSON.stringify({ instance, decision, request, stage, candidates, choice, reason })}`);
        }
    });
}

/** Runs the demonstration; resolves to the exit code. */
export async function runDemo(): Promise<number> {
    const state = { printsDecisions: true };
    const fleet = await fleets.LocalFleet.start({
        configuration: document.demoConfiguration,
        entries: 2,
        random: Math.random,
        log: instance =>
            instance.startsWith("entry")
                ? createDecisionLog(instance, () => state.printsDecisions)
                : logs.silentLog,
        engineOptions: () => ({ msPerToken: 2, firstTokenMs: 20 }),
        plainOptions: () => ({ serviceMs: 5 }),
    });
    print(`started: ${fleet.entries.size} entries, ${fleet.agents.size} agents in 2 failure domains`);
    const results = [
        await showPipeline(fleet),
        await showStream(fleet),
        await showRefusal(fleet),
        await showAtMostOnce(fleet),
    ];
    state.printsDecisions = false;
    results.push(await showDomain(fleet));
    fleet.dispose();
    results.push(await routedDemos.showRoutedCalls(print));
    const failed = results.filter(succeeded => !succeeded).length;
    print(`demo: ${results.length - failed} passed, ${failed} failed`);
    return failed === 0 ? exits.EXIT_OK : exits.EXIT_UNUSABLE;
}

async function showPipeline(fleet: Fleet): Promise<boolean> {
    print("\n1. a pipeline of four stages");
    const reply = await callReport(fleet);
    printAnswer(reply);
    for (const stage of reply.answer?.stages ?? []) {
        print(`  stage ${JSON.stringify(stage)}`);
    }
    return reply.answer?.outcome === "completed";
}

async function showStream(fleet: Fleet): Promise<boolean> {
    print("\n2. the same pipeline, streamed");
    const reply = await callReport(fleet, { streams: true });
    print(`  ${reply.tokens.length} tokens: ${reply.tokens.slice(0, 6).map(({ token }) => token).join("")}...`);
    printAnswer(reply);
    const inOrder = reply.tokens.every(({ offset }, index) => offset === index);
    return reply.answer?.outcome === "completed" && inOrder && reply.tokens.length > 0;
}

async function showRefusal(fleet: Fleet): Promise<boolean> {
    print("\n3. a request for a team that isn't published");
    const reply = await callReport(fleet, { team: "nobody" });
    printAnswer(reply);
    return reply.answer?.outcome === "not-run";
}

async function showAtMostOnce(fleet: Fleet): Promise<boolean> {
    print("\n4. a booking sent twice with one idempotency key, through both entries");
    const first = await bookWhenRemembered(fleet);
    const second = await fleet.call("entry-2", first.call);
    [first.reply, second].forEach(printAnswer);
    const runs = countExecutions(fleet, "bookings");
    print(`  the upstreams ran it ${runs} time(s)`);
    return runs === 1 && [first.reply, second].every(reply => reply.answer?.outcome === "completed");
}

/** A key must be newer than the memory of its home by more than clocks may differ, so fresh agents refuse at first. */
async function bookWhenRemembered(
    fleet: Fleet,
): Promise<{ call: Omit<callers.EntryCall, "address">; reply: callers.EntryReply }> {
    for (let tries = 0;; tries++) {
        const call = { path: BOOKING_PATH, team: "bench", key: document.createTimeOrderedKey(), body: { frame: 12 } };
        const reply = await fleet.call("entry-1", call);
        if (reply.answer?.code !== codes.codes.keyTooOld.code) {
            return { call, reply };
        }
        if (tries === 0) {
            printAnswer(reply);
            print(
                "  as expected: the agents started just now, and a key could be older than they are, as far as clocks",
            );
            print("  may differ (5 s); trying again with new keys until they have run for that long");
        }
        await clocks.sleep(clocks.systemClock, REMEMBERED_POLL_MS);
    }
}

async function showDomain(fleet: Fleet): Promise<boolean> {
    print(`\n5. failure domain ${OUT_DOMAIN} out of service, and back`);
    const version = fleet.publish(draft => draft.failureDomains[OUT_DOMAIN]!.state = "out");
    await waitForVersion(fleet, version);
    const before = countWork(fleet);
    await callInBackground(fleet);
    const whileOut = countWork(fleet) - before;
    print(`  new work in ${OUT_DOMAIN} while out: ${whileOut}`);
    await waitForVersion(fleet, fleet.publish(draft => draft.failureDomains[OUT_DOMAIN]!.state = "in"));
    await callInBackground(fleet);
    const afterReturn = countWork(fleet) - before - whileOut;
    print(`  new work in ${OUT_DOMAIN} after its return: ${afterReturn}`);
    return whileOut === 0 && afterReturn > 0;
}

function callReport(
    fleet: Fleet,
    changes: Partial<Omit<callers.EntryCall, "address">> = {},
): Promise<callers.EntryReply> {
    const body = { prompt: "Describe the frame.", maxTokens: 40 };
    return fleet.call("entry-1", { path: PIPELINE_PATH, team: "bench", body, ...changes });
}

async function callInBackground(fleet: Fleet): Promise<void> {
    await Promise.all(Array.from({ length: BACKGROUND_CALLS }, () => callReport(fleet)));
}

async function waitForVersion(fleet: Fleet, version: number): Promise<void> {
    const processes = [...fleet.entries.values(), ...fleet.agents.values()];
    await fleet.waitFor(() => processes.every(process => process.version >= version));
}

function countWork(fleet: Fleet): number {
    const domain = (slots: configurations.UpstreamService["slots"]): string[] =>
        Object.entries(slots).filter(([, slot]) => slot.failureDomain === OUT_DOMAIN).map(([name]) => name);
    const names = Object.values(fleet.configuration.services).flatMap(service => domain(service.slots));
    return names.reduce((sum, name) => sum + fleet.upstreams.get(name)!.log.length, 0);
}

function countExecutions(fleet: Fleet, service: string): number {
    const slots = Object.keys(fleet.configuration.services[service]!.slots);
    return slots.reduce((sum, slot) => sum + fleet.upstreams.get(slot)!.log.length, 0);
}

function printAnswer(reply: callers.EntryReply): void {
    const { outcome, code, name, stage, detail, retryAfterMs } = reply.answer ?? {};
    print(`  answer ${JSON.stringify({ status: reply.status, outcome, code, name, stage, detail, retryAfterMs })}`);
}
