/**
 * Plain ways to choose an instance, as baselines for experiments. Both only leave out draining and avoided ones.
 */
import * as choices from "./UpstreamChoice";

/** Chooses as UpstreamChoice does. */
export type Choose = (request: choices.ChoiceRequest) => choices.Choice | undefined;

/** Takes the instances of each service in turns. */
export function createRoundRobin(): Choose {
    const turns = new Map<string, number>();
    return request => {
        const fitting = request.candidates.filter(candidate => isFitting(request, candidate));
        const turn = turns.get(request.service) ?? 0;
        turns.set(request.service, turn + 1);
        return describe(fitting[turn % fitting.length], "turn");
    };
}

/** Takes the instance with the fewest calls by its last report; the first of equals. */
export function createLeastReported(): Choose {
    return request => {
        let best: choices.Candidate | undefined;
        for (const candidate of request.candidates) {
            if (isFitting(request, candidate) && (best === undefined || reported(candidate) < reported(best))) {
                best = candidate;
            }
        }
        return describe(best, "least-reported");
    };
}

function isFitting(request: choices.ChoiceRequest, candidate: choices.Candidate): boolean {
    return candidate.load?.draining !== true && !request.avoidInstances.has(candidate.instance);
}

function reported(candidate: choices.Candidate): number {
    return candidate.load === undefined ? 0 : candidate.load.active + candidate.load.queued;
}

function describe(candidate: choices.Candidate | undefined, reason: string): choices.Choice | undefined {
    return candidate === undefined ? undefined : { candidate, reason, considered: [candidate.instance] };
}
