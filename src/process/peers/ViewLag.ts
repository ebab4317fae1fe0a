/**
 * Whether this process's view of the published store is behind that of another entry. What isn't in such a view may
 * have been published, so that it is no evidence yet.
 */
import * as clocks from "../../common/Clock";
import * as positions from "../../common/Position";

const CHECK_INTERVAL_MS = 25;

/** What the comparison needs from its process. */
export interface ViewLagOptions {
    readonly clock: clocks.Clock;
    /** Position up to which this process knows the published store completely. */
    readonly position: () => positions.Position;
    /** The same of the other live entries, as they last stated it. */
    readonly peerPositions: () => readonly positions.Position[];
}

/** Compares the view with those of the other entries. */
export class ViewLag {
    constructor(private readonly options: ViewLagOptions) {}

    /** Waits until the view is as new as the newest at the time of the call; false if it isn't within `maxMs`. */
    async catchUp(maxMs: number, signal: AbortSignal): Promise<boolean> {
        const { clock, position, peerPositions } = this.options;
        const target = peerPositions().reduce(positions.latest, positions.START);
        const untilMs = clock.now() + maxMs;
        while (positions.isAfter(target, position())) {
            const remainingMs = untilMs - clock.now();
            if (remainingMs <= 0 || signal.aborted) {
                return false;
            }
            await clocks.sleep(clock, Math.min(CHECK_INTERVAL_MS, remainingMs), signal);
        }
        return true;
    }
}
