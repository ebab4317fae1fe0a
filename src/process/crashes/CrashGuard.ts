/**
 * The parts with which an entry learns which parts of prompts crash instances: what it knows, what it observes itself,
 * and what the entries tell each other.
 */
import * as clocks from "../../common/Clock";
import * as crashEvidence from "./CrashEvidence";
import * as crashExchanges from "./CrashExchange";
import * as crashMonitors from "./CrashMonitor";

/** What the guard needs from its process. */
export type CrashGuardOptions = Omit<crashExchanges.CrashExchangeOptions, "evidence" | "monitor">;

/** Owns the monitor and the exchange with the other entries. */
export class CrashGuard implements clocks.Disposable {
    readonly monitor: crashMonitors.CrashMonitor;
    private readonly exchange: crashExchanges.CrashExchange;

    constructor(options: CrashGuardOptions) {
        const evidence = new crashEvidence.CrashEvidence(options.clock);
        this.monitor = new crashMonitors.CrashMonitor({ ...options, evidence });
        this.exchange = new crashExchanges.CrashExchange({ ...options, evidence, monitor: this.monitor });
    }

    dispose(): void {
        this.exchange.dispose();
        this.monitor.dispose();
    }
}
