/**
 * A fault of the store: it goes away and returns as it was some time before; later its writers write again.
 */
import * as stores from "../standins/platform/PlatformStoreStandIn";

/** Time for which the store is away before it returns. */
const AWAY_MS = 300;
/** Time after which its writers have written again. */
const WRITE_AGAIN_MS = 1_000;

/** Runs an action later, unless the soak has ended. */
type RunLater = (delayMs: number, action: () => void) => void;

/** Time until a store that loses the writes of `lostMs` has them again. */
export function durationMs(lostMs: number): number {
    return lostMs + AWAY_MS + WRITE_AGAIN_MS;
}

/** Makes the store lose what is written in the next `lostMs`. */
export function restoreLater(store: stores.PlatformStoreStandIn, lostMs: number, runLater: RunLater): void {
    const backup = store.backUp();
    runLater(lostMs, () => store.faults = { status: 503 });
    runLater(lostMs + AWAY_MS, () => {
        const lostWrites = store.restore(backup);
        store.faults = {};
        runLater(WRITE_AGAIN_MS, () => store.writeAgain(lostWrites, backup));
    });
}
