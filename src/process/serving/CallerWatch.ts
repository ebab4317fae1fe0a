/**
 * Tells when a caller has left before its answer.
 */
import * as http from "node:http";

/** Aborts when the caller's connection closes before the answer has gone out. */
export function watchCaller(response: http.ServerResponse): AbortController {
    const disconnectController = new AbortController();
    response.on("close", () => {
        if (!response.writableFinished) {
            disconnectController.abort();
        }
    });
    return disconnectController;
}
