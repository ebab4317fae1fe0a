/**
 * How long calls have taken of late, relative to what their requests let expect. Only a stopping process asks: it
 * takes no call that it couldn't finish.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as expectedTimes from "./ExpectedTime";

/** Number of calls of a service that are remembered. */
const MAX_SAMPLES = 40;
const SAMPLE_LIFETIME_MS = 60_000;
/** Share of the remembered calls that took no longer than expected by the result. */
const QUANTILE = 0.95;

interface Sample {
    readonly ratio: number;
    readonly atMs: number;
}

/** The durations of whole answers, by service. */
export class CallDurations {
    private readonly samplesByService = new Map<string, Sample[]>();

    constructor(private readonly clock: clocks.Clock) {}

    /** Records a call that got its whole answer from an instance of the service. */
    record(
        service: string,
        route: routing.Route,
        metadata: routingPorts.RoutedCallMetadata,
        elapsedMs: number,
    ): void {
        const samples = this.samplesByService.get(service) ?? [];
        this.samplesByService.set(service, samples);
        samples.push({ ratio: elapsedMs / expectedTimes.typicalMs(route, metadata), atMs: this.clock.now() });
        if (samples.length > MAX_SAMPLES) {
            samples.shift();
        }
    }

    /** Expected duration of a call, capped by the timeout of its route; never below what its request lets expect. */
    expectedMs(route: routing.Route, metadata: routingPorts.RoutedCallMetadata): number {
        const ratios = route.targets.map(({ service }) => this.findRatio(service));
        return Math.min(route.timeoutMs, Math.max(1, ...ratios) * expectedTimes.typicalMs(route, metadata));
    }

    private findRatio(service: string): number {
        const sinceMs = this.clock.now() - SAMPLE_LIFETIME_MS;
        const recent = (this.samplesByService.get(service) ?? []).filter(({ atMs }) => atMs >= sinceMs);
        const sorted = recent.map(({ ratio }) => ratio).sort((left, right) => left - right);
        return sorted[Math.ceil(QUANTILE * sorted.length) - 1] ?? 1;
    }
}
