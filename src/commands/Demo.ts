/**
 * The command `demo`: runs the complete system with stand-ins in one process and demonstrates its main functions.
 */
import * as fs from "node:fs";
import * as callers from "../../standins/Caller";
import * as fleets from "../../standins/LocalFleet";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as configurations from "../common/Configuration";
import * as logs from "../common/Log";
import * as demoConfigurations from "./DemoConfiguration";
import * as exitCodes from "./Exits";
import * as routedDemos from "./RoutedDemo";

const PIPELINE_PATH = "/v1/pipelines/report";
const BOOKING_PATH = "/v1/services/bookings/book";
const NEW_KEY_INTERVAL_MS = 1_000;
const CONCURRENT_CALLS = 20;
const OUT_OF_SERVICE_DOMAIN = "zone-b";

type Fleet = fleets.LocalFleet;

function print(text: string): void {
    fs.writeSync(1, `${text}\n`);
}

/** Creates a log that prints the decisions of a process and drops all other lines. */
function createDecisionLog(instance: string, isEnabled: () => boolean): logs.Log {
    return logs.createLog(instance, "info", line => {
        const record = JSON.parse(line) as Record<string, unknown>;
        if (record["decision"] !== undefined && isEnabled()) {
            const { decision, request, stage, candidates, choice, reason } = record;
            print(`  decision ${JSON.stringify({ instance, decision, request, stage, candidates, choice, reason })}`);
        }
    });
}

/** Runs the demonstration; resolves to the exit code. */
export async function runDemo(): Promise<number> {
    const state = { isPrintingDecisions: true };
    const fleet = await fleets.LocalFleet.start({
        configuration: demoConfigurations.demoConfiguration,
        entries: 2,
        random: Math.random,
        log: instance =>
            instance.startsWith("entry")
                ? createDecisionLog(instance, () => state.isPrintingDecisions)
                : logs.silentLog,
        engineOptions: () => ({ msPerToken: 2, firstTokenMs: 20 }),
        plainOptions: () => ({ serviceMs: 5 }),
    });
    print(`started: ${fleet.entries.size} entries, ${fleet.agents.size} agents in 2 failure domains`);
    const results = [
        await showPipeline(fleet),
        await showStream(fleet),
        await showRejection(fleet),
        await showAtMostOnce(fleet),
    ];
    state.isPrintingDecisions = false;
    results.push(await showDomainOutOfService(fleet));
    fleet.dispose();
    results.push(await routedDemos.showRoutedCalls(print));
    const failedCount = results.filter(hasPassed => !hasPassed).length;
    print(`demo: ${results.length - failedCount} passed, ${failedCount} failed`);
    return failedCount === 0 ? exitCodes.EXIT_SUCCESS : exitCodes.EXIT_FAILED;
}

async function showPipeline(fleet: Fleet): Promise<boolean> {
    print("\n1. a pipeline of four stages");
    const reply = await callReportPipeline(fleet);
    printAnswer(reply);
    for (const stage of reply.answer?.stages ?? []) {
        print(`  stage ${JSON.stringify(stage)}`);
    }
    return reply.answer?.outcome === "completed";
}

async function showStream(fleet: Fleet): Promise<boolean> {
    print("\n2. the same pipeline, streamed");
    const reply = await callReportPipeline(fleet, { streams: true });
    print(`  ${reply.tokens.length} tokens: ${reply.tokens.slice(0, 6).map(({ token }) => token).join("")}...`);
    printAnswer(reply);
    const isInOrder = reply.tokens.every(({ offset }, index) => offset === index);
    return reply.answer?.outcome === "completed" && isInOrder && reply.tokens.length > 0;
}

async function showRejection(fleet: Fleet): Promise<boolean> {
    print("\n3. a request for an unpublished team");
    const reply = await callReportPipeline(fleet, { team: "nobody" });
    printAnswer(reply);
    return reply.answer?.outcome === "not-run";
}

async function showAtMostOnce(fleet: Fleet): Promise<boolean> {
    print("\n4. a booking sent twice with one idempotency key, through both entries");
    const first = await bookWithAcceptedKey(fleet);
    const second = await fleet.call("entry-2", first.call);
    [first.reply, second].forEach(printAnswer);
    const executions = countExecutions(fleet, "bookings");
    print(`  executions at the upstreams: ${executions}`);
    return executions === 1 && [first.reply, second].every(reply => reply.answer?.outcome === "completed");
}

