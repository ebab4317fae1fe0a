/**
 * A caller that reads a stream at its own pace, and the check of what it got.
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as clocks from "../src/common/Clock";
import * as callers from "./Caller";
import * as generations from "./Generation";

/** How a stream ended for its caller, checked against the generated tokens. */
export interface StreamCheck {
    /** Whether the tokens are the first ones of the generation, each once and in order. */
    readonly isExact: boolean;
    readonly isComplete: boolean;
    /** Whether an end or error event, or a whole refusal, came. */
    readonly hasEnded: boolean;
}

/** Judges what a caller got for `body`. */
export function checkStream(body: { readonly maxTokens: number }, reply: callers.EntryReply): StreamCheck {
    const seed = crypto.createHash("sha256").update(JSON.stringify(body)).digest("hex").slice(0, 8);
    const hasExactTokens = reply.tokens.every(({ offset, token }, index) =>
        offset === index && token === generations.tokenAt(seed, index)
    );
    const isCompleted = reply.answer?.outcome === "completed";
    const isComplete = isCompleted && reply.tokens.length === body.maxTokens;
    return { isExact: hasExactTokens && isCompleted === isComplete, isComplete, hasEnded: reply.answer !== undefined };
}

/** Asks for a stream, reads nothing of it for `delayMs`, and resolves to the text that came in the end. */
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
