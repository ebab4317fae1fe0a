/**
 * The message with which a stage host reports the result of an order to the entry that sent it.
 */
import * as codes from "../../common/Codes";
import * as messages from "../../common/Messages";
import * as stageHosts from "./StageHost";

/** The message that reports the result of an order. */
export type StagesEnd = Extract<messages.Message, { kind: "stages-end" }>;

/** Encodes the result of the order with this number. */
export function encodeResult(order: number, result: stageHosts.StageRunResult): StagesEnd {
    const kind = "stages-end";
    if (result.kind === "completed") {
        return { kind, order, handles: [...result.handles] };
    }
    const { code, detail, retryAfterMs } = result.failure;
    return { kind, order, code: code.code, detail, retryAfterMs };
}

/** Decodes a result; a code that this process doesn't know counts as an overload of the host. */
export function decodeResult(message: StagesEnd): stageHosts.StageRunResult {
    if (message.handles !== undefined) {
        return { kind: "completed", handles: message.handles };
    }
    const code = codes.findCode(message.code ?? -1) ?? codes.codes.overloaded;
    return { kind: "failed", failure: codes.failure(code, message.detail ?? "", message.retryAfterMs) };
}
