/**
 * Memory of the configuration versions that failed their checks, so that they aren't fetched again at once.
 */
import * as clocks from "../../common/Clock";

/** Time during which a version that failed its checks isn't fetched again. */
export const REJECTED_RETRY_MS = 60_000;
const MAX_REJECTED_VERSIONS = 100;

/** A version that failed its checks. */
export interface RejectedVersion {
    readonly version: number;
    readonly reason: string;
    readonly atMs: number;
}

/** Remembers a bounded number of rejected versions. */
export class RejectedVersions {
    private versions: RejectedVersion[] = [];

    constructor(private readonly clock: clocks.Clock) {}

    /** All remembered, oldest first. */
    get all(): readonly RejectedVersion[] {
        return this.versions;
    }

    /** Remembers a rejection in place of an earlier one of the same version. */
    add(version: number, reason: string): void {
        this.remove(version);
        this.versions = [...this.versions, { version, reason, atMs: this.clock.now() }].slice(-MAX_REJECTED_VERSIONS);
    }

    /** Drops a version that was accepted after all. */
    remove(version: number): void {
        this.versions = this.versions.filter(other => other.version !== version);
    }

    /** Whether the version was rejected so lately that fetching it again is of no use. */
    isRecentlyRejected(version: number): boolean {
        const nowMs = this.clock.now();
        return this.versions.some(other => other.version === version && nowMs - other.atMs < REJECTED_RETRY_MS);
    }
}
