/**
 * Splits contents into parts at positions that depend only on the bytes around them, so that two versions of a content
 * share the parts between their differences. A receiver that has one version needs only the other one's new parts.
 */
import * as crypto from "node:crypto";

/** A part without its bytes. */
export interface PartReference {
    /** In hexadecimal. */
    readonly digest: string;
    readonly bytes: number;
}

/** A part of a content. */
export interface ContentPart extends PartReference {
    /** Shares the memory of the content. */
    readonly content: Uint8Array;
}

const MIN_PART_BYTES = 1_024;
/** Largest part that `splitContent` returns. */
export const MAX_PART_BYTES = 32 * 1024;
/** A part ends where this many leading bits of the rolling hash are 0, on average after 4 KiB beyond the minimum. */
const BOUNDARY_BITS = 12;
const BOUNDARY_SHIFT = 32 - BOUNDARY_BITS;

const DIGEST_BYTES = 12;
const LENGTH_BYTES = 4;
const REFERENCE_BYTES = DIGEST_BYTES + LENGTH_BYTES;

/** A pseudo-random value for each byte, the same in all processes. */
const GEAR_TABLE = createGearTable();

function createGearTable(): Uint32Array {
    const digests = Buffer.concat(
        Array.from({ length: 32 }, (_, index) => crypto.createHash("sha256").update(`gear ${index}`).digest()),
    );
    return Uint32Array.from({ length: 256 }, (_, index) => digests.readUInt32LE(index * 4));
}

/** Splits a content into parts; an empty one has none. */
export function splitContent(content: Uint8Array): ContentPart[] {
    const parts: ContentPart[] = [];
    let start = 0;
    while (start < content.length) {
        const end = findPartEnd(content, start);
        parts.push(createPart(content.subarray(start, end)));
        start = end;
    }
    return parts;
}

/** The digest of a part's bytes: a prefix of their SHA-256. */
export function digestPart(content: Uint8Array): string {
    return crypto.createHash("sha256").update(content).digest("hex").slice(0, 2 * DIGEST_BYTES);
}

/** Encodes references as fixed-size records of digest and length. */
export function encodeReferences(references: readonly PartReference[]): Uint8Array<ArrayBuffer> {
    const encoded = new Uint8Array(references.length * REFERENCE_BYTES);
    const buffer = Buffer.from(encoded.buffer);
    references.forEach(({ digest, bytes }, index) => {
        buffer.write(digest, index * REFERENCE_BYTES, "hex");
        buffer.writeUInt32BE(bytes, index * REFERENCE_BYTES + DIGEST_BYTES);
    });
    return encoded;
}

/** Decodes references; undefined if they are malformed. */
export function decodeReferences(encoded: Uint8Array): PartReference[] | undefined {
    if (encoded.length % REFERENCE_BYTES !== 0) {
        return undefined;
    }
    const buffer = Buffer.from(encoded.buffer, encoded.byteOffset, encoded.byteLength);
    const references: PartReference[] = [];
    for (let offset = 0; offset < buffer.length; offset += REFERENCE_BYTES) {
        const lengthOffset = offset + DIGEST_BYTES;
        const bytes = buffer.readUInt32BE(lengthOffset);
        if (bytes === 0 || bytes > MAX_PART_BYTES) {
            return undefined;
        }
        references.push({ digest: buffer.toString("hex", offset, lengthOffset), bytes });
    }
    return references;
}

function createPart(content: Uint8Array): ContentPart {
    return { digest: digestPart(content), bytes: content.length, content };
}

/** The end of the part that begins at `start`. */
function findPartEnd(content: Uint8Array, start: number): number {
    const limit = Math.min(content.length, start + MAX_PART_BYTES);
    let hash = 0;
    for (let index = start + MIN_PART_BYTES; index < limit; index++) {
        hash = ((hash << 1) + GEAR_TABLE[content[index]!]!) >>> 0;
        if (hash >>> BOUNDARY_SHIFT === 0) {
            return index + 1;
        }
    }
    return limit;
}
