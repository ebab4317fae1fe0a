/**
 * The latest edits up to the version in force, bounded in number and size. A peer that is a few versions behind
 * receives them instead of the full content.
 */
import * as messages from "../../common/Messages";

/** Maximum number of changes kept. */
export const MAX_DELTAS = 256;
/** Maximum total size of the changes kept, as JSON, in characters. */
export const MAX_DELTA_LENGTH = 1_048_576;

/** Change to the next version in force; `length` is the size of its edits as JSON, in characters. */
interface VersionChange {
    readonly from: number;
    readonly edits: readonly messages.Edit[];
    readonly length: number;
}

/** Changes between versions, oldest first. */
export class DeltaLog {
    private changes: VersionChange[] = [];
    private totalLength = 0;
    private contentLength = 0;

    /** Removes all changes. `contentLength` is the size of the content in force, in characters. */
    reset(contentLength: number): void {
        this.changes = [];
        this.totalLength = 0;
        this.contentLength = contentLength;
    }

    /** Appends the change from version `from` to the version now in force. */
    add(from: number, edits: readonly messages.Edit[], contentLength: number): void {
        const length = JSON.stringify(edits).length;
        this.changes.push({ from, edits, length });
        this.totalLength += length;
        this.contentLength = contentLength;
        while (this.changes.length > MAX_DELTAS || this.totalLength > MAX_DELTA_LENGTH) {
            this.totalLength -= this.changes.shift()!.length;
        }
    }

    /**
     * Edits from version `from` to the one in force; undefined if they aren't kept or exceed the full content.
     * If this process skipped `from`, these are the edits since the last version before it that was in force here.
     * Edits replace complete values, so they apply unless a value changed and changed back in between; the receiver
     * detects this by the digest.
     */
    findEdits(from: number): messages.Edit[] | undefined {
        const startIndex = this.findStartIndex(from);
        if (from === 0 || startIndex < 0) {
            return undefined;
        }
        const changes = this.changes.slice(startIndex);
        const length = changes.reduce((sum, change) => sum + change.length, 0);
        return length > this.contentLength ? undefined : changes.flatMap(change => change.edits);
    }

    /** Index of the last change whose base version is at most `from`; -1 if there is none. */
    private findStartIndex(from: number): number {
        let index = this.changes.length - 1;
        while (index >= 0 && this.changes[index]!.from > from) {
            index--;
        }
        return index;
    }
}
