/**
 * Sends a call to one instance and classifies the outcome. A call counts as not run only if no connection was
 * established, or if the answer states that it did not run or that it reached another instance; otherwise its first
 * byte may have been sent, and it may have run.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as eventIds from "../../common/EventId";
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as exchanges from "../../connection/UpstreamExchange";
import * as crashMonitors from "../../process/crashes/CrashMonitor";
import * as pools from "../../process/instances/InstancePool";
import * as traffic from "../../process/instances/InstanceTraffic";
import * as budgets from "../../process/instances/ServiceRetryBudget";
import * as classifications from "./AnswerClassification";
import * as histories from "./CallHistory";
import * as requestDigests from "./RequestDigest";
import * as calls from "./RoutedCall";
import * as sendLogs from "./SendLog";
import * as startChecks from "./StartCheck";

/** Largest urgency value that is sent; larger values are less urgent, and 0 is the most urgent. */
const MAX_URGENCY = 9;
/** Calls with less time left are not sent, since no instance could answer them. */
const MIN_REMAINING_MS = 20;
/** Maximum sends of one call, including retries, resumptions and sends known not to have run. */
const MAX_SENDS = 5;
/** Maximum number of instances that a call doesn't reach. */
const MAX_UNREACHED = 8;

/** Dependencies for sending a call. */
export interface SenderContext {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly wire: routingPorts.RoutedCallWire;
    readonly connections: upstreamConnections.UpstreamConnections;
    readonly pool: pools.InstancePool;
    /** Called with each answer that an instance gave to its call. */
    readonly onAnswer: (
        instance: routing.RoutedInstance,
        answer: routingPorts.UpstreamAnswerMetadata,
        sentAtMs: number,
    ) => void;
    readonly budgetOf: (service: string) => budgets.ServiceRetryBudget;
    /** Failure domain that holds a stage result; undefined if unknown. */
    readonly findResultDomain: (handle: string) => string | undefined;
    readonly crashes: Pick<crashMonitors.CrashMonitor, "findHeld" | "observeAnswer" | "observeInterruption">;
    /** Position of the published view, logged with each send. */
    readonly position: () => positions.Position;
}

/** Outcome of one send. */
export type SendOutcome =
    | {
        readonly kind: "answer";
        readonly answer: exchanges.OpenAnswer;
        readonly metadata: routingPorts.UpstreamAnswerMetadata;
        readonly sent: SentCall;
        readonly instance: string;
        /** Version of the instance's software. */
        readonly softwareVersion: string;
    }
    | { readonly kind: "not-run"; readonly isInputLost: boolean }
    | { readonly kind: "unknown"; readonly code: codes.ResultCode }
    /** Nothing was sent: no instance can accept the call, too little time is left, or no retry is allowed. */
    | { readonly kind: "none" }
    | { readonly kind: "cancelled" };

/** A stage result that a call reads. */
export interface CallInput {
    readonly handle: string;
    /** Approximate size of the result. */
    readonly bytes: number;
}

/** A call that was sent and has not ended. */
export interface SentCall {
    readonly sentAtMs: number;
    readonly instance: routing.RoutedInstance;
    readonly ticket: traffic.Ticket;
    readonly traffic: traffic.InstanceTraffic;
    /** Expected time to the first event on the best other instance; undefined when the call can't be moved. */
    readonly elsewhereMs: () => number | undefined;
}

/** Options that differ between the sends of a call. */
export interface SendOptions {
    readonly lastEventId: eventIds.EventId | undefined;
    readonly inputs: readonly CallInput[];
    /** How long to wait for the headers of the answer before asking again; 0 to give up. */
    readonly answerWaitMs: (sent: SentCall) => number;
    /** Aborts the send, and the answer that it gets. */
    readonly signal: AbortSignal;
    /** Called when the instance is reached. */
    readonly onDispatched?: (() => void) | undefined;
}

/** Whether the call can be sent now: time and budget are left, and an instance can accept it. */
export function canSend(context: SenderContext, call: calls.RoutedCall, history: histories.CallHistory): boolean {
    const hasTime = call.hardDeadlineAtMs - context.clock.now() >= MIN_REMAINING_MS;
    const isAllowed = history.sends === 0 || context.budgetOf(call.service).canSpend;
    return hasTime
        && isAllowed
        && context.crashes.findHeld(requestDigests.observedCall(call)) === undefined
        && history.sends < MAX_SENDS
        && history.unreached < MAX_UNREACHED
        && context.pool.expectedFirstEventMs(requirementsOf(context, call, history, [])) !== undefined;
}