/**
 * Sends bookings with new keys until one is accepted. A key must be newer than the agent's start by more than the
 * tolerated clock skew; otherwise it may have been used in an earlier run, whose ledger is lost.
 */
async function bookWithAcceptedKey(
    fleet: Fleet,
): Promise<{ call: Omit<callers.EntryCall, "address">; reply: callers.EntryReply }> {
    for (let attempt = 0;; attempt++) {
        const call = {
            path: BOOKING_PATH,
            team: "bench",
            key: demoConfigurations.createTimeOrderedKey(),
            body: { frame: 12 },
        };
        const reply = await fleet.call("entry-1", call);
        if (reply.answer?.code !== codes.codes.keyTooOld.code) {
            return { call, reply };
        }
        if (attempt === 0) {
            printAnswer(reply);
            print(
                "  expected: a key must be newer than the agents' start by more than the tolerated clock skew (5 s).",
            );
            print("  Retrying with new keys until the agents have run for that long");
        }
        await clocks.sleep(clocks.systemClock, NEW_KEY_INTERVAL_MS);
    }
}

async function showDomainOutOfService(fleet: Fleet): Promise<boolean> {
    print(`\n5. failure domain ${OUT_OF_SERVICE_DOMAIN} taken out of service and back in`);
    const version = fleet.publish(draft => draft.failureDomains[OUT_OF_SERVICE_DOMAIN]!.state = "out");
    await waitForVersion(fleet, version);
    const callsBefore = countCallsInDomain(fleet);
    await callConcurrently(fleet);
    const callsWhileOut = countCallsInDomain(fleet) - callsBefore;
    print(`  new calls in ${OUT_OF_SERVICE_DOMAIN} while out of service: ${callsWhileOut}`);
    await waitForVersion(fleet, fleet.publish(draft => draft.failureDomains[OUT_OF_SERVICE_DOMAIN]!.state = "in"));
    await callConcurrently(fleet);
    const callsAfterReturn = countCallsInDomain(fleet) - callsBefore - callsWhileOut;
    print(`  new calls in ${OUT_OF_SERVICE_DOMAIN} after its return: ${callsAfterReturn}`);
    return callsWhileOut === 0 && callsAfterReturn > 0;
}

function callReportPipeline(
    fleet: Fleet,
    changes: Partial<Omit<callers.EntryCall, "address">> = {},
): Promise<callers.EntryReply> {
    const body = { prompt: "Describe the frame.", maxTokens: 40 };
    return fleet.call("entry-1", { path: PIPELINE_PATH, team: "bench", body, ...changes });
}

async function callConcurrently(fleet: Fleet): Promise<void> {
    await Promise.all(Array.from({ length: CONCURRENT_CALLS }, () => callReportPipeline(fleet)));
}

async function waitForVersion(fleet: Fleet, version: number): Promise<void> {
    const processes = [...fleet.entries.values(), ...fleet.agents.values()];
    await fleet.waitFor(() => processes.every(process => process.version >= version));
}

function countCallsInDomain(fleet: Fleet): number {
    const findSlotsInDomain = (slots: configurations.UpstreamService["slots"]): string[] =>
        Object.entries(slots).filter(([, slot]) => slot.failureDomain === OUT_OF_SERVICE_DOMAIN).map(([name]) => name);
    const slotNames = Object.values(fleet.configuration.services).flatMap(service => findSlotsInDomain(service.slots));
    return slotNames.reduce((sum, name) => sum + fleet.upstreams.get(name)!.log.length, 0);
}

function countExecutions(fleet: Fleet, service: string): number {
    const slots = Object.keys(fleet.configuration.services[service]!.slots);
    return slots.reduce((sum, slot) => sum + fleet.upstreams.get(slot)!.log.length, 0);
}

function printAnswer(reply: callers.EntryReply): void {
    const { outcome, code, name, stage, detail, retryAfterMs } = reply.answer ?? {};
    print(`  answer ${JSON.stringify({ status: reply.status, outcome, code, name, stage, detail, retryAfterMs })}`);
}
