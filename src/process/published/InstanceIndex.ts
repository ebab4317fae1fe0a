/**
 * The upstream instances that a process knows, by ID and by service.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as versionHistories from "./VersionHistory";

/** An instance of an upstream service, as known to this process. */
export interface KnownInstance extends routing.RoutedInstance {
    /** Since when this process has known this incarnation. */
    readonly knownSinceMs: number;
    /** End of the cold time that the instance published, on this process's clock. */
    readonly coldUntilMs: number;
}

/** Instances by ID and by service. */
export class InstanceIndex {
    private readonly instancesById = new Map<string, KnownInstance>();
    private readonly instancesByService = new Map<string, readonly KnownInstance[]>();

    constructor(private readonly clock: clocks.Clock, private readonly versions: versionHistories.VersionHistory) {}

    get size(): number {
        return this.instancesById.size;
    }

    /** All instances of all services. */
    get all(): readonly KnownInstance[] {
        return [...this.instancesById.values()];
    }

    /** All instances of a service, whatever their state. */
    ofService(service: string): readonly KnownInstance[] {
        let found = this.instancesByService.get(service);
        if (found === undefined) {
            found = [...this.instancesById.values()].filter(instance => instance.service === service);
            this.instancesByService.set(service, found);
        }
        return found;
    }

    /** The instance with this ID; undefined when it isn't known. */
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

    /** Adds or replaces an instance. An outdated record doesn't start the cold time of a known incarnation anew. */
    put(instance: routing.RoutedInstance, isOutdated: boolean): void {
        const previous = this.instancesById.get(instance.id);
        const nowMs = this.clock.now();
        const isSameIncarnation = previous?.startedMs === instance.startedMs && previous.address === instance.address;
        this.instancesById.set(instance.id, {
            ...instance,
            knownSinceMs: isSameIncarnation ? previous.knownSinceMs : nowMs,
            coldUntilMs: isSameIncarnation && isOutdated ? previous.coldUntilMs : nowMs + instance.coldLeftMs,
        });
        this.instancesByService.clear();
        this.versions.change(previous, instance);
    }

    remove(id: string): void {
        this.versions.change(this.instancesById.get(id), undefined);
        this.instancesById.delete(id);
        this.instancesByService.clear();
    }
}
