/**
 * Tracks the handover of a stage host's orders to the next host, during which no calls are started. Designed for
 * rolling restarts of many entries under load, where orders keep arriving from entries that don't know yet that the
 * host is stopping.
 */

/** State of a handover. */
export class HostHandOver {
    private state: "none" | "in-progress" | "done" = "none";

    /** Whether no new calls are started and open orders wait to be handed over. */
    get isInProgress(): boolean {
        return this.state === "in-progress";
    }

    /** Starts the handover, which completes once the calls in flight have ended. */
    begin(): void {
        this.state = "in-progress";
    }

    /** Resets a completed handover when an order arrives: it runs here, since its sender knows no other host. */
    recordOrder(): void {
        if (this.state === "done") {
            this.state = "none";
        }
    }

    /** Completes the handover when no call is in flight; returns true once, when the orders must be handed over. */
    tryComplete(callsInFlight: number): boolean {
        if (this.state !== "in-progress" || callsInFlight > 0) {
            return false;
        }
        this.state = "done";
        return true;
    }
}
