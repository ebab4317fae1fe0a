/**
 * Decides which parts of a content an entry requests, and when requests count as lost. Designed for contents that take
 * seconds on a thin link: a few parts are under way at any time, so that other messages pass between them and no more is
 * sent than the link carries, and what has arrived is kept when the source changes or the content is replaced.
 */
import * as contentParts from "../../common/ContentParts";

/** Parts that are under way at any time, which a thin link carries within a fraction of a second. */
const MAX_UNDER_WAY_BYTES = 64 * 1024;
/** Parts of one request, whose answer is one message. */
const MAX_REQUEST_BYTES = 32 * 1024;
/** Time without a part after which those under way count as lost; doubled each time until one arrives. */
const MIN_SILENCE_MS = 1_000;
const MAX_SILENCE_MS = 4_000;

/** The parts that an entry lacks, those that are under way, and those that have arrived. */
export class PartCollector {
    /** The parts that are needed and haven't arrived. */
    private wanted = new Map<string, contentParts.PartReference>();
    private readonly requested = new Map<string, contentParts.PartReference>();
    private readonly received = new Map<string, Uint8Array>();
    private progressAtMs = 0;
    private silenceMs = MIN_SILENCE_MS;
    /** Number of bytes that have arrived. */
    receivedBytes = 0;

    /** Whether all parts that are needed have arrived. */
    get isComplete(): boolean {
        return this.wanted.size === 0;
    }

    /** The bytes of a part that has arrived. */
    find(digest: string): Uint8Array | undefined {
        return this.received.get(digest);
    }

    /** Sets the parts that are needed now. */
    want(parts: readonly contentParts.PartReference[]): void {
        const lacking = parts.filter(({ digest }) => !this.received.has(digest));
        this.wanted = new Map(lacking.map(part => [part.digest, part]));
    }

    /** The parts to request now, in groups of one request each. */
    takeRequests(nowMs: number): contentParts.PartReference[][] {
        if (this.requested.size === 0) {
            this.progressAtMs = nowMs;
        }
        let underWayBytes = [...this.requested.values()].reduce((sum, { bytes }) => sum + bytes, 0);
        const groups: contentParts.PartReference[][] = [];
        let groupBytes = Infinity;
        for (const part of this.wanted.values()) {
            if (this.requested.has(part.digest)) {
                continue;
            }
            if (underWayBytes + part.bytes > MAX_UNDER_WAY_BYTES) {
                break;
            }
            if (groupBytes + part.bytes > MAX_REQUEST_BYTES) {
                groups.push([]);
                groupBytes = 0;
            }
            groups.at(-1)!.push(part);
            groupBytes += part.bytes;
            underWayBytes += part.bytes;
            this.requested.set(part.digest, part);
        }
        return groups;
    }

    /** Adds parts that have arrived; those that aren't needed are ignored. */
    receive(parts: readonly Uint8Array[], nowMs: number): void {
        for (const part of parts) {
            const digest = contentParts.digestPart(part);
            this.requested.delete(digest);
            if (this.wanted.delete(digest)) {
                this.received.set(digest, part);
                this.receivedBytes += part.length;
                this.progressAtMs = nowMs;
                this.silenceMs = MIN_SILENCE_MS;
            }
        }
    }

    /** Whether the parts under way have been awaited for too long. */
    isSilent(nowMs: number): boolean {
        return this.requested.size > 0 && nowMs - this.progressAtMs >= this.silenceMs;
    }

    /** Lets the parts under way be requested again. */
    giveUpRequests(): void {
        this.requested.clear();
        this.silenceMs = Math.min(MAX_SILENCE_MS, this.silenceMs * 2);
    }

    /** Forgets all parts. */
    clear(): void {
        this.wanted.clear();
        this.requested.clear();
        this.received.clear();
        this.receivedBytes = 0;
        this.silenceMs = MIN_SILENCE_MS;
    }
}
