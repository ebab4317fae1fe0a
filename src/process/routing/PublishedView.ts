/**
 * A process's view of the published store: the configuration in force, the instances of each service and the
 * failure domains out of service. Each key keeps its highest revision, so that an outdated update never reverts it.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as tables from "../../version/RouteTable";
import * as versionHistories from "./VersionHistory";

/** Number of deleted keys that are remembered, so that an older copy doesn't restore them. */
const MAX_TOMBSTONES = 20_000;

/** What the view needs from its owner. */
export interface PublishedViewOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly decode: (item: routing.PublishedItem) => routing.PublishedRecord;
}

/** Items that bring a view up to date. */
export interface PublishedUpdate {
    readonly items: readonly routing.PublishedItem[];
    /** Revision of the view once the items are applied. */
    readonly revision: number;
    /** Whether the items are the complete content; keys that they omit are deleted, unless they are newer. */
    readonly isWhole: boolean;
}

/** An instance of an upstream service, as known to this process. */
export interface KnownInstance extends routing.RoutedInstance {
    /** Since when this process has known this incarnation. */
    readonly knownSinceMs: number;
    /** End of the cold time that the instance published, on this process's clock. */
    readonly coldUntilMs: number;
}

/** The latest item of a key, with its decoded record. */
interface StoredEntry {
    readonly item: routing.PublishedItem;
    readonly record: routing.PublishedRecord;
    /** Revision of a deletion that takes effect later; undefined when there is none. */
    removalRevision: number | undefined;
}

/** The merged view of all sources. */
export class PublishedView implements clocks.Disposable {
    private readonly entriesByKey = new Map<string, StoredEntry>();
    private readonly tombstones = new Map<string, number>();
    private readonly instancesById = new Map<string, KnownInstance>();
    private readonly instancesByService = new Map<string, readonly KnownInstance[]>();
    private readonly outOfService = new Set<string>();
    private currentTable: tables.RouteTable | undefined;
    private currentRevision = 0;
    /** All deletions after this revision are remembered. */
    private deletionsKnownSince = 0;
    private readonly changeEmitter = new emitters.Emitter<void>();
    private readonly pendingRemovals = new Set<clocks.Disposable>();

    /** Fires after the view has changed. */
    readonly onChange = this.changeEmitter.event;
    /** The software versions of the instances, now and before. */
    readonly versions: versionHistories.VersionHistory;

    constructor(private readonly options: PublishedViewOptions) {
        this.versions = new versionHistories.VersionHistory(options.clock);
    }

    /** The revision of the store up to which this view is complete; 0 before the first update. */
    get revision(): number {
        return this.currentRevision;
    }

    /** The route table of the configuration in force; undefined before the first one. */
    get table(): tables.RouteTable | undefined {
        return this.currentTable;
    }

    /** All instances of a service, whatever their state. */
    instances(service: string): readonly KnownInstance[] {
        let found = this.instancesByService.get(service);
        if (found === undefined) {
            found = [...this.instancesById.values()].filter(instance => instance.service === service);
            this.instancesByService.set(service, found);
        }
        return found;
    }

    /** All instances of all services. */
    get allInstances(): readonly KnownInstance[] {
        return [...this.instancesById.values()];
    }

    /** The instance with this id; undefined when it isn't known. */
    find(id: string): KnownInstance | undefined {
        return this.instancesById.get(id);
    }

    /** The instance at this address; undefined when none is known there. */
    findByAddress(address: string): KnownInstance | undefined {
        for (const instance of this.instancesById.values()) {
            if (instance.address === address) {
                return instance;
            }
        }
        return undefined;
    }

    /** Whether operators have taken the failure domain out of service. */
    isOutOfService(failureDomain: string): boolean {
        return this.outOfService.has(failureDomain);
    }

    /** All failure domains that operators have taken out of service. */
    get outOfServiceDomains(): readonly string[] {
        return [...this.outOfService];
    }

    /**
     * Applies an update. Deletions of instances are delayed by `deletionGraceMs`, since instances that expired
     * during an outage of the store register again.
     */
    apply(update: PublishedUpdate, source: string, deletionGraceMs = 0): void {
        let hasChanged = false;
        const isFirst = this.currentRevision === 0;
        for (const item of update.items) {
            hasChanged = this.applyItem(item, source, deletionGraceMs) || hasChanged;
        }
        if (update.isWhole) {
            hasChanged = this.removeMissing(update, source, deletionGraceMs) || hasChanged;
            if (update.revision > this.currentRevision) {
                this.deletionsKnownSince = update.revision;
            }
        }
        this.currentRevision = Math.max(this.currentRevision, update.revision);
        if (isFirst) {
            const { revision } = update;
            this.versions.markListed();
            const instances = this.instancesById.size;
            this.options.log.info({ decision: "listed", revision, source, instances }, "first view of the store");
        }
        if (hasChanged) {
            this.changeEmitter.fire();
        }
    }

    /** The update that a view at `revision` lacks. */
    updateSince(revision: number): PublishedUpdate {
        const isWhole = revision < this.deletionsKnownSince;
        const items: routing.PublishedItem[] = [];
        for (const { item, removalRevision } of this.entriesByKey.values()) {
            // The receiver may never hear of a deletion up to its new revision again, so that a delayed one is included.
            if (removalRevision !== undefined && !isWhole && removalRevision > revision) {
                items.push({ key: item.key, revision: removalRevision, content: undefined });
            }
            if (removalRevision === undefined && (isWhole || item.revision > revision)) {
                items.push(item);
            }
        }
        for (const [key, deletedRevision] of this.tombstones) {
            if (!isWhole && deletedRevision > revision) {
                items.push({ key, revision: deletedRevision, content: undefined });
            }
        }
        return { items, revision: this.currentRevision, isWhole };
    }

