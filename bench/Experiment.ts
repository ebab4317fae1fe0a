/**
 * Reports of experiments, and the check of their bounds.
 */

/** Figures by name: counts, ratios, or milliseconds where the name ends in Ms. */
export type Figures = Record<string, number>;

/** A bound on one figure of the policy. */
export interface Bound {
    readonly atMost?: number;
    readonly atLeast?: number;
}

/** Measured result of one experiment. */
export interface Report {
    readonly baseline: Figures;
    readonly policy: Figures;
    readonly bounds: Record<string, Bound>;
}

/** One experiment; all random choices derive from the seed. */
export interface Experiment {
    readonly name: string;
    run(seed: number): Promise<Report>;
}

/** Names of the violated bounds of `report`; a missing figure violates its bound. */
export function findViolatedBounds(report: Report): string[] {
    return Object.entries(report.bounds)
        .filter(([name, bound]) => {
            const figure = report.policy[name];
            return figure === undefined
                || !(figure <= (bound.atMost ?? Infinity) && figure >= (bound.atLeast ?? -Infinity));
        })
        .map(([name]) => name);
}
