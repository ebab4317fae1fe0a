/**
 * Recognizes answers that belong to another stage call. Answers of stage calls name no call; a faulty instance may send
 * one a second time, where the answer to the next call on the connection is expected. Each later answer there would then
 * be taken for that to the call after its own. A handle is given out once, so that a second copy repeats known ones.
 */
import * as routingPorts from "../../common/RoutingPorts";

/** Number of handles that are remembered of one connection. */
const MAX_HANDLES = 4_000;

/** Remembers the handles that arrived on each connection. */
export class StageAnswers {
    private readonly handlesByConnection = new WeakMap<object, Set<string>>();

    /** Whether the outcomes in an answer belong to the call that was sent last: none of the handles has come before. */
    accept(connection: object, outcomes: readonly routingPorts.StagePieceOutcome[]): boolean {
        const known = this.obtain(connection);
        const handles = handlesIn(outcomes);
        if (handles.some(handle => known.has(handle))) {
            return false;
        }
        handles.forEach(handle => known.add(handle));
        while (known.size > MAX_HANDLES) {
            const [oldest] = known;
            known.delete(oldest!);
        }
        return true;
    }

    private obtain(connection: object): Set<string> {
        let known = this.handlesByConnection.get(connection);
        if (known === undefined) {
            known = new Set();
            this.handlesByConnection.set(connection, known);
        }
        return known;
    }
}

/** Whether a second copy of an answer could be recognized; if not, its connection must not be used again. */
export function isRecognizable(outcomes: readonly routingPorts.StagePieceOutcome[]): boolean {
    return handlesIn(outcomes).length > 0;
}

function handlesIn(outcomes: readonly routingPorts.StagePieceOutcome[]): string[] {
    return outcomes.flatMap(outcome => "handle" in outcome ? outcome.handle : []);
}
