/**
 * Which few of all instances hold a watch: rendezvous hashing over the known names and an epoch, so that
 * processes with the same view choose alike and the duty rotates.
 */
import * as crypto from "node:crypto";

/** Whether one instance is among the chosen, remembered while neither the epoch nor the view changes. */
export class WatcherChoice {
    private instances: readonly string[] | undefined;
    private size = 0;
    private epoch = -1;
    private chosen = false;

    /** `self` is this instance's name; `count` instances are chosen. */
    constructor(private readonly self: string, private readonly count: number) {}

    /** Whether this instance is chosen among `instances` and itself in `epoch`. */
    isChosen(instances: readonly string[], epoch: number): boolean {
        if (instances !== this.instances || instances.length !== this.size || epoch !== this.epoch) {
            this.instances = instances;
            this.size = instances.length;
            this.epoch = epoch;
            this.chosen = this.countAbove(instances, epoch) < this.count;
        }
        return this.chosen;
    }

    private countAbove(instances: readonly string[], epoch: number): number {
        const own = scoreInstance(this.self, epoch);
        return instances.filter(instance => instance !== this.self && scoreInstance(instance, epoch) > own).length;
    }
}

function scoreInstance(instance: string, epoch: number): number {
    return crypto.createHash("md5").update(`${epoch}/${instance}`).digest().readUIntBE(0, 6);
}
