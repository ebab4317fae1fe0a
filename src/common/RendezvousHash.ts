/**
 * Weighted rendezvous hashing: the names with the highest scores for a key own it, on every process alike.
 */
import * as crypto from "node:crypto";

const UNIFORM_RANGE = 2 ** 48;
const UNIFORM_BYTES = 6;

/** The score of `name` for `key`, above 0; a name is first in proportion to its weight. */
export function score(key: string, name: string, weight = 1): number {
    const digest = crypto.createHash("sha256").update(key).update("\0").update(name).digest();
    const uniform = (digest.readUIntBE(0, UNIFORM_BYTES) + 0.5) / UNIFORM_RANGE;
    return -weight / Math.log(uniform);
}
