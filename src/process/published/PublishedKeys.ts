/**
 * The keys of the published store with their latest items by era and revision, so that an outdated item never reverts a
 * later one. Where a store that was restored from a backup contradicts what was known, StoreEra.ts decides.
 */
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";
import * as heldItems from "./HeldItems";
import * as lateWrites from "./LateWrite";
import * as overtakenItems from "./OvertakenItems";
import * as storeEras from "./StoreEra";
import * as tombstones from "./Tombstones";

/** Items that bring a view up to date, and its position once they are applied. */
export interface PublishedUpdate extends positions.Position {
    readonly items: readonly routing.PublishedItem[];
    /** Whether the items are the complete content; keys that they omit are deleted, unless they are newer. */
    readonly isWhole: boolean;
    /** Revision of the backup with which the era began; undefined if it is that of the update. */
    readonly backupRevision?: number | undefined;
}

/** A record that takes effect. */
export interface RecordChange {
    readonly item: routing.PublishedItem;
    readonly record: routing.PublishedRecord;
    /** The record that it replaces; undefined if there was none. */
    readonly previous: routing.PublishedRecord | undefined;
    /** Whether it is from a backup, and so older than its era. */
    readonly isFromBackup: boolean;
    readonly source: string;
    /** Whether it belongs to the first update. */
    readonly isFirst: boolean;
}

/** What the keys need from their owner. `put` and `remove` return whether the owner has changed. */
export interface PublishedKeysOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly decode: (item: routing.PublishedItem) => routing.PublishedRecord;
    readonly put: (change: RecordChange) => boolean;
    readonly remove: (record: routing.PublishedRecord) => boolean;
    /** Called when an item that was held back has taken effect. */
    readonly onRelease: () => void;
}

/** The item of a key that is in force, with its decoded record. */
interface StoredEntry {
    item: routing.PublishedItem;
    readonly record: routing.PublishedRecord;
    /** Whether the store has another content at the item's position, so that others can't learn of this one there. */
    isKept: boolean;
}

/** Where an item comes from. */
interface ItemOrigin {
    readonly source: string;
    /** Delay of the deletion of instances. */
    readonly graceMs: number;
    readonly isFirst: boolean;
    /** Whether the item's key is missing in the content with which this process enters an era. */
    readonly isMissingInEra: boolean;
}

/** An item to put in force or to remove, as decided. */
interface DecidedItem {
    readonly item: routing.PublishedItem;
    readonly record: routing.PublishedRecord | undefined;
    readonly isFromBackup: boolean;
    readonly delayMs: number;
    readonly origin: ItemOrigin;
}

/** The latest items of all keys. */
export class PublishedKeys implements clocks.Disposable {
    private readonly entriesByKey = new Map<string, StoredEntry>();
    private readonly deletedKeys = new tombstones.Tombstones();
    private readonly held: heldItems.HeldItems;
    private currentPosition = positions.START;
    /** The current era's items up to this revision are those of the backup. */
    private backupRevision = 0;
    /** All deletions after this position are remembered. */
    private deletionsKnownSince = positions.START;

    constructor(private readonly options: PublishedKeysOptions) {
        this.held = new heldItems.HeldItems(options.clock);
    }

    /** The position up to which the keys are complete; the start before the first update. */
    get position(): positions.Position {
        return this.currentPosition;
    }

    /**
     * Applies an update and returns whether the owner has changed. An update of an earlier era is ignored, and so are
     * mere changes of a later one.
     */
    apply(update: PublishedUpdate, source: string, graceMs: number): boolean {
        const { era, revision } = this.currentPosition;
        if (update.era < era || (update.era > era && !update.isWhole)) {
            return false;
        }
        const isEntering = update.era > era;
        if (isEntering) {
            this.enterEra(update, source);
        }
        const origin = { source, graceMs, isFirst: revision === 0, isMissingInEra: false };
        const overtaken = overtakenItems.findOvertaken(update.items, this.currentPosition, key => this.isKnown(key));
        overtakenItems.logOvertaken(this.options.log, overtaken, this.currentPosition, update, source);
        let hasChanged = false;
        for (const item of update.items) {
            hasChanged = (!overtaken.has(item) && this.applyItem(item, origin)) || hasChanged;
        }
        if (update.isWhole) {
            hasChanged = this.removeMissing(update, { ...origin, isMissingInEra: isEntering }) || hasChanged;
            if (positions.isAfter(update, this.currentPosition)) {
                this.deletionsKnownSince = positions.positionOf(update);
            }
        }
        this.currentPosition = positions.positionOf(positions.latest(this.currentPosition, update));
        return hasChanged;
    }

