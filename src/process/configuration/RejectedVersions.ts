/**
 * Remembers the configuration versions that failed their checks, so that they aren't fetched again at once.
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

/** A bounded list of rejected versions. */
export class RejectedVersions {
    private versions: RejectedVersion[] = [];

    constructor(private readonly clock: clocks.Clock) {}

    /** All remembered versions, oldest first. */
    get all(): readonly RejectedVersion[] {
        return this.versions;
    }

    /** Adds a rejected version; replaces an earlier rejection of the same version. */
    add(version: number, reason: string): void {
        this.remove(version);
        this.versions = [...this.versions, { version, reason, atMs: this.clock.now() }].slice(-MAX_REJECTED_VERSIONS);
    }

    /** Removes a version, for example when valid content of that version comes into force. */
    remove(version: number): void {
        this.versions = this.versions.filter(other => other.version !== version);
    }

    /** Whether the version was rejected within the retry time, so that it shouldn't be fetched again yet. */
    isRecentlyRejected(version: number): boolean {
        const nowMs = this.clock.now();
        return this.versions.some(other => other.version === version && nowMs - other.atMs < REJECTED_RETRY_MS);
    }
}