/** Chooses an instance and sends the call to it. */
export async function sendCall(
    context: SenderContext,
    call: calls.RoutedCall,
    history: histories.CallHistory,
    options: SendOptions,
): Promise<SendOutcome> {
    const hasTime = call.hardDeadlineAtMs - context.clock.now() >= MIN_REMAINING_MS;
    const chosen = hasTime && history.sends < MAX_SENDS && history.unreached < MAX_UNREACHED
        ? prepareSend(context, call, history, options.inputs)
        : undefined;
    if (chosen === undefined) {
        return { kind: "none" };
    }
    const { instance } = chosen;
    const partIds = call.metadata.promptParts.map(part => part.id);
    const isWhole = options.lastEventId === undefined && !call.metadata.isResumption;
    const isMeasured = !chosen.isCold && isWhole;
    const ticket = chosen.traffic.begin(chosen.missingTokens, partIds, isMeasured);
    history.openSends++;
    const unsent = await findUnsentOutcome(context, call, history, chosen, ticket, options.signal);
    if (unsent !== undefined) {
        history.openSends--;
        takeBackSend(context, call, history);
        return unsent;
    }
    const sentAtMs = context.clock.now();
    const remainingMs = call.hardDeadlineAtMs - sentAtMs;
    const sent: SentCall = {
        sentAtMs,
        instance,
        ticket,
        traffic: chosen.traffic,
        elsewhereMs: () => findElsewhereMs(context, call, history, options.inputs),
    };
    const waitMs = (): number => Math.min(options.answerWaitMs(sent), call.hardDeadlineAtMs - context.clock.now());
    sendLogs.logSend(context, call, history, chosen, ticket.expectedFirstEventMs, remainingMs, options.lastEventId);
    call.progress.mayHaveRun = true;
    const exchange = await exchanges.openExchange(context.connections, context.clock, {
        address: instance.address,
        method: call.method,
        path: call.path,
        headers: context.wire.forwardHeaders(call.headers, {
            instance: instance.id,
            remainingMs,
            team: call.team?.name,
            lastEventId: options.lastEventId,
            inputs: options.inputs.map(input => input.handle),
            urgency: call.route.kind === "stream" ? Math.min(MAX_URGENCY, calls.priorityOf(call)) : undefined,
            bodyBytes: call.body?.length,
        }),
        body: call.body,
        isNewConnection: !calls.isRetryable(call.route) || history.sends > 1,
        answerTimeoutMs: waitMs(),
        extendTimeoutMs: waitMs,
        onDispatched: options.onDispatched,
        isHeld: () => context.pool.holds.remainingMs(instance) > 0,
    }, options.signal);
    const isUnsent = exchange.kind === "failed" && !exchange.isDispatched;
    if (isUnsent) {
        takeBackSend(context, call, history); // Nothing arrived at the service.
        history.unreached += exchange.reason === "held" || exchange.reason === "cancelled" ? 0 : 1;
    }
    if (exchange.kind === "failed" && exchange.reason === "reset" && exchange.isDispatched) {
        context.crashes.observeInterruption(instance, requestDigests.observedCall(call), sentAtMs);
    }
    const outcome = exchange.kind === "failed"
        ? classifications.classifyFailure(exchange, ticket)
        : classifications.classifyAnswer(context, call, exchange, sent, chosen);
    if (outcome.kind !== "not-run" && !isUnsent) {
        history.possibleRuns++;
    }
    history.openSends--;
    call.progress.mayHaveRun = history.possibleRuns + history.openSends > 0;
    if (isEvidenceOfFailure(exchange, outcome)) {
        context.pool.proofs.recordFailure(instance);
    }
    if (exchange.kind === "failed" && exchange.fault !== undefined) {
        context.pool.faults.record(instance, exchange.fault, [call.metadata.attempt]);
    }
    sendLogs.logUnlessSuccessful(context, call, chosen, exchange, outcome);
    return outcome;
}

/** Whether a send shows that its instance isn't reached, or gives no valid answer. */
function isEvidenceOfFailure(
    exchange: exchanges.OpenAnswer | exchanges.FailedExchange,
    outcome: SendOutcome,
): boolean {
    if (exchange.kind === "answer") {
        return outcome.kind === "unknown";
    }
    return exchange.reason !== "cancelled" && exchange.reason !== "held" && !exchange.isStaleConnection;
}

