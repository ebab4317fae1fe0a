/**
 * The log lines about the sends of a call.
 */
import * as eventIds from "../../common/EventId";
import * as routing from "../../common/Routing";
import * as exchanges from "../../connection/UpstreamExchange";
import * as pools from "../../process/instances/InstancePool";
import * as budgets from "../../process/instances/ServiceRetryBudget";
import * as histories from "./CallHistory";
import * as calls from "./RoutedCall";
import * as startChecks from "./StartCheck";
import * as senders from "./UpstreamSender";

const LOGGED_DIGITS = 2;
/** Number of shares in a log line. */
const MAX_LOGGED_SHARES = 4;

/** The learned speed of an instance that states how long work takes there, and the number of statements. */
function speedFields({ traffic, slowness }: pools.ChosenInstance): Record<string, number> {
    return traffic.speed.isStated
        ? {
            slowness: Number(slowness.toFixed(LOGGED_DIGITS)),
            statements: traffic.speed.statements,
        }
        : {};
}

/** Logs a call that is being sent. */
export function logSend(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    history: histories.CallHistory,
    chosen: pools.ChosenInstance,
    expectedMs: number,
    remainingMs: number,
    lastEventId: eventIds.EventId | undefined,
): void {
    context.log.info({
        decision: "send",
        attempt: call.metadata.attempt,
        send: history.sends,
        service: call.service,
        instance: chosen.instance.id,
        address: chosen.instance.address,
        softwareVersion: chosen.instance.softwareVersion,
        ...(lastEventId === undefined ? {} : { lastEventId, resumes: call.metadata.resumedAttempt }),
        ...(history.sends > 1 ? { budget: budgetFields(context, call) } : {}),
        candidates: chosen.candidateCount,
        load: chosen.traffic.load,
        missingTokens: chosen.missingTokens,
        ...speedFields(chosen),
        expectedMs: Math.round(expectedMs),
        cold: chosen.isCold,
        remainingMs: Math.round(remainingMs),
        ...context.position(),
    }, "call sent to instance");
}

/** Logs a retry that the budget of all entries denies. */
export function logDeniedRetry(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    history: histories.CallHistory,
): void {
    context.log.info({
        decision: "retry-denied",
        attempt: call.metadata.attempt,
        service: call.service,
        sends: history.sends,
        budget: budgetFields(context, call),
    }, "no retry is left in the budget");
}

/** Logs a call that no instance can accept, if this entry's shares of what instances take are a reason. */
export function logSpentShares(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    history: histories.CallHistory,
): void {
    const spent = context.pool.sharesOf(call.service, history.softwareVersion).filter(({ waitMs }) => waitMs > 0);
    if (spent.length > 0) {
        const { count, settledAtMs } = context.pool.fleet;
        context.log.info({
            decision: "share-spent",
            attempt: call.metadata.attempt,
            service: call.service,
            sends: history.sends,
            entries: count,
            isSettled: settledAtMs !== undefined,
            instances: spent.length,
            shares: spent.slice(0, MAX_LOGGED_SHARES).map(({ waitMs, ...share }) => ({
                ...share,
                ...(waitMs === Infinity ? {} : { waitMs: Math.round(waitMs) }),
            })),
        }, "no instance can accept the call; shares of what instances take from all entries are spent");
    }
}

function budgetFields(context: senders.SenderContext, call: calls.RoutedCall): budgets.BudgetState {
    const { left, capacity, ...counts } = context.budgetOf(call.service).state;
    return { left: Number(left.toFixed(LOGGED_DIGITS)), capacity: Number(capacity.toFixed(LOGGED_DIGITS)), ...counts };
}

/** Logs that no instance can accept a call that only one software version may get. */
export function logUnlessAnyVersion(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    history: histories.CallHistory,
): void {
    const { softwareVersion } = history;
    if (softwareVersion !== undefined) {
        context.log.info({
            decision: "not-sent",
            attempt: call.metadata.attempt,
            service: call.service,
            softwareVersion,
            instances: context.pool.usableInstances(call.service, softwareVersion).length,
            sends: history.sends,
            ...context.position(),
        }, "no instance of the stream's software version can accept it");
    }
}

/** Logs whether the process at an instance's address is the start that its record describes. */
export function logStartCheck(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    instance: routing.RoutedInstance,
    check: startChecks.StartCheckOutcome,
): void {
    context.log.info({
        decision: "start-check",
        attempt: call.metadata.attempt,
        instance: instance.id,
        startedMs: instance.startedMs,
        softwareVersion: instance.softwareVersion,
        outcome: check.kind,
        ...(check.kind === "none" ? { reason: check.reason } : {}),
        ...context.position(),
    }, "instance asked for its start, before a call that only its software version may get");
}

/** Logs the end of a send, unless its answer is a success. */
export function logUnlessSuccessful(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    chosen: pools.ChosenInstance,
    exchange: exchanges.OpenAnswer | exchanges.FailedExchange,
    outcome: senders.SendOutcome,
): void {
    if (outcome.kind === "answer" && exchange.kind === "answer" && exchange.status < 400) {
        return; // Logged with its status when the call ends.
    }
    context.log.info({
        decision: "send-end",
        attempt: call.metadata.attempt,
        instance: chosen.instance.id,
        end: outcome.kind,
        ...(exchange.kind === "answer"
            ? { status: exchange.status }
            : { reason: exchange.reason, dispatched: exchange.isDispatched, stale: exchange.isStaleConnection }),
    }, "send did not get a successful answer");
}
