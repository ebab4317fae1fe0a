/**
 * Reads a body chunk by chunk, each with a time limit that is decided anew while waiting.
 */
import * as stream from "node:stream";
import * as clocks from "../common/Clock";
import * as readTimers from "../common/ReadTimer";

/** Reads the next bytes of a body; `end` once it has ended, complete or not. Asks how long to wait, until it is 0. */
export function readChunk(
    body: stream.Readable,
    clock: clocks.Clock,
    waitMs: () => number,
): Promise<Buffer | "end" | "timeout"> {
    const ready = body.read() as Buffer | undefined;
    if (ready) {
        return Promise.resolve(ready);
    }
    if (body.readableEnded || body.destroyed) {
        return Promise.resolve("end");
    }
    return new Promise(resolve => {
        let timer: clocks.Disposable;
        const waitFurther = (): void => {
            const furtherMs = waitMs();
            if (furtherMs <= 0) {
                finish("timeout");
                return;
            }
            timer = readTimers.scheduleAfterReads(clock, furtherMs, waitFurther);
        };
        const readAvailable = (): void => {
            const chunk = body.read() as Buffer | undefined;
            if (chunk) {
                finish(chunk);
            }
        };
        const finishBody = (): void => finish("end");
        body.on("readable", readAvailable);
        body.on("end", finishBody);
        body.on("close", finishBody);
        waitFurther();
        function finish(next: Buffer | "end" | "timeout"): void {
            timer?.dispose();
            body.off("readable", readAvailable);
            body.off("end", finishBody);
            body.off("close", finishBody);
            resolve(next);
        }
    });
}
