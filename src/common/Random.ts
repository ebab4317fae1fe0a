/**
 * Seeded, reproducible random numbers.
 */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";

/** Returns numbers uniformly distributed in [0, 1). */
export type Random = () => number;

/** Creates a generator whose sequence depends only on `seed`, an integer. */
export function createRandom(seed: number): Random {
    const generator = generators.xoroshiro128plus(seed);
    return () => uniform.uniformFloat64(generator);
}
