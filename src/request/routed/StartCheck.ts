/**
 * Confirms that the process at an instance's address is the start that its published record describes. An instance that
 * restarts under its id may run another software version before its new record arrives, and answers to calls don't
 * state the start. A stream's later events may come from one version only, so that the instance is asked first.
 */
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as exchanges from "../../connection/UpstreamExchange";
import * as questions from "../../process/instances/InstanceQuestion";
import * as traffic from "../../process/instances/InstanceTraffic";

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
export interface StartCheckContext extends questions.QuestionContext {
    readonly wire: routingPorts.RoutedCallWire;
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
    const answer = await questions.askInstance(context, instance, { isNewConnection, isHeld, signal });
    if (answer.kind === "none") {
        return answer;
    }
    const { status, body, metadata } = answer;
    if (metadata.effect === "other-instance") {
        return { kind: "other", metadata };
    }
    const startedMs = status === 200 ? context.wire.readStart(body.toString("utf8")) : undefined;
    if (startedMs === undefined) {
        return { kind: "unstated", metadata };
    }
    return { kind: startedMs === instance.startedMs ? "expected" : "other", metadata };
}
