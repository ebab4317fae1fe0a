/**
 * Decides which instances may be cold, and when this process may send another call to one. All entries together may
 * send a cold instance only so many calls a second; each keeps to its share of that.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as views from "../published/PublishedView";
import * as shares from "../shares/FleetShare";
import * as fleetSizes from "../shares/FleetSize";
import * as arrivalWindows from "./ArrivalWindow";

/**
 * Added to the published cold time, since this process learns of a start late, and since an instance may start some
 * time after the last failed connection to it.
 */
const COLD_MARGIN_MS = 1_000;
/** Share of the permitted cold rate that is used, since network delays vary and calls may arrive in bursts. */
const COLD_RATE_SAFETY_FACTOR = 0.9;

/** How long a computed share is used; longer than a choice among many instances takes. */
const SHARE_LIFETIME_MS = 250;
/** Delay of a caller whom another entry can serve. */
const OTHER_ENTRY_MS = 300;

/** Rate permitted at a cold instance, for all entries together: its published rate times `factor` plus `extra`. */
export interface ColdRateLimit {
    readonly factor: number;
    readonly extra: number;
}

/** The calls of this process to an instance, as far as its cold rate is concerned. */
export interface ColdTraffic {
    readonly arrivals: arrivalWindows.ArrivalWindow;
    readonly lastUnreachableAtMs: number;
}

/** What the cold rates need from their process. */
export interface ColdRatesOptions {
    readonly clock: clocks.Clock;
    readonly view: Pick<views.PublishedView, "table" | "isOutOfService" | "outOfServiceDomains">;
    /** The entries that share the rates. */
    readonly fleet: fleetSizes.Fleet;
    readonly coldRateLimit: () => ColdRateLimit;
    readonly trafficOf: (instance: routing.RoutedInstance) => ColdTraffic;
}

/** This process's share of one instance's rate, computed of late. */
interface KnownShare {
    readonly steady: shares.SteadyShare;
    readonly share: number;
    readonly untilMs: number;
}

/** Keeps this process's share of the rates of cold instances. */
export class ColdRates {
    private readonly outOfServiceDomains = new Set<string>();
    /** When each failure domain last returned to service. */
    private readonly backInServiceMs = new Map<string, number>();
    private readonly sharesByWindow = new WeakMap<arrivalWindows.ArrivalWindow, KnownShare>();

    constructor(private readonly options: ColdRatesOptions) {}

    /** Whether the instance may have started so recently that it sustains only its cold rate. */
    isCold(instance: views.KnownInstance): boolean {
        const coldMs = this.options.view.table?.findService(instance.service)?.coldMs ?? 0;
        if (coldMs === 0) {
            return false;
        }
        const nowMs = this.options.clock.now();
        const possibleRestartMs = Math.max(
            this.options.trafficOf(instance).lastUnreachableAtMs,
            this.backInServiceMs.get(instance.failureDomain) ?? -Infinity,
        );
        return nowMs < instance.coldUntilMs + COLD_MARGIN_MS || nowMs < possibleRestartMs + coldMs + COLD_MARGIN_MS;
    }

    /** Calls that this process may send to a cold instance in a window. */
    shareOf(instance: views.KnownInstance): number {
        const { window } = this;
        if (shares.beginsInMs(this.options.fleet, window) > 0) {
            return 0;
        }
        const { arrivals } = this.options.trafficOf(instance);
        const known = this.sharesByWindow.get(arrivals);
        if (known !== undefined && window.nowMs < known.untilMs) {
            return known.share;
        }
        const steady = known?.steady ?? new shares.SteadyShare();
        const share = steady.update(this.computeShare(instance), window);
        this.sharesByWindow.set(arrivals, { steady, share, untilMs: window.nowMs + SHARE_LIFETIME_MS });
        return share;
    }

    private computeShare(instance: views.KnownInstance): number {
        const service = this.options.view.table?.findService(instance.service);
        const { factor, extra } = this.options.coldRateLimit();
        const totalPerSecond = COLD_RATE_SAFETY_FACTOR * ((service?.coldPerSecond ?? 0) * factor + extra);
        return shares.wholeShare(totalPerSecond, instance.id, this.options.fleet, this.window);
    }

    /** Calls that this process sent to an instance in the window that ends now. */
    usedOf(instance: views.KnownInstance): number {
        return this.options.trafficOf(instance).arrivals.count(this.options.clock.now());
    }

    /** Time until this process may send the instance another call; 0 unless it is cold, Infinity without a share. */
    waitMs(instance: views.KnownInstance): number {
        if (!this.isCold(instance)) {
            return 0;
        }
        const { fleet, trafficOf } = this.options;
        const beginsInMs = shares.beginsInMs(fleet, this.window);
        return beginsInMs > 0
            ? beginsInMs
            : trafficOf(instance).arrivals.waitMs(this.shareOf(instance), this.window.nowMs);
    }

    /** The same for the callers of an instance: where another entry has a share, they needn't wait for this one's. */
    callerWaitMs(instance: views.KnownInstance): number {
        const waitMs = this.waitMs(instance);
        const { fleet } = this.options;
        const isOwnLack = fleet.settledAtMs !== undefined
            && (waitMs === Infinity || shares.beginsInMs(fleet, this.window) > 0);
        return isOwnLack ? Math.min(waitMs, OTHER_ENTRY_MS) : waitMs;
    }

    /** Learns which failure domains have returned to service: their instances may have started meanwhile. */
    handleViewChange(): void {
        const { view, clock } = this.options;
        for (const domain of this.outOfServiceDomains) {
            if (!view.isOutOfService(domain)) {
                this.outOfServiceDomains.delete(domain);
                this.backInServiceMs.set(domain, clock.now());
            }
        }
        view.outOfServiceDomains.forEach(domain => this.outOfServiceDomains.add(domain));
    }

    private get window(): shares.ShareWindow {
        return { lengthMs: arrivalWindows.WINDOW_MS, nowMs: this.options.clock.now() };
    }
}
