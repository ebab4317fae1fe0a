/**
 * Keys that were deleted from the published store, remembered so that an older item doesn't restore them.
 */
import * as positions from "../../common/Position";
import * as lateWrites from "./LateWrite";

/** Number of deleted keys that are remembered. */
const MAX_TOMBSTONES = 20_000;

/** What is remembered of a deleted key. */
export interface Tombstone {
    /** Position of the deletion. */
    readonly position: positions.Position;
    /** Whether the key was deleted; otherwise it was only missing in a backup. */
    readonly isDeleted: boolean;
    /** The instance that the key described; undefined if it isn't known. */
    readonly instance: lateWrites.DeletedInstance | undefined;
}

/** Deleted keys; the oldest are forgotten first. */
export class Tombstones {
    private readonly byKey = new Map<string, Tombstone>();

    get(key: string): Tombstone | undefined {
        return this.byKey.get(key);
    }

    /** Remembers a deletion; false if another one was forgotten for it. */
    add(key: string, tombstone: Tombstone): boolean {
        this.byKey.delete(key);
        this.byKey.set(key, tombstone);
        if (this.byKey.size <= MAX_TOMBSTONES) {
            return true;
        }
        const [oldest] = this.byKey.keys();
        this.byKey.delete(oldest!);
        return false;
    }

    delete(key: string): void {
        this.byKey.delete(key);
    }

    [Symbol.iterator](): IterableIterator<[string, Tombstone]> {
        return this.byKey.entries();
    }
}
