/**
 * Records the answers that aren't answers in the protocol, for the choice of instances and for operators.
 */
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as answerLimits from "../../connection/AnswerLimits";
import * as traffic from "./InstanceTraffic";

/** Instances with a count of their own; those that are faulty later share the name below. */
const MAX_COUNTED = 100;
const OTHER_INSTANCES = "other";

/** What the record needs from its process. */
export interface FaultyAnswersOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly trafficOf: (instance: routing.RoutedInstance) => traffic.InstanceTraffic;
}

/** The faulty answers of all instances. */
export class FaultyAnswers {
    private readonly countsById = new Map<string, number>();

    constructor(private readonly options: FaultyAnswersOptions) {}

    /** Number of faulty answers since the start, by the id of their instance. */
    get counts(): ReadonlyMap<string, number> {
        return this.countsById;
    }

    /** Records a faulty answer; `attempts` names the calls that got it. */
    record(instance: routing.RoutedInstance, fault: answerLimits.AnswerFault, attempts: readonly string[]): void {
        const { clock, log, trafficOf } = this.options;
        const isCounted = this.countsById.has(instance.id) || this.countsById.size < MAX_COUNTED;
        const label = isCounted ? instance.id : OTHER_INSTANCES;
        this.countsById.set(label, (this.countsById.get(label) ?? 0) + 1);
        const { faultPause } = trafficOf(instance);
        faultPause.recordFault(clock.now());
        log.warn({
            decision: "faulty-answer",
            attempts,
            instance: instance.id,
            address: instance.address,
            service: instance.service,
            fault,
            isGivenUp: faultPause.isActive(clock.now()),
        }, "an answer is no answer in the protocol; its connection is closed");
    }
}
