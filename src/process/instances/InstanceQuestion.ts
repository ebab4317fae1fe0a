/**
 * Asks an instance about itself, with a request that is answered at once and runs no call.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as exchanges from "../../connection/UpstreamExchange";

/** Time limit for the head of the answer, including the connection, and for its body. */
const ANSWER_TIMEOUT_MS = 400;
const MAX_ANSWER_BYTES = 64 * 1024;

/** Dependencies for asking an instance. */
export interface QuestionContext {
    readonly clock: clocks.Clock;
    readonly wire: Pick<routingPorts.RoutedCallWire, "stateRequest" | "readAnswer">;
    readonly connections: upstreamConnections.UpstreamConnections;
}

/** How an instance is asked. */
export interface QuestionOptions {
    /** Path of the request; undefined for that of the instance's state. */
    readonly path?: string | undefined;
    readonly isNewConnection: boolean;
    /** Asked before the first byte is sent. */
    readonly isHeld?: () => boolean;
    readonly signal: AbortSignal;
}

/** What an instance answered; `none`: no complete answer. */
export type QuestionOutcome =
    | {
        readonly kind: "answer";
        readonly status: number;
        readonly body: Buffer;
        readonly metadata: routingPorts.UpstreamAnswerMetadata;
    }
    | {
        readonly kind: "none";
        readonly reason: exchanges.FailedExchange["reason"];
        readonly isStaleConnection: boolean;
    };

/** Sends the question and reads the answer. */
export async function askInstance(
    { clock, connections, wire }: QuestionContext,
    { id, address }: routing.RoutedInstance,
    { path, isNewConnection, isHeld, signal }: QuestionOptions,
): Promise<QuestionOutcome> {
    const state = wire.stateRequest(id);
    const exchange = await exchanges.openExchange(connections, clock, {
        address,
        method: "GET",
        path: path ?? state.path,
        headers: ["Host", address, ...state.headers],
        body: undefined,
        isNewConnection,
        answerTimeoutMs: ANSWER_TIMEOUT_MS,
        ...(isHeld === undefined ? {} : { isHeld }),
    }, signal);
    if (exchange.kind === "failed") {
        return { kind: "none", reason: exchange.reason, isStaleConnection: exchange.isStaleConnection };
    }
    const timer = clock.schedule(ANSWER_TIMEOUT_MS, exchange.cancel);
    const body = await exchanges.readBody(exchange, MAX_ANSWER_BYTES);
    timer.dispose();
    if (body === undefined) {
        return { kind: "none", reason: signal.aborted ? "cancelled" : "reset", isStaleConnection: false };
    }
    const { status, headers } = exchange;
    return { kind: "answer", status, body, metadata: wire.readAnswer(status, headers) };
}
