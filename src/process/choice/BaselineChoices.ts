/**
 * Plain ways to choose an instance, as baselines for experiments. Both only leave out draining and avoided ones.
 */
import * as choices from "./UpstreamChoice";

/** Chooses as UpstreamChoice does. */
export type ChoiceFunction = (request: choices.ChoiceRequest) => choices.Choice | undefined;

/** Takes the instances of each service in turns. */
export function createRoundRobin(): ChoiceFunction {
    const turnsByService = new Map<string, number>();
    return request => {
        const eligible = request.candidates.filter(candidate => isEligible(request, candidate));
        const turn = turnsByService.get(request.service) ?? 0;
        turnsByService.set(request.service, turn + 1);
        return createChoice(eligible[turn % eligible.length], "turn");
    };
}

/** Takes the instance with the fewest calls by its last report; the first of equals. */
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
