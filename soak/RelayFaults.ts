/**
 * Faults of the relays between the processes and stand-ins of a soak.
 */
import * as relays from "../standins/TcpRelay";
import * as faults from "./SoakFaults";

const LINK_DELAY_MS = 250;

/** Starts a fault of a link, which ends after its duration. */
export function injectRelayFault(
    link: relays.TcpRelay,
    kind: typeof faults.LINK_FAULTS[number],
    durationMs: number,
    runLater: (delayMs: number, action: () => void) => void,
): void {
    if (kind === "delay") {
        link.delayMs = LINK_DELAY_MS;
    }
    else {
        link.mode = kind;
    }
    runLater(durationMs, () => {
        link.delayMs = 0;
        link.mode = "pass";
    });
}
