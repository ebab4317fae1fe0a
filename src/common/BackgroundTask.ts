/**
 * Tasks that nobody waits for.
 */
import * as logs from "./Log";

/**
 * Runs a task in the background. An exception is a defect of this program: it is logged and ends the task alone, not the
 * process with all its requests.
 */
export function runInBackground(log: logs.Log, name: string, task: () => Promise<void>): void {
    task().catch((error: unknown) => log.error({ decision: "exception", task: name, err: error }, "a task failed"));
}
