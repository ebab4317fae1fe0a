/**
 * Items of the published store that take effect only after a delay, unless a later one of the same key replaces them.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";

/** An item that takes effect later. */
export interface HeldItem {
    item: routing.PublishedItem;
    /** Whether it is the deletion of a key, other than of one that is only missing in a backup. */
    isDeleted: boolean;
    readonly timer: clocks.Disposable;
}

/** At most one held item of each key. */
export class HeldItems implements clocks.Disposable {
    private readonly byKey = new Map<string, HeldItem>();

    constructor(private readonly clock: clocks.Clock) {}

    get(key: string): HeldItem | undefined {
        return this.byKey.get(key);
    }

    /** Holds an item in place of an earlier one; `release` gets the key's held item when the delay has passed. */
    hold(item: routing.PublishedItem, isDeleted: boolean, delayMs: number, release: (held: HeldItem) => void): void {
        this.drop(item.key);
        const timer = this.clock.schedule(delayMs, () => {
            this.byKey.delete(item.key);
            release(held);
        });
        const held: HeldItem = { item, isDeleted, timer };
        this.byKey.set(item.key, held);
    }

    /** Forgets the held item of a key. */
    drop(key: string): void {
        this.byKey.get(key)?.timer.dispose();
        this.byKey.delete(key);
    }

    [Symbol.iterator](): IterableIterator<[string, HeldItem]> {
        return this.byKey.entries();
    }

    dispose(): void {
        this.byKey.forEach(held => held.timer.dispose());
        this.byKey.clear();
    }
}
