/**
 * Rendezvous hashing: processes that know the same names rank them identically for a key, and adding or removing a
 * name moves only the keys of that name.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;
const UINT32_RANGE = 2 ** 32;

/**
 * The score of `name` for `key`; the name with the highest score wins the key. A name wins keys in proportion to
 * its weight, and none if the weight isn't positive.
 */
export function score(key: string, name: string, weight = 1): number {
    if (!(weight > 0)) {
        return -Infinity;
    }
    const separated = addToHash(hashText(FNV_OFFSET, key), 0);
    const uniform = (mixBits(hashText(separated, name)) + 0.5) / UINT32_RANGE;
    return -weight / Math.log(uniform);
}

/**
 * The name that wins `key`, whatever the order of `names`; undefined if there are none. `weights` state the shares of
 * keys that the names get; without them all get the same.
 */
export function pickWinner(
    key: string,
    names: readonly string[],
    weights?: readonly number[],
): string | undefined {
    let best: string | undefined;
    let bestScore = -Infinity;
    for (const [index, name] of names.entries()) {
        const candidateScore = score(key, name, weights?.[index]);
        if (best === undefined || candidateScore > bestScore || (candidateScore === bestScore && name < best)) {
            best = name;
            bestScore = candidateScore;
        }
    }
    return best;
}

function hashText(seed: number, text: string): number {
    let hash = seed;
    for (let index = 0; index < text.length; index++) {
        hash = addToHash(hash, text.charCodeAt(index));
    }
    return hash;
}

function addToHash(hash: number, codeUnit: number): number {
    return Math.imul(hash ^ codeUnit, FNV_PRIME);
}

/** Finalizer of MurmurHash3: spreads differences in the last characters over all bits. */
function mixBits(hash: number): number {
    let mixed = hash;
    mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}
