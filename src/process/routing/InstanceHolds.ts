/**
 * The holds of all instances that this process sends to, by incarnation; the address finds the hold of an instance that
 * the store doesn't list at the moment.
 */
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as holds from "./InstanceHold";
import * as views from "./PublishedView";

/** The kind of request that the instance rejected. */
export type HoldSource = "call" | "stage-call" | "release" | "start-check";

/** What the holds need from their process. */
export interface InstanceHoldsOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly view: views.PublishedView;
    readonly isInService: (instance: routing.RoutedInstance) => boolean;
    /** Number of entries, including this one. */
    readonly entryCount: () => number;
}

/** Records the holds that instances ask for. */
export class InstanceHolds {
    private readonly byIncarnation = new Map<string, holds.InstanceHold>();
    /** The holds in force by address, also those of instances that have left the store. */
    private readonly byAddress = new Map<string, holds.InstanceHold>();
    /** End of the last hold; nothing is looked up after it. */
    private lastEndMs = -Infinity;
    /** Number of rejections that asked for a hold. */
    count = 0;

    constructor(private readonly options: InstanceHoldsOptions) {}

    /** Number of incarnations that hold off now. */
    get heldCount(): number {
        return [...this.byIncarnation.values()].filter(hold => this.remainingMsOf(hold) > 0).length;
    }

    /** The hold of an incarnation, created at the first use. */
    obtain(incarnation: string): holds.InstanceHold {
        let hold = this.byIncarnation.get(incarnation);
        if (hold === undefined) {
            hold = new holds.InstanceHold();
            this.byIncarnation.set(incarnation, hold);
        }
        return hold;
    }

    /** Forgets incarnations that aren't in use and whose hold has ended. The store may list the others again. */
    forgetUnused(isInUse: (incarnation: string) => boolean): void {
        for (const [incarnation, hold] of this.byIncarnation) {
            if (this.remainingMsOf(hold) === 0 && !isInUse(incarnation)) {
                this.byIncarnation.delete(incarnation);
            }
        }
    }

    /** Starts or prolongs the hold of an instance, which may not be listed at its address any more. */
    start(
        address: string,
        instance: routing.RoutedInstance | undefined,
        statedMs: number,
        source: HoldSource,
    ): void {
        const { clock, log, random, entryCount } = this.options;
        const hold = instance === undefined
            ? this.byAddress.get(address) ?? new holds.InstanceHold()
            : this.obtain(routing.incarnationKey(instance));
        const endMs = clock.now() + statedMs + holds.returnSpreadMs(entryCount(), random());
        hold.extendTo(endMs);
        this.lastEndMs = Math.max(this.lastEndMs, endMs);
        this.forgetEnded();
        this.byAddress.set(address, hold);
        this.count++;
        log.info({
            decision: "instance-hold",
            instance: instance?.id,
            address,
            source,
            statedMs: Math.round(statedMs),
            heldForMs: Math.round(this.remainingMsOf(hold)),
            untilMs: Math.round(clock.wall() + this.remainingMsOf(hold)),
        }, "instance asked for a hold; nothing is sent to it until its end");
    }

    /** Time until anything may be sent to an instance again; 0 if it doesn't hold off. */
    remainingMs(instance: routing.RoutedInstance): number {
        const hold = this.isAnyInForce ? this.byIncarnation.get(routing.incarnationKey(instance)) : undefined;
        return this.remainingMsOf(hold);
    }

    /** The same for whichever instance listens at an address. */
    remainingMsAt(address: string): number {
        const instance = this.isAnyInForce ? this.options.view.findByAddress(address) : undefined;
        return instance === undefined ? this.remainingMsOf(this.byAddress.get(address)) : this.remainingMs(instance);
    }

    /**
     * Time until an instance of a service, and of a software version if one is given, may be used again; 0 if one may be
     * now, or if none is in service.
     */
    serviceHoldMs(service: string, softwareVersion?: string): number {
        const { view, isInService } = this.options;
        const inService = this.isAnyInForce
            ? view.instances(service).filter(instance =>
                isInService(instance)
                && (softwareVersion === undefined || instance.softwareVersion === softwareVersion)
            )
            : [];
        return inService.length === 0 ? 0 : Math.min(...inService.map(instance => this.remainingMs(instance)));
    }

    /**
     * Retry delay for callers of a service, and of a software version if one is given, of which all instances hold off;
     * undefined if one may be used.
     */
    callerRetryAfterMs(service: string, softwareVersion?: string): number | undefined {
        const holdMs = this.serviceHoldMs(service, softwareVersion);
        return holdMs === 0 ? undefined : holds.callerRetryAfterMs(holdMs, this.options.random());
    }

    private get isAnyInForce(): boolean {
        return this.options.clock.now() < this.lastEndMs;
    }

    private remainingMsOf(hold: holds.InstanceHold | undefined): number {
        return hold?.remainingMs(this.options.clock.now()) ?? 0;
    }

    private forgetEnded(): void {
        for (const [address, hold] of this.byAddress) {
            if (this.remainingMsOf(hold) === 0) {
                this.byAddress.delete(address);
            }
        }
    }
}
