/**
 * An update from another entry of which some contents are stated by their parts only.
 */
import * as contentParts from "../../common/ContentParts";
import * as entryMessages from "../../common/EntryMessages";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";
import * as publishedKeys from "../published/PublishedKeys";

/** Largest content that is assembled. */
const MAX_CONTENT_BYTES = 64 * 1024 * 1024;

interface StatedItem {
    readonly item: entryMessages.PublishedUpdate["items"][number];
    /** Undefined if the item came with its content. */
    readonly references: readonly contentParts.PartReference[] | undefined;
}

/** Finds the bytes of a part; undefined if this process doesn't have it. */
export type FindPart = (digest: string) => Uint8Array | undefined;

/** An update whose parts are being collected. */
export class UpdateAssembly {
    private constructor(
        private readonly message: entryMessages.PublishedUpdate,
        private readonly items: readonly StatedItem[],
    ) {}

    /** Undefined if the parts of an item are malformed or too large. */
    static create(message: entryMessages.PublishedUpdate): UpdateAssembly | undefined {
        const items: StatedItem[] = [];
        for (const item of message.items) {
            const references = item.parts && contentParts.decodeReferences(item.parts);
            if (item.parts !== undefined && (references === undefined || totalBytes(references) > MAX_CONTENT_BYTES)) {
                return undefined;
            }
            items.push({ item, references });
        }
        return new UpdateAssembly(message, items);
    }

    /** The position of a view to which the update has been applied. */
    get position(): positions.Position {
        return positions.positionOf(this.message);
    }

    /** Whether the update is the complete content of the store. */
    get isWhole(): boolean {
        return this.message.isWhole;
    }

    /** Keys whose contents are stated by their parts. */
    get keysInParts(): string[] {
        return this.items.filter(({ references }) => references !== undefined).map(({ item }) => item.key);
    }

    /** The items that came with their contents. */
    get inlineItems(): routing.PublishedItem[] {
        return this.items.filter(({ references }) => references === undefined).map(({ item }) => toItem(item));
    }

    /** The parts that `find` lacks, each once. */
    listMissing(find: FindPart): contentParts.PartReference[] {
        const missing = new Map<string, contentParts.PartReference>();
        for (const reference of this.items.flatMap(({ references }) => references ?? [])) {
            if (find(reference.digest) === undefined) {
                missing.set(reference.digest, reference);
            }
        }
        return [...missing.values()];
    }

    /** The complete update; `find` must have all parts. */
    assemble(find: FindPart): publishedKeys.PublishedUpdate {
        const { isWhole, backupRevision } = this.message;
        const items = this.items.map(({ item, references }) => {
            const content = references?.map(({ digest }) => find(digest)!);
            return content === undefined ? toItem(item) : { ...toItem(item), content: Buffer.concat(content) };
        });
        return { items, ...this.position, isWhole, backupRevision };
    }
}

/** An item of a message as one of the store. */
export function toItem({ key, era, revision, content }: StatedItem["item"]): routing.PublishedItem {
    return { key, era, revision, content };
}

function totalBytes(references: readonly contentParts.PartReference[]): number {
    return references.reduce((sum, { bytes }) => sum + bytes, 0);
}
