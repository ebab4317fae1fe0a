/**
 * Which few of all instances hold a watch: rendezvous hashing over the known names and an epoch, so that
 * processes with the same view choose alike and the duty rotates.
 */
import * as crypto from "node:crypto";

/** Whether one instance is among the chosen, remembered while neither the epoch nor the view changes. */
export class WatcherChoice {
    private instances: readonly string[] | undefined;
    private instanceCount = 0;
    private epoch = -1;
    private cachedResult = false;

    /** `self` is this instance's name; `count` instances are chosen. */
    constructor(private readonly self: string, private readonly watcherCount: number) {}

    /** Whether this instance is chosen among `instances` and itself in `epoch`. */
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
