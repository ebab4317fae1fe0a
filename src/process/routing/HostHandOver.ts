/**
 * Whether a host goes on making calls while it gives its orders to the next host. Load it answers: a rolling restart of
 * many entries under load, where orders keep arriving from entries that haven't heard yet that the host is stopping.
 */

/** The steps of one hand-over. */
export class HostHandOver {
    private state: "none" | "in-progress" | "done" = "none";

    /** Whether no new calls are made, and open orders wait to be moved. */
    get isInProgress(): boolean {
        return this.state === "in-progress";
    }

    /** Begins: calls under way are still waited for. */
    begin(): void {
        this.state = "in-progress";
    }

    /** Notes a new order. One that comes after the hand-over is served, since its sender knows no other host. */
    acceptOrder(): void {
        if (this.state === "done") {
            this.state = "none";
        }
    }

    /** Whether the orders are to be moved now, with no call under way any more; true once. */
    tryComplete(callsInFlight: number): boolean {
        if (this.state !== "in-progress" || callsInFlight > 0) {
            return false;
        }
        this.state = "done";
        return true;
    }
}
