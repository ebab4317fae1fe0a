/**
 * Tracks the time until each publication is in force at each replica, counted from when the replica was reachable.
 */
import * as hdr from "hdr-histogram-js";
import * as clocks from "../src/common/Clock";
import * as fleets from "./ConfigurationFleet";

interface Publication {
    readonly version: number;
    readonly publishedAtMs: number;
}

/** A period in which some replicas couldn't receive publications. */
interface Fault {
    readonly affects: (index: number) => boolean;
    readonly fromMs: number;
    untilMs: number;
}

/** Lag over all pairs of a publication and a replica. */
export interface LagSummary {
    readonly medianMs: number;
    readonly p99Ms: number;
    readonly maxMs: number;
}

export class VersionTracker {
    readonly startedMs: number;
    /** Number of times that a replica changed to a lower version. */
    reverts = 0;
    private readonly publications: Publication[] = [];
    private readonly faults: Fault[] = [];
    private readonly versionsInForce = new Map<fleets.FleetReplica, number>();
    private readonly lags = hdr.build({ highestTrackableValue: 600_000, numberOfSignificantValueDigits: 3 });

    constructor(private readonly clock: clocks.Clock) {
        this.startedMs = clock.now();
    }

    recordPublication(version: number): void {
        this.publications.push({ version, publishedAtMs: this.clock.now() });
    }

    beginFault(affects: (index: number) => boolean): Fault {
        const fault = { affects, fromMs: this.clock.now(), untilMs: Infinity };
        this.faults.push(fault);
        return fault;
    }

    endFault(fault: Fault): void {
        fault.untilMs = this.clock.now();
    }

    /** Records the lags of all publications that `version` includes and the replica didn't have. */
    recordInForce(replica: fleets.FleetReplica, version: number): void {
        const nowMs = this.clock.now();
        const previousVersion = this.versionsInForce.get(replica) ?? this.findInitialVersion(replica);
        this.reverts += version < previousVersion ? 1 : 0;
        this.versionsInForce.set(replica, version);
        for (const publication of this.publications) {
            if (publication.version > previousVersion && publication.version <= version) {
                this.lags.recordValue(Math.max(0, Math.round(nowMs - this.findReachableMs(replica, publication))));
            }
        }
    }

    /** Counts pairs of a publication and a replica at which it isn't in force. */
    countMissing(replicas: readonly fleets.FleetReplica[]): number {
        return replicas.reduce((sum, replica) => {
            const versionInForce = this.versionsInForce.get(replica) ?? 0;
            return sum + this.publications.filter(({ version }) => version > versionInForce).length;
        }, 0);
    }

    summarize(): LagSummary {
        return {
            medianMs: this.lags.getValueAtPercentile(50),
            p99Ms: this.lags.getValueAtPercentile(99),
            maxMs: this.lags.maxValue,
        };
    }

    /** Version before the newest publication at the replica's start; the replica needs no older publication. */
    private findInitialVersion(replica: fleets.FleetReplica): number {
        const earlier = this.publications.filter(({ publishedAtMs }) => publishedAtMs < replica.startedMs);
        return (earlier.at(-1)?.version ?? 1) - 1;
    }

    /** When the replica could first receive the publication: after its start and any fault at that time. */
    private findReachableMs(replica: fleets.FleetReplica, publication: Publication): number {
        let atMs = Math.max(publication.publishedAtMs, replica.startedMs);
        for (const fault of this.faults) {
            if (fault.affects(replica.index) && atMs >= fault.fromMs && atMs < fault.untilMs) {
                atMs = fault.untilMs;
            }
        }
        return atMs;
    }
}
