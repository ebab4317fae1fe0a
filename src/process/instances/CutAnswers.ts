/**
 * Records the answers that ended before they were whole, for operators.
 */
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as answerFramings from "../../connection/AnswerFraming";

/** The end of an answer, as far as it is recorded. */
export type CutEnd = Pick<answerFramings.AnswerEnd, "framing" | "connectionEnd" | "bodyBytes">;

/** The cut answers of all instances. */
export class CutAnswers {
    private readonly countsByCause = new Map<string, number>();

    constructor(private readonly log: logs.Log) {}

    /** Number of cut answers since the start, by their framing and the end of their connection. */
    get counts(): ReadonlyMap<string, number> {
        return this.countsByCause;
    }

    /** Records a cut answer; `attempts` names the calls that got it. */
    record(instance: routing.RoutedInstance, end: CutEnd, attempts: readonly string[]): void {
        const { framing, connectionEnd, bodyBytes } = end;
        const cause = `${framing}-${connectionEnd}`;
        this.countsByCause.set(cause, (this.countsByCause.get(cause) ?? 0) + 1);
        this.log.info({
            decision: "answer-cut",
            attempts,
            instance: instance.id,
            address: instance.address,
            service: instance.service,
            framing,
            connection: connectionEnd,
            bytes: bodyBytes,
        }, "an answer ended before it was whole");
    }
}
