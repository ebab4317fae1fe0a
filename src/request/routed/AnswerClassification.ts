/**
 * Classifies the end of a send: whether the call has run, and what the instance said of itself in its answer.
 */
import * as codes from "../../common/Codes";
import * as routingPorts from "../../common/RoutingPorts";
import * as exchanges from "../../connection/UpstreamExchange";
import * as pools from "../../process/instances/InstancePool";
import * as traffic from "../../process/instances/InstanceTraffic";
import * as calls from "./RoutedCall";
import * as senders from "./UpstreamSender";

/** The outcome of a send without an answer; ends its ticket. */
export function classifyFailure(exchange: exchanges.FailedExchange, ticket: traffic.Ticket): senders.SendOutcome {
    if (exchange.reason === "cancelled") {
        ticket.end("cancelled");
        return { kind: "cancelled" };
    }
    if (!exchange.isDispatched) {
        const isUnreachable = exchange.reason !== "held" && exchange.reason !== "invalid";
        ticket.end(isUnreachable ? "unreachable" : "cancelled");
        return { kind: "not-run", isInputLost: false };
    }
    // A reset of a reused connection does not indicate a failed instance: it may have been closed while idle.
    ticket.end(exchange.isStaleConnection ? "cancelled" : exchange.reason === "reset" ? "unreachable" : "failed");
    const code = exchange.reason === "timeout"
        ? codes.codes.upstreamTimeout
        : exchange.reason === "malformed"
        ? codes.codes.malformedAnswer
        : codes.codes.upstreamReset;
    return { kind: "unknown", code };
}

/** The outcome of a send by the head of its answer; ends its ticket unless the call has run. */
export function classifyAnswer(
    context: senders.SenderContext,
    call: calls.RoutedCall,
    answer: exchanges.OpenAnswer,
    sent: senders.SentCall,
    chosen: pools.ChosenInstance,
): senders.SendOutcome {
    const { ticket } = sent;
    const metadata = context.wire.readAnswer(answer.status, answer.headers);
    if (!isAnswerTo(call, answer, metadata) || !isValidAnswer(answer, metadata)) {
        answer.cancel();
        ticket.end("failed");
        return { kind: "unknown", code: codes.codes.malformedAnswer };
    }
    if (metadata.holdMs !== undefined) {
        context.pool.holds.start(chosen.instance.address, chosen.instance, metadata.holdMs, "call");
    }
    context.onAnswer(chosen.instance, metadata, sent.sentAtMs);
    if (metadata.load !== undefined) {
        chosen.traffic.recordLoadReport(metadata.load);
    }
    if (metadata.effect !== "ran") {
        exchanges.discardBody(answer, context.clock);
        const isOther = metadata.effect === "other-instance";
        ticket.end(isOther ? "unreachable" : traffic.rejectionOutcome(metadata.holdMs));
        return { kind: "not-run", isInputLost: metadata.isInputLost };
    }
    const { id, softwareVersion } = chosen.instance;
    return { kind: "answer", answer, metadata, sent, instance: id, softwareVersion };
}

/**
 * Whether an answer belongs to the call. A refusal that names no attempt may be that of an earlier request on a reused
 * connection, while the instance runs this call.
 */
function isAnswerTo(
    call: calls.RoutedCall,
    answer: exchanges.OpenAnswer,
    metadata: routingPorts.UpstreamAnswerMetadata,
): boolean {
    if (metadata.attempt === undefined) {
        return metadata.effect === "ran" || !answer.isReusedConnection;
    }
    return metadata.attempt === call.metadata.attempt;
}

/** Whether the content is unencoded and, if the status is a success, signed by the instance. */
function isValidAnswer(answer: exchanges.OpenAnswer, metadata: routingPorts.UpstreamAnswerMetadata): boolean {
    const isSuccess = answer.status >= 200 && answer.status < 300;
    return answer.headers["content-encoding"] === undefined && (!isSuccess || metadata.isSigned);
}