    /** The content of a key that is in force; undefined if there is none. */
    findContent(key: string): Uint8Array | undefined {
        return this.entriesByKey.get(key)?.item.content;
    }

    /** The update that a process at `since` lacks. */
    updateSince(since: positions.Position): PublishedUpdate {
        const isWhole = positions.isAfter(this.deletionsKnownSince, since);
        const isWanted = (position: positions.Position): boolean => isWhole || positions.isAfter(position, since);
        const items: routing.PublishedItem[] = [];
        for (const [key, { item, isKept }] of this.entriesByKey) {
            // With an item held back, one of an earlier era is passed on, so that the receiver holds it back as well.
            const isInForce = this.held.get(key) === undefined || item.era < this.currentPosition.era;
            if (isKept || (isInForce && isWanted(item))) {
                items.push(item);
            }
        }
        for (const [key, { position }] of this.deletedKeys) {
            if (isWhole ? this.held.get(key) !== undefined : isWanted(position)) {
                items.push({ key, ...position, content: undefined });
            }
        }
        for (const [, { item }] of this.held) { // After the items that they contradict.
            if (isWanted(item)) {
                items.push(item);
            }
        }
        return { items, ...this.currentPosition, isWhole, backupRevision: this.backupRevision };
    }

    dispose(): void {
        this.held.dispose();
    }

    private enterEra(update: PublishedUpdate, source: string): void {
        const { era, revision } = this.currentPosition;
        this.backupRevision = update.backupRevision ?? update.revision;
        this.currentPosition = { era: update.era, revision: 0 };
        if (revision > 0) {
            const from = { fromEra: era, fromRevision: revision };
            const { backupRevision } = this;
            this.options.log.warn(
                { decision: "era", ...positions.positionOf(update), ...from, backupRevision, source },
                "store was restored from a backup",
            );
        }
    }

    private isKnown(key: string): boolean {
        return this.entriesByKey.has(key) || this.deletedKeys.get(key) !== undefined
            || this.held.get(key) !== undefined;
    }

    private applyItem(item: routing.PublishedItem, origin: ItemOrigin): boolean {
        const known = this.knownKey(item.key);
        if (known.record?.kind !== "configuration" && !positions.isAfter(item, known.position)) {
            return false; // Saves the decoding.
        }
        const record = item.content && this.options.decode(item);
        const isInBackup = item.era === this.currentPosition.era && item.revision <= this.backupRevision;
        const isFromBackup = isInBackup || origin.isMissingInEra;
        const decision = storeEras.decide(known, { position: item, record, isFromBackup }, origin.graceMs);
        switch (decision.kind) {
            case "ignore":
                return false;
            case "late":
                lateWrites.logLate(this.options.log, item, origin.source);
                return false;
            case "keep":
                this.keep(item, record, origin);
                return false;
            case "apply":
                return this.put({ item, record, isFromBackup, delayMs: decision.delayMs, origin });
            case "remove":
                return this.remove({ item, record, isFromBackup, delayMs: decision.delayMs, origin });
        }
    }

    private knownKey(key: string): storeEras.KnownKey {
        const entry = this.entriesByKey.get(key);
        const tombstone = this.deletedKeys.get(key);
        const held = this.held.get(key);
        const inForce = entry?.item ?? tombstone?.position ?? positions.START;
        return {
            position: held === undefined ? inForce : positions.latest(inForce, held.item),
            record: entry?.record,
            isDeleted: held?.isDeleted === true || tombstone?.isDeleted === true,
            deletedInstance: tombstone?.instance,
        };
    }

    /** Notes the position of an item that doesn't replace the one in force. */
    private keep(
        item: routing.PublishedItem,
        record: routing.PublishedRecord | undefined,
        { source }: ItemOrigin,
    ): void {
        const entry = this.entriesByKey.get(item.key)!;
        if (!positions.isAfter(item, entry.item)) {
            return;
        }
        entry.isKept = !hasSameContent(entry.item, item);
        entry.item = { ...item, content: entry.item.content };
        if (entry.isKept) {
            const offeredVersion = record?.kind === "configuration" ? record.configuration.version : undefined;
            const fields = { key: item.key, ...positions.positionOf(item), source, offeredVersion };
            this.options.log.warn(
                { decision: "configuration-kept", ...fields, offered: record?.kind ?? "deletion" },
                "configuration offered isn't newer than the one in force",
            );
        }
    }