    dispose(): void {
        this.pendingRemovals.forEach(removal => removal.dispose());
        this.changeEmitter.dispose();
        this.versions.dispose();
    }

    private applyItem(item: routing.PublishedItem, source: string, graceMs: number): boolean {
        const previous = this.entriesByKey.get(item.key);
        const latestRevision = Math.max(previous?.item.revision ?? 0, this.tombstones.get(item.key) ?? 0);
        if (item.revision <= latestRevision) {
            return false;
        }
        if (item.content === undefined) {
            return this.removeKey(item.key, item.revision, source, graceMs);
        }
        const record = this.options.decode(item);
        this.tombstones.delete(item.key);
        this.entriesByKey.set(item.key, { item, record, removalRevision: undefined });
        return this.applyRecord(item, record, previous?.record, source);
    }

    private applyRecord(
        item: routing.PublishedItem,
        record: routing.PublishedRecord,
        previous: routing.PublishedRecord | undefined,
        source: string,
    ): boolean {
        const { log } = this.options;
        const keyFields = { key: item.key, revision: item.revision, source };
        if (previous?.kind === "instance" && record.kind !== "instance") {
            this.removeInstance(previous.instance.id);
        }
        switch (record.kind) {
            case "configuration":
                this.currentTable = new tables.RouteTable(record.configuration);
                log.info(
                    { decision: "configuration", ...keyFields, version: record.configuration.version },
                    "configuration in force",
                );
                return true;
            case "instance":
                this.addInstance(record.instance);
                if (this.currentRevision > 0) { // The instances of the first view are counted in one line.
                    log.info({ decision: "instance", ...keyFields, ...record.instance }, "instance changed");
                }
                return true;
            case "out-of-service":
                this.outOfService.add(record.failureDomain);
                log.info(
                    { decision: "out-of-service", ...keyFields, failureDomain: record.failureDomain },
                    "failure domain taken out of service",
                );
                return true;
            case "unreadable":
                log.warn({ decision: "unreadable", ...keyFields, reason: record.reason }, "record can't be read");
                return previous !== undefined;
            case "other":
                return false;
        }
    }

    private addInstance(instance: routing.RoutedInstance): void {
        const previous = this.instancesById.get(instance.id);
        const nowMs = this.options.clock.now();
        const isSameIncarnation = previous?.startedMs === instance.startedMs && previous.address === instance.address;
        this.instancesById.set(instance.id, {
            ...instance,
            knownSinceMs: isSameIncarnation ? previous.knownSinceMs : nowMs,
            coldUntilMs: nowMs + instance.coldLeftMs,
        });
        this.instancesByService.clear();
        this.versions.change(previous, instance);
    }

    private removeInstance(id: string): void {
        this.versions.change(this.instancesById.get(id), undefined);
        this.instancesById.delete(id);
        this.instancesByService.clear();
    }

    private removeMissing(update: PublishedUpdate, source: string, graceMs: number): boolean {
        const presentKeys = new Set(update.items.map(item => item.key));
        let hasChanged = false;
        for (const [key, entry] of this.entriesByKey) {
            if (!presentKeys.has(key) && entry.item.revision <= update.revision) {
                hasChanged = this.removeKey(key, update.revision, source, graceMs) || hasChanged;
            }
        }
        return hasChanged;
    }

    /** Removes a key now, or after the grace time if it belongs to an instance. */
    private removeKey(key: string, revision: number, source: string, graceMs: number): boolean {
        const entry = this.entriesByKey.get(key);
        if (entry === undefined) {
            this.addTombstone(key, revision);
            return false;
        }
        if (graceMs > 0 && entry.record.kind === "instance") {
            this.scheduleRemoval(key, entry, revision, source, graceMs);
            return false;
        }
        return this.removeKeyNow(key, entry, revision, source);
    }

    private scheduleRemoval(key: string, entry: StoredEntry, revision: number, source: string, graceMs: number): void {
        if (entry.removalRevision !== undefined) {
            return;
        }
        entry.removalRevision = revision;
        const removal = this.options.clock.schedule(graceMs, () => {
            this.pendingRemovals.delete(removal);
            if (this.entriesByKey.get(key) === entry && this.removeKeyNow(key, entry, revision, source)) {
                this.changeEmitter.fire();
            }
        });
        this.pendingRemovals.add(removal);
    }

    private removeKeyNow(key: string, entry: StoredEntry, revision: number, source: string): boolean {
        this.entriesByKey.delete(key);
        this.addTombstone(key, Math.max(revision, entry.item.revision));
        this.options.log.info({ decision: "removed", key, revision, source }, "key removed");
        const { record } = entry;
        if (record.kind === "instance") {
            this.removeInstance(record.instance.id);
        }
        if (record.kind === "out-of-service") {
            this.outOfService.delete(record.failureDomain);
        }
        return record.kind !== "other";
    }

    private addTombstone(key: string, revision: number): void {
        this.tombstones.delete(key);
        this.tombstones.set(key, revision);
        if (this.tombstones.size > MAX_TOMBSTONES) {
            const [oldest] = this.tombstones.keys();
            this.tombstones.delete(oldest!);
            this.deletionsKnownSince = this.currentRevision;
        }
    }
}
