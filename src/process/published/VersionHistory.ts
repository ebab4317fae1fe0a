/**
 * Which software versions the instances of each service have had, and until when, as far as this process knows. Versions
 * have no order; any number of them may serve side by side.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as routing from "../../common/Routing";

/** How long a version is remembered after its last instance has gone. */
const REMEMBER_MS = 600_000;
/** Tolerated difference between this process's time of day and that of an instance. */
const WALL_TOLERANCE_MS = 5_000;

/** A software version of a service. */
export interface ServiceVersion {
    readonly service: string;
    readonly softwareVersion: string;
}

/** What is known of the time before the first listing. */
export interface PastVersions {
    /** Versions that instances had. */
    readonly versions: readonly ServiceVersion[];
    /** Whether an instance left whose service and version aren't known. */
    readonly hasUnknown: boolean;
}

interface VersionRecord {
    /** Starts of the instances that have the version now, by their IDs. */
    readonly startedMsById: Map<string, number>;
    /** When the last of them was removed. */
    goneAtMs: number;
}

/** The versions by service. */
export class VersionHistory implements clocks.Disposable {
    private readonly versionsByService = new Map<string, Map<string, VersionRecord>>();
    private readonly newVersionEmitter = new emitters.Emitter<string>();
    private listedAtMs: number | undefined;
    /** Whether what was before the first listing has been learnt from the store. */
    private isPastComplete = false;
    private hasUnknownPast = false;
    /** Services that had instances when the history began. */
    private readonly listedServices = new Set<string>();

    /** Fires with a service of which an instance has a version that none of its other instances has. */
    readonly onNewVersion = this.newVersionEmitter.event;

    constructor(private readonly clock: clocks.Clock) {}

    /** Marks the instances added so far as the first listing: what was before them isn't known. */
    markListed(): void {
        this.listedAtMs = this.clock.now();
        this.versionsByService.forEach((_, service) => this.listedServices.add(service));
    }

    /** Whether the versions before the first listing have been learnt, as far as they can be. */
    get isPastKnown(): boolean {
        return this.isPastComplete;
    }

    /** Records what was before the first listing. */
    completePast({ versions, hasUnknown }: PastVersions): void {
        this.isPastComplete = true;
        this.hasUnknownPast = hasUnknown;
        for (const { service, softwareVersion } of versions) {
            const record = this.obtainRecord(service, softwareVersion);
            record.goneAtMs = Math.max(record.goneAtMs, this.listedAtMs ?? -Infinity);
        }
    }

    /** Records that an instance was added, changed or removed. */
    change(previous: routing.RoutedInstance | undefined, next: routing.RoutedInstance | undefined): void {
        const isSameVersion = previous?.service === next?.service
            && previous?.softwareVersion === next?.softwareVersion;
        if (previous !== undefined && !isSameVersion) {
            this.remove(previous);
        }
        if (next !== undefined) {
            this.add(next);
        }
    }

    /** Whether an answer about the time since `sinceMs` depends on what was before the first listing. */
    reachesPast(sinceMs: number): boolean {
        return this.listedAtMs === undefined || sinceMs < this.listedAtMs;
    }

    /** The only version that instances of a service have had since `sinceMs`; undefined if that isn't known. */
    findOnlyVersion(service: string, sinceMs: number): string | undefined {
        const versions = this.versionsSince(service, sinceMs);
        const [only] = versions;
        return versions.length === 1 && this.isCovered(service, sinceMs, only![1]) ? only![0] : undefined;
    }

    /** Whether instances of a service are known to have had several versions since `sinceMs`. */
    hasSeveral(service: string, sinceMs: number): boolean {
        return this.versionsSince(service, sinceMs).length > 1;
    }

    dispose(): void {
        this.newVersionEmitter.dispose();
    }

    private versionsSince(service: string, sinceMs: number): (readonly [string, VersionRecord])[] {
        return [...this.versionsByService.get(service) ?? []]
            .filter(([, record]) => record.startedMsById.size > 0 || record.goneAtMs >= sinceMs);
    }

    /** Whether no instance of another version can have come and gone unseen since `sinceMs`. */
    private isCovered(service: string, sinceMs: number, only: VersionRecord): boolean {
        if (this.listedAtMs === undefined) {
            return false;
        }
        if (sinceMs >= this.listedAtMs) {
            return true;
        }
        // The last instances of a version may have left without successors, which only the store's history shows.
        if (!this.isPastComplete || this.hasUnknownPast) {
            return false;
        }
        if (!this.listedServices.has(service)) {
            return true;
        }
        // A version is replaced by starting instances of the next one; none of the present instances is that young.
        const sinceWallMs = this.clock.wall() - (this.clock.now() - sinceMs) - WALL_TOLERANCE_MS;
        return [...only.startedMsById.values()].every(startedMs => startedMs < sinceWallMs);
    }

    private add({ id, service, softwareVersion, startedMs }: routing.RoutedInstance): void {
        const record = this.obtainRecord(service, softwareVersion);
        const isNewVersion = record.startedMsById.size === 0;
        record.startedMsById.set(id, startedMs);
        if (isNewVersion) {
            this.newVersionEmitter.fire(service);
        }
    }

    private obtainRecord(service: string, softwareVersion: string): VersionRecord {
        const versions = this.versionsByService.get(service) ?? new Map<string, VersionRecord>();
        this.versionsByService.set(service, versions);
        const record = versions.get(softwareVersion) ?? { startedMsById: new Map(), goneAtMs: -Infinity };
        versions.set(softwareVersion, record);
        return record;
    }

    private remove({ id, service, softwareVersion }: routing.RoutedInstance): void {
        const versions = this.versionsByService.get(service);
        const nowMs = this.clock.now();
        const record = versions?.get(softwareVersion);
        if (versions === undefined || record === undefined) {
            return;
        }
        record.startedMsById.delete(id);
        record.goneAtMs = nowMs;
        for (const [version, { startedMsById, goneAtMs }] of versions) {
            if (startedMsById.size === 0 && nowMs - goneAtMs > REMEMBER_MS) {
                versions.delete(version);
            }
        }
    }
}
