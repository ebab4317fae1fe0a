/**
 * Detects callers that disconnect before their answer is sent.
 */
import * as http from "node:http";

/** Returns a controller that aborts when the caller's connection closes before the answer was written. */
export function watchCaller(response: http.ServerResponse): AbortController {
    const disconnectController = new AbortController();
    response.on("close", () => {
        if (!response.writableFinished) {
            disconnectController.abort();
        }
    });
    return disconnectController;
}
