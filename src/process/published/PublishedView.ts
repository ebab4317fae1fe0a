/**
 * A process's view of the published store: the configuration in force, the instances of each service and the
 * failure domains out of service.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as lineLimits from "../../common/LineLimit";
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";
import * as tables from "../../version/RouteTable";
import * as instanceIndexes from "./InstanceIndex";
import * as publishedKeys from "./PublishedKeys";
import * as versionHistories from "./VersionHistory";

/** Number of lines about unreadable records in an interval. */
const MAX_UNREADABLE_LINES = 50;
const UNREADABLE_INTERVAL_MS = 10_000;

export type KnownInstance = instanceIndexes.KnownInstance;
export type PublishedUpdate = publishedKeys.PublishedUpdate;

/** What the view needs from its owner. */
export interface PublishedViewOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly decode: (item: routing.PublishedItem) => routing.PublishedRecord;
}

/** The merged view of all sources. */
export class PublishedView implements clocks.Disposable {
    private readonly keys: publishedKeys.PublishedKeys;
    private readonly instanceIndex: instanceIndexes.InstanceIndex;
    private readonly outOfService = new Set<string>();
    private currentTable: tables.RouteTable | undefined;
    private readonly changeEmitter = new emitters.Emitter<void>();
    private readonly unreadableLines: lineLimits.LineLimit;
    /** Number of records that couldn't be read. */
    unreadableRecords = 0;

    /** Fires after the view has changed. */
    readonly onChange = this.changeEmitter.event;
    /** The software versions of the instances, now and before. */
    readonly versions: versionHistories.VersionHistory;

    constructor(private readonly options: PublishedViewOptions) {
        this.unreadableLines = new lineLimits.LineLimit(options.clock, MAX_UNREADABLE_LINES, UNREADABLE_INTERVAL_MS);
        this.versions = new versionHistories.VersionHistory(options.clock);
        this.instanceIndex = new instanceIndexes.InstanceIndex(options.clock, this.versions);
        this.keys = new publishedKeys.PublishedKeys({
            ...options,
            put: change => this.putRecord(change),
            remove: record => this.removeRecord(record),
            onRelease: () => this.changeEmitter.fire(),
        });
    }

    /** The position of the store up to which this view is complete; the start before the first update. */
    get position(): positions.Position {
        return this.keys.position;
    }

    /** The route table of the configuration in force; undefined before the first one. */
    get table(): tables.RouteTable | undefined {
        return this.currentTable;
    }

    /** All instances of a service, whatever their state. */
    instances(service: string): readonly KnownInstance[] {
        return this.instanceIndex.ofService(service);
    }

    /** All instances of all services. */
    get allInstances(): readonly KnownInstance[] {
        return this.instanceIndex.all;
    }

    /** The instance with this id; undefined when it isn't known. */
    find(id: string): KnownInstance | undefined {
        return this.instanceIndex.find(id);
    }

    /** The instance at this address; undefined when none is known there. */
    findByAddress(address: string): KnownInstance | undefined {
        return this.instanceIndex.findByAddress(address);
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
        const isFirst = this.position.revision === 0;
        const hasChanged = this.keys.apply(update, source, deletionGraceMs);
        if (isFirst) {
            this.versions.markListed();
            const instances = this.instanceIndex.size;
            const fields = { decision: "listed", ...positions.positionOf(update), source, instances };
            this.options.log.info(fields, "first view of the store");
        }
        if (hasChanged) {
            this.changeEmitter.fire();
        }
    }

    /** The content of a key that is in force; undefined if there is none. */
    findContent(key: string): Uint8Array | undefined {
        return this.keys.findContent(key);
    }

    /** The update that a view at this position lacks. */
    updateSince(since: positions.Position): PublishedUpdate {
        return this.keys.updateSince(since);
    }

    dispose(): void {
        this.keys.dispose();
        this.changeEmitter.dispose();
        this.versions.dispose();
    }

    private putRecord({ item, record, previous, isFromBackup, source, isFirst }: publishedKeys.RecordChange): boolean {
        const { log } = this.options;
        const keyFields = { key: item.key, ...positions.positionOf(item), source };
        if (previous?.kind === "instance" && record.kind !== "instance") {
            this.instanceIndex.remove(previous.instance.id);
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
                this.instanceIndex.put(record.instance, isFromBackup);
                if (!isFirst) { // The instances of the first view are counted in one line.
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
                this.logUnreadable(keyFields, record.reason);
                return previous !== undefined;
            case "other":
                return false;
        }
    }

    private logUnreadable(keyFields: Record<string, unknown>, reason: string): void {
        this.unreadableRecords++;
        const omitted = this.unreadableLines.tryWrite();
        if (omitted !== undefined) {
            const omittedField = omitted === 0 ? {} : { omitted };
            const fields = { decision: "unreadable", ...keyFields, reason, ...omittedField };
            this.options.log.warn(fields, "record can't be read");
        }
    }

    private removeRecord(record: routing.PublishedRecord): boolean {
        if (record.kind === "instance") {
            this.instanceIndex.remove(record.instance.id);
        }
        if (record.kind === "out-of-service") {
            this.outOfService.delete(record.failureDomain);
        }
        return record.kind !== "other";
    }
}
