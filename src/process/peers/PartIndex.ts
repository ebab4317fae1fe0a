/**
 * The parts of the large contents that this process can send to other entries, and of those that it has in force itself.
 */
import * as contentParts from "../../common/ContentParts";

/** Contents kept for each key: entries may still read the one before. */
const CONTENTS_PER_KEY = 2;

interface IndexedContent {
    readonly content: Uint8Array;
    readonly parts: readonly contentParts.ContentPart[];
    readonly partsByDigest: ReadonlyMap<string, Uint8Array>;
}

/** The latest contents of each key by their parts. */
export class PartIndex {
    private readonly contentsByKey = new Map<string, IndexedContent[]>();

    /** The parts of the content of a key, which is the latest one from now on. */
    add(key: string, content: Uint8Array): readonly contentParts.ContentPart[] {
        const contents = this.contentsByKey.get(key) ?? [];
        const found = contents.find(other => other.content === content);
        const indexed = found ?? indexContent(content);
        const others = contents.filter(other => other !== indexed).slice(0, CONTENTS_PER_KEY - 1);
        this.contentsByKey.set(key, [indexed, ...others]);
        return indexed.parts;
    }

    /** The bytes of a part of any of the contents. */
    find(digest: string): Uint8Array | undefined {
        for (const contents of this.contentsByKey.values()) {
            for (const { partsByDigest } of contents) {
                const part = partsByDigest.get(digest);
                if (part !== undefined) {
                    return part;
                }
            }
        }
        return undefined;
    }
}

function indexContent(content: Uint8Array): IndexedContent {
    const parts = contentParts.splitContent(content);
    return { content, parts, partsByDigest: new Map(parts.map(part => [part.digest, part.content])) };
}
