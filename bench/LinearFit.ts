/**
 * Linear regression on measured points.
 */

/** One measured point. */
export interface Point {
    readonly size: number;
    readonly value: number;
}

/** A least-squares line. */
export interface Line {
    /** Increase of the value per unit of size. */
    readonly slope: number;
    /** The value at size 0. */
    readonly intercept: number;
    /** Largest vertical distance of a point from the line, as a share of the largest absolute value. */
    readonly residual: number;
}

/** Fits a line; needs points of at least two sizes. */
export function fit(points: readonly Point[]): Line {
    const meanSize = mean(points.map(point => point.size));
    const meanValue = mean(points.map(point => point.value));
    const covariance = mean(points.map(point => (point.size - meanSize) * (point.value - meanValue)));
    const variance = mean(points.map(point => (point.size - meanSize) ** 2));
    const slope = covariance / variance;
    const intercept = meanValue - slope * meanSize;
    const distances = points.map(point => Math.abs(point.value - intercept - slope * point.size));
    const largest = Math.max(...points.map(point => Math.abs(point.value)));
    return { slope, intercept, residual: largest === 0 ? 0 : Math.max(...distances) / largest };
}

function mean(values: readonly number[]): number {
    return values.reduce((sum, value) => sum + value, 0) / values.length;
}
