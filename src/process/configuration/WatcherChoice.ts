/**
 * Chooses the few instances that hold a watch on the configuration service, by rendezvous hashing over the known
 * names and an epoch: processes with the same view choose the same instances, and the choice rotates by epoch.
 */
import * as crypto from "node:crypto";

/** Caches whether this instance is chosen until the epoch or the view changes. */
export class WatcherChoice {
    private instances: readonly string[] | undefined;
    private instanceCount = 0;
    private epoch = -1;
    private cachedResult = false;

    /** `self` is the name of this instance; `watcherCount` instances are chosen. */
    constructor(private readonly self: string, private readonly watcherCount: number) {}

    /** Whether this instance is chosen in `epoch` from `instances`, which may or may not include it. */
    isChosen(instances: readonly string[], epoch: number): boolean {
        if (instances !== this.instances || instances.length !== this.instanceCount || epoch !== this.epoch) {
            this.instances = instances;
            this.instanceCount = instances.length;
            this.epoch = epoch;
            this.cachedResult = this.countHigherScores(instances, epoch) < this.watcherCount;
        }
        return this.cachedResult;
    }

    private countHigherScores(instances: readonly string[], epoch: number): number {
        const ownScore = scoreInstance(this.self, epoch);
        return instances.filter(instance => instance !== this.self && scoreInstance(instance, epoch) > ownScore).length;
    }
}

function scoreInstance(instance: string, epoch: number): number {
    return crypto.createHash("md5").update(`${epoch}/${instance}`).digest().readUIntBE(0, 6);
}
