/**
 * Decides when this process may send another request to an instance that has named a limit for all entries together.
 * Designed for small limits before many entries: a few requests in a window of seconds, of which some entries get one
 * and others none, without asking each other.
 */
const MS_PER_SECOND = 1_000;
/** Window in which the limit is kept. */
export const WINDOW_MS = 4_000;
/** Added to the window, since network delays vary: requests sent over a longer time may arrive within it. */
const WINDOW_MARGIN_MS = 150;
/** How long a request counts. */
export const COUNTED_MS = WINDOW_MS + WINDOW_MARGIN_MS;
/** Within this shorter window, at most twice the mean rate is sent, so that the requests don't come all at once. */
const BURST_WINDOW_MS = 500;
const BURST_FACTOR = 2;
/** Shortest time after which it is worth to ask again. */
const MIN_WAIT_MS = 50;
/** Share of the window that must be free for requests that can be left out. */
const SPARE_SHARE = 0.5;

/** Requests that all entries together may send in a window; at least one, since only an answer tells the limit's end. */
export function requestsPerWindow(perSecond: number): number {
    return Math.max(1, Math.floor(perSecond * WINDOW_MS / MS_PER_SECOND));
}

/** The requests of this process to one incarnation of an instance, while that names a limit. */
export class LimitedRate {
    /** In their order; times ahead stand for requests beyond the share, which postpone the next ones. */
    private sentAtMs: number[] = [];
    private share = Infinity;

    /** Whether the instance names a limit. */
    get isLimited(): boolean {
        return this.share !== Infinity;
    }

    /** This process's share of a window, and what it has sent in the one that ends now, without what is postponed. */
    usage(nowMs: number): { readonly share: number; readonly used: number } {
        const sinceMs = nowMs - COUNTED_MS;
        return { share: this.share, used: this.sentAtMs.filter(atMs => atMs >= sinceMs && atMs <= nowMs).length };
    }

    /** Sets the number of requests in a window; Infinity without a limit. */
    setShare(share: number): void {
        this.share = share;
        if (share === Infinity) {
            this.sentAtMs = [];
        }
    }

    /** Time until the next request may be sent; Infinity if this entry has no share. */
    waitMs(nowMs: number): number {
        if (!this.isLimited) {
            return 0;
        }
        if (this.share === 0) {
            return Infinity;
        }
        this.dropBefore(nowMs - COUNTED_MS);
        const windowEndMs = this.endOfWindow(this.share, COUNTED_MS);
        const burst = Math.max(1, Math.ceil(BURST_FACTOR * this.share * BURST_WINDOW_MS / WINDOW_MS));
        const waitMs = Math.max(windowEndMs, this.endOfWindow(burst, BURST_WINDOW_MS)) - nowMs;
        return waitMs <= 0 ? 0 : Math.max(MIN_WAIT_MS, waitMs);
    }

    /** The same for a request that can be left out, and leaves room for others. */
    spareWaitMs(nowMs: number): number {
        const waitMs = this.waitMs(nowMs);
        const spare = Math.ceil(this.share * SPARE_SHARE);
        const spareWaitMs = waitMs === 0 && this.isLimited
            ? this.endOfWindow(spare, COUNTED_MS) - nowMs
            : waitMs;
        return spareWaitMs <= 0 ? 0 : Math.max(MIN_WAIT_MS, spareWaitMs);
    }

    /** Counts a request that is being sent. */
    add(nowMs: number): void {
        if (this.isLimited) {
            const earliestMs = this.endOfWindow(Math.max(1, this.share), COUNTED_MS);
            this.sentAtMs.push(Math.max(nowMs, earliestMs, this.sentAtMs.at(-1) ?? -Infinity));
        }
    }

    /** When fewer than `count` requests will be in a window of this length. */
    private endOfWindow(count: number, windowMs: number): number {
        const oldest = this.sentAtMs.at(-count);
        return this.sentAtMs.length < count ? -Infinity : oldest! + windowMs;
    }

    private dropBefore(sinceMs: number): void {
        if (this.sentAtMs.length > 0 && this.sentAtMs[0]! < sinceMs) {
            this.sentAtMs = this.sentAtMs.filter(atMs => atMs >= sinceMs);
        }
    }
}
