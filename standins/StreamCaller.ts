/**
 * A caller that starts to read its stream late, and a check of received streams.
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as clocks from "../src/common/Clock";
import * as callers from "./Caller";
import * as generations from "./Generation";

/** Result of comparing a received stream with the tokens that the engine generates. */
export interface StreamCheck {
    /**
     * Whether the tokens are the first ones of the generation, each once and in order, and the answer reports
     * `completed` only if all of them were received.
     */
    readonly isExact: boolean;
    /** Whether all tokens and the answer `completed` were received. */
    readonly isComplete: boolean;
    /** Whether an end event, an error event or a complete rejection was received. */
    readonly hasEnded: boolean;
}

/** Compares the reply to a call with this body with the tokens that the engine generates for it. */
export function checkStream(body: { readonly maxTokens: number }, reply: callers.EntryReply): StreamCheck {
    const seed = crypto.createHash("sha256").update(JSON.stringify(body)).digest("hex").slice(0, 8);
    const hasExactTokens = reply.tokens.every(({ offset, token }, index) =>
        offset === index && token === generations.tokenAt(seed, index)
    );
    const hasCompletedOutcome = reply.answer?.outcome === "completed";
    const isComplete = hasCompletedOutcome && reply.tokens.length === body.maxTokens;
    return {
        isExact: hasExactTokens && hasCompletedOutcome === isComplete,
        isComplete,
        hasEnded: reply.answer !== undefined,
    };
}

/** Opens a stream, reads nothing for `delayMs` after its headers, and resolves to the text read until its end. */
export function readAfterDelay(
    address: string,
    path: string,
    team: string,
    body: unknown,
    delayMs: number,
): Promise<string> {
    const [host, port] = address.split(":");
    const headers = { "content-type": "application/json", accept: "text/event-stream", "cumincrank-team": team };
    return new Promise(resolve => {
        const chunks: string[] = [];
        const finish = (): void => resolve(chunks.join(""));
        const request = http.request({ host, port, path, method: "POST", headers }, response => {
            response.setEncoding("utf8");
            response.once("end", finish);
            response.once("error", finish);
            clocks.systemClock.schedule(delayMs, () => response.on("data", (chunk: string) => chunks.push(chunk)));
        });
        request.once("error", finish);
        request.end(JSON.stringify(body));
    });
}