    private put(decided: DecidedItem): boolean {
        const { item, delayMs } = decided;
        if (delayMs === 0) {
            return this.putNow(decided);
        }
        const pending = this.held.get(item.key);
        const hasChanged = pending?.isDeleted === true
            && this.removeNow({ ...decided, item: pending.item, isFromBackup: false });
        this.held.hold(item, false, delayMs, () => this.release(() => this.putNow(decided)));
        this.logHeldItem(decided);
        return hasChanged;
    }

    private putNow({ item, record, isFromBackup, origin }: DecidedItem): boolean {
        const previous = this.entriesByKey.get(item.key);
        const position = positions.latest(item, previous?.item ?? positions.START);
        this.held.drop(item.key);
        this.deletedKeys.delete(item.key);
        this.entriesByKey.set(item.key, {
            item: { ...item, ...positions.positionOf(position) },
            record: record!,
            isKept: position !== item,
        });
        if (isFromBackup && previous !== undefined && hasSameContent(previous.item, item)) {
            return false;
        }
        const { source, isFirst } = origin;
        return this.options.put({ item, record: record!, previous: previous?.record, isFromBackup, source, isFirst });
    }

    private removeMissing(update: PublishedUpdate, origin: ItemOrigin): boolean {
        const presentKeys = new Set(update.items.map(item => item.key));
        const knownKeys = new Set([...this.entriesByKey.keys(), ...[...this.held].map(([key]) => key)]);
        const position = positions.positionOf(update);
        let hasChanged = false;
        for (const key of knownKeys) {
            if (!presentKeys.has(key)) {
                hasChanged = this.applyItem({ key, ...position, content: undefined }, origin) || hasChanged;
            }
        }
        return hasChanged;
    }

    /** Removes a key now or after a delay. */
    private remove(decided: DecidedItem): boolean {
        const item = { ...decided.item, content: undefined };
        const { delayMs, isFromBackup } = decided;
        if (!this.entriesByKey.has(item.key) || delayMs === 0) {
            return this.removeNow({ ...decided, item });
        }
        const pending = this.held.get(item.key);
        const isPending = pending !== undefined && pending.item.content === undefined;
        if (isPending && (pending.isDeleted || pending.item.era === item.era)) {
            pending.item = item;
            pending.isDeleted ||= !isFromBackup;
            return false;
        }
        this.held.hold(item, !isFromBackup, delayMs, held => {
            const later = { ...decided, item: held.item, isFromBackup: !held.isDeleted };
            this.release(() => this.removeNow(later));
        });
        if (isFromBackup) {
            this.logHeldItem(decided);
        }
        return false;
    }

    private removeNow({ item, isFromBackup, origin }: DecidedItem): boolean {
        const { key } = item;
        const entry = this.entriesByKey.get(key);
        this.held.drop(key);
        this.entriesByKey.delete(key);
        this.addTombstone(item, entry, !isFromBackup);
        if (entry === undefined) {
            return false;
        }
        this.options.log.info(
            { decision: "removed", key, ...positions.positionOf(item), source: origin.source },
            "key removed",
        );
        return this.options.remove(entry.record);
    }

    private addTombstone(item: routing.PublishedItem, entry: StoredEntry | undefined, isDeleted: boolean): void {
        const earlier = this.deletedKeys.get(item.key);
        const position = positions.positionOf(positions.latest(item, entry?.item ?? positions.START));
        const instance = lateWrites.deletedInstanceOf(entry?.record) ?? earlier?.instance;
        const tombstone = { position, isDeleted: isDeleted || earlier?.isDeleted === true, instance };
        if (!this.deletedKeys.add(item.key, tombstone)) {
            this.deletionsKnownSince = this.currentPosition;
        }
    }

    private release(takeEffect: () => boolean): void {
        if (takeEffect()) {
            this.options.onRelease();
        }
    }

    private logHeldItem({ item, record, delayMs, origin }: DecidedItem): void {
        const fields = { key: item.key, ...positions.positionOf(item), source: origin.source, delayMs };
        this.options.log.info(
            { decision: "held-back", ...fields, offered: record?.kind ?? "deletion" },
            "the store's backup contradicts what was known; waiting for its writer",
        );
    }
}

function hasSameContent(a: routing.PublishedItem, b: routing.PublishedItem): boolean {
    return a.content !== undefined && b.content !== undefined && Buffer.compare(a.content, b.content) === 0;
}
