/**
 * Random numbers that repeat for the same seed.
 */
import * as uniform from "pure-rand/distribution/uniformFloat64";
import * as generators from "pure-rand/generator/xoroshiro128plus";

/** A source of numbers uniform in [0, 1). */
export type Random = () => number;

/** A source that depends only on `seed`, an integer. */
export function createRandom(seed: number): Random {
    const generator = generators.xoroshiro128plus(seed);
    return () => uniform.uniformFloat64(generator);
}
