/**
 * Confirms that the process at an instance's address is the start that its published record describes. An instance that
 * restarts under its id may run another software version before its new record arrives, and answers to calls don't
 * state the start. A stream's later events may come from one version only, so that the instance is asked first.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as traffic from "../../process/routing/InstanceTraffic";
import * as exchanges from "./UpstreamExchange";

/** Time limit for the answer, including the connection. */
const CHECK_TIMEOUT_MS = 400;
const MAX_ANSWER_BYTES = 64 * 1024;

/** What a missing answer says about the instance's health, by its reason. */
export const ticketOutcomes: Readonly<Record<exchanges.FailedExchange["reason"], traffic.CallOutcome>> = {
    timeout: "failed",
    malformed: "failed",
    connect: "unreachable",
    reset: "unreachable",
    cancelled: "cancelled",
    held: "cancelled",
    invalid: "cancelled",
};

/** Dependencies for asking an instance. */
export interface StartCheckContext {
    readonly clock: clocks.Clock;
    readonly wire: routingPorts.RoutedCallWire;
    readonly connections: upstreamConnections.UpstreamConnections;
}

/**
 * What an instance answered. `unstated`: nothing about its start, so that its record decides; `other`: it is another
 * start or another instance; `none`: no answer.
 */
export type StartCheckOutcome =
    | { readonly kind: "expected" | "other" | "unstated"; readonly metadata: routingPorts.UpstreamAnswerMetadata }
    | { readonly kind: "none"; readonly reason: exchanges.FailedExchange["reason"] };

/** Asks an instance which start of it is running. `isHeld` is asked before the first byte is sent. */
export async function checkStart(
    context: StartCheckContext,
    instance: routing.RoutedInstance,
    isHeld: () => boolean,
    signal: AbortSignal,
): Promise<StartCheckOutcome> {
    const first = await ask(context, instance, isHeld, signal, false);
    // A reused connection may have been closed while idle, also by the end of the expected start.
    return first.kind === "none" && first.isStaleConnection ? ask(context, instance, isHeld, signal, true) : first;
}

async function ask(
    context: StartCheckContext,
    instance: routing.RoutedInstance,
    isHeld: () => boolean,
    signal: AbortSignal,
    isNewConnection: boolean,
): Promise<StartCheckOutcome & { readonly isStaleConnection?: boolean }> {
    const { path, headers } = context.wire.stateRequest(instance.id);
    const exchange = await exchanges.openExchange(context.connections, context.clock, {
        address: instance.address,
        method: "GET",
        path,
        headers: ["Host", instance.address, ...headers],
        body: undefined,
        isNewConnection,
        answerTimeoutMs: CHECK_TIMEOUT_MS,
        isHeld,
    }, signal);
    if (exchange.kind === "failed") {
        return { kind: "none", reason: exchange.reason, isStaleConnection: exchange.isStaleConnection };
    }
    const timer = context.clock.schedule(CHECK_TIMEOUT_MS, exchange.cancel);
    const body = await exchanges.readBody(exchange, MAX_ANSWER_BYTES);
    timer.dispose();
    if (body === undefined) {
        return { kind: "none", reason: signal.aborted ? "cancelled" : "reset" };
    }
    const metadata = context.wire.readAnswer(exchange.status, exchange.headers);
    if (metadata.effect === "other-instance") {
        return { kind: "other", metadata };
    }
    const startedMs = exchange.status === 200 ? context.wire.readStart(body.toString("utf8")) : undefined;
    if (startedMs === undefined) {
        return { kind: "unstated", metadata };
    }
    return { kind: startedMs === instance.startedMs ? "expected" : "other", metadata };
}
