/**
 * Simple load-balancing policies as baselines for experiments. They exclude draining and avoided instances, no others.
 */
import * as choices from "./UpstreamChoice";

/** Has the contract of `UpstreamChoice.choose`. */
export type ChoiceFunction = (request: choices.ChoiceRequest) => choices.Choice | undefined;

/** Chooses the instances of each service in turn. */
export function createRoundRobin(): ChoiceFunction {
    const turnsByService = new Map<string, number>();
    return request => {
        const eligible = request.candidates.filter(candidate => isEligible(request, candidate));
        const turn = turnsByService.get(request.service) ?? 0;
        turnsByService.set(request.service, turn + 1);
        return createChoice(eligible[turn % eligible.length], "turn");
    };
}

/** Chooses the instance with the fewest calls in its last report; the first one on a tie. */
export function createLeastReportedLoad(): ChoiceFunction {
    return request => {
        let best: choices.Candidate | undefined;
        for (const candidate of request.candidates) {
            if (
                isEligible(request, candidate)
                && (best === undefined || countReportedCalls(candidate) < countReportedCalls(best))
            ) {
                best = candidate;
            }
        }
        return createChoice(best, "least-reported");
    };
}

function isEligible(request: choices.ChoiceRequest, candidate: choices.Candidate): boolean {
    return candidate.load?.draining !== true && !request.avoidInstances.has(candidate.instance);
}

function countReportedCalls(candidate: choices.Candidate): number {
    return candidate.load === undefined ? 0 : candidate.load.active + candidate.load.queued;
}

function createChoice(candidate: choices.Candidate | undefined, reason: string): choices.Choice | undefined {
    return candidate === undefined ? undefined : { candidate, reason, considered: [candidate.instance] };
}
