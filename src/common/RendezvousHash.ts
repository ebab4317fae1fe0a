/**
 * Weighted rendezvous hashing: each name gets a score for a key, and the highest score wins. Removing a name
 * moves only the keys that it had won.
 */
import * as crypto from "node:crypto";

const HASH_BITS = 48;
const HASH_BYTES = HASH_BITS / 8;

/** The score of `name` for `key`; a name wins keys in proportion to its weight. -Infinity for no weight. */
export function score(key: string, name: string, weight: number): number {
    if (!(weight > 0)) {
        return -Infinity;
    }
    const digest = crypto.createHash("sha256").update(`${name.length}:${name}${key}`).digest();
    const uniform = (digest.readUIntBE(0, HASH_BYTES) + 0.5) / 2 ** HASH_BITS;
    return -weight / Math.log(uniform);
}
