/**
 * Digests of configuration contents, cached by the identity of each record, so that only the changed records of a
 * copy that shares the others are processed. Contents must not be modified after they were passed in.
 */
import * as deltas from "./ConfigurationDelta";

/** Records with a longer canonical text, in characters, are represented by the digest of that text. */
const MAX_INLINE_LENGTH = 256;

/** Digest and size of a content. */
export interface Summary {
    /** In hexadecimal. */
    readonly digest: string;
    /** Length of the canonical JSON, in characters. */
    readonly length: number;
}

interface CanonicalPart {
    /** The canonical text, or the digest of a long one. */
    readonly text: string;
    readonly length: number;
}

/** Computes digests with a cache that doesn't affect them: two instances agree on every content. */
export class ContentDigest {
    private readonly cachedParts = new WeakMap<object, CanonicalPart>();

    /** Computes the digest and size of `content`. */
    summarize(content: unknown): Summary {
        const part = this.summarizeValue(content);
        return { digest: deltas.digestText(part.text), length: part.length };
    }

    private summarizeValue(value: unknown): CanonicalPart {
        if (!deltas.isRecord(value)) {
            const text = deltas.canonicalize(value);
            return { text, length: text.length };
        }
        const cached = this.cachedParts.get(value);
        if (cached !== undefined) {
            return cached;
        }
        const part = this.summarizeRecord(value);
        this.cachedParts.set(value, part);
        return part;
    }

    private summarizeRecord(record: Record<string, unknown>): CanonicalPart {
        const texts: string[] = [];
        let length = 1;
        for (const name of Object.keys(record).sort()) {
            if (record[name] !== undefined) {
                const quoted = JSON.stringify(name);
                const child = this.summarizeValue(record[name]);
                texts.push(`${quoted}:${child.text}`);
                length += quoted.length + child.length + 2;
            }
        }
        const text = `{${texts.join(",")}}`;
        return {
            text: text.length > MAX_INLINE_LENGTH ? `#${deltas.digestText(text)}` : text,
            length: Math.max(2, length),
        };
    }
}