/** Chooses an instance and counts the send in the retry budget; undefined if nothing may be sent. */
function prepareSend(
    context: SenderContext,
    call: calls.RoutedCall,
    history: histories.CallHistory,
    inputs: readonly CallInput[],
): pools.ChosenInstance | undefined {
    history.heldParts = context.crashes.findHeld(requestDigests.observedCall(call));
    if (history.heldParts !== undefined) {
        return undefined;
    }
    const chosen = context.pool.choose(requirementsOf(context, call, history, inputs));
    if (chosen === undefined) {
        history.heldRetryAfterMs = context.pool.callerRetryAfterMs(call.service, history.softwareVersion);
        sendLogs.logSpentShares(context, call, history);
        sendLogs.logUnlessAnyVersion(context, call, history);
        return undefined;
    }
    const budget = context.budgetOf(call.service);
    if (history.sends === 0) {
        budget.countFirstCall();
    }
    else if (!budget.trySpend()) {
        history.isBudgetSpent = true;
        sendLogs.logDeniedRetry(context, call, history);
        return undefined;
    }
    history.sends++;
    history.triedIncarnations.add(routing.incarnationKey(chosen.instance));
    return chosen;
}

/**
 * The outcome of a call that is bound to a software version and mustn't be sent, since the process at the instance's
 * address isn't the start that its record describes, or doesn't answer; undefined if it may be sent.
 */
async function findUnsentOutcome(
    context: SenderContext,
    call: calls.RoutedCall,
    history: histories.CallHistory,
    { instance }: pools.ChosenInstance,
    ticket: traffic.Ticket,
    signal: AbortSignal,
): Promise<SendOutcome | undefined> {
    if (history.softwareVersion === undefined || instance.startedMs === routing.UNSTATED_START_MS) {
        return undefined;
    }
    const { holds, limits } = context.pool;
    const checkedAtMs = context.clock.now();
    limits.countRequest(instance);
    const check = await startChecks.checkStart(context, instance, () => holds.remainingMs(instance) > 0, signal);
    sendLogs.logStartCheck(context, call, instance, check);
    if (check.kind === "none") {
        ticket.end(startChecks.ticketOutcomes[check.reason]);
        return check.reason === "cancelled" ? { kind: "cancelled" } : { kind: "not-run", isInputLost: false };
    }
    const { holdMs } = check.metadata;
    if (holdMs !== undefined) {
        holds.start(instance.address, instance, holdMs, "start-check");
    }
    context.onAnswer(instance, check.metadata, checkedAtMs);
    if (check.kind === "other" || holdMs !== undefined) {
        ticket.end(check.kind === "other" ? "unreachable" : "cancelled");
        return { kind: "not-run", isInputLost: false };
    }
    return undefined;
}

/** Takes back a send that ended before the first byte of its request. */
function takeBackSend(context: SenderContext, call: calls.RoutedCall, history: histories.CallHistory): void {
    history.sends--;
    context.budgetOf(call.service).takeBack(history.sends === 0 ? "first-call" : "retry");
}

/** Expected time to the first event of the call's next send; undefined when it may not or can't be sent again. */
function findElsewhereMs(
    context: SenderContext,
    call: calls.RoutedCall,
    history: histories.CallHistory,
    inputs: readonly CallInput[],
): number | undefined {
    const isAllowed = calls.isRetryable(call.route)
        && history.sends < MAX_SENDS
        && history.possibleRuns + history.openSends < call.route.attempts
        && context.budgetOf(call.service).canSpend;
    return isAllowed ? context.pool.expectedFirstEventMs(requirementsOf(context, call, history, inputs)) : undefined;
}

function requirementsOf(
    context: SenderContext,
    call: calls.RoutedCall,
    history: histories.CallHistory,
    inputs: readonly CallInput[],
): pools.CallRequirements {
    return {
        service: call.service,
        promptTokens: call.metadata.promptTokens,
        promptParts: call.metadata.promptParts,
        inputBytesByDomain: inputBytesByDomain(context, inputs),
        triedIncarnations: history.triedIncarnations,
        softwareVersion: history.softwareVersion,
    };
}

/** Total bytes of the inputs by the failure domain that holds them. */
function inputBytesByDomain(context: SenderContext, inputs: readonly CallInput[]): ReadonlyMap<string, number> {
    const bytes = new Map<string, number>();
    for (const input of inputs) {
        const domain = context.findResultDomain(input.handle) ?? "";
        bytes.set(domain, (bytes.get(domain) ?? 0) + input.bytes);
    }
    return bytes;
}
