/**
 * Which software version began which stream. Callers name a stream by the attempt that brought its first event; what two
 * versions write doesn't fit together, so that a stream may go on only on instances of the version that began it.
 */

/** Maximum number of streams that are remembered; the oldest are forgotten first. */
const MAX_STREAMS = 50_000;

/** The service whose instance sent a stream's first event, and the version of that instance's software. */
export interface StreamOrigin {
    readonly service: string;
    readonly softwareVersion: string;
}

/** A stream with its origin, and how long its caller may still come back. */
export interface KnownStream extends StreamOrigin {
    readonly attempt: string;
    readonly lifetimeMs: number;
}

/** What a resumed call may be sent to. */
export type ResumeDecision =
    | { readonly kind: "bound"; readonly origin: StreamOrigin }
    /** The stream began on a service that no longer serves the route: no version of the present one has written to it. */
    | { readonly kind: "free" }
    | { readonly kind: "unknown" };

/** What the decision on a resumed call depends on. */
export interface ResumeEvidence {
    /** Origins known for the stream, one for each service that has written to it. */
    readonly origins: readonly StreamOrigin[];
    /** The services that serve the route. */
    readonly targets: readonly string[];
    /** The one of them that a new call would be sent to. */
    readonly service: string;
    /** The only version that instances of `service` have had while the stream can have begun; undefined if unknown. */
    readonly onlyVersion: string | undefined;
}

/** Decides what a resumed call may be sent to; never guesses a version. */
export function decideResume(evidence: ResumeEvidence): ResumeDecision {
    const { origins, targets, service, onlyVersion } = evidence;
    const origin = origins.find(other => targets.includes(other.service));
    if (origin !== undefined) {
        return { kind: "bound", origin };
    }
    if (origins.length > 0) {
        return { kind: "free" };
    }
    return onlyVersion === undefined
        ? { kind: "unknown" }
        : { kind: "bound", origin: { service, softwareVersion: onlyVersion } };
}

interface StreamRecord {
    readonly origins: readonly StreamOrigin[];
    readonly expiresAtMs: number;
}

/** A bounded memory of streams and their origins. */
export class StreamOrigins {
    /** By attempt, in the order of the latest addition. */
    private readonly records = new Map<string, StreamRecord>();

    /** Remembers an origin; false if one of the same service is known already, which is kept. */
    add(stream: KnownStream, nowMs: number): boolean {
        const { attempt, service, softwareVersion, lifetimeMs } = stream;
        const known = this.find(attempt, nowMs);
        if (known.some(origin => origin.service === service)) {
            return false;
        }
        this.records.delete(attempt);
        this.records.set(attempt, {
            origins: [...known, { service, softwareVersion }],
            expiresAtMs: nowMs + lifetimeMs,
        });
        this.forget(nowMs);
        return true;
    }

    /** The known origins of a stream, one for each service that has written to it. */
    find(attempt: string, nowMs: number): readonly StreamOrigin[] {
        const record = this.records.get(attempt);
        return record === undefined || record.expiresAtMs < nowMs ? [] : record.origins;
    }

    /** All remembered streams to which the service has written. */
    streamsOf(service: string, nowMs: number): KnownStream[] {
        const streams: KnownStream[] = [];
        for (const [attempt, { origins, expiresAtMs }] of this.records) {
            const origin = origins.find(other => other.service === service);
            if (origin !== undefined && expiresAtMs >= nowMs) {
                streams.push({ attempt, ...origin, lifetimeMs: expiresAtMs - nowMs });
            }
        }
        return streams;
    }

    /** Forgets expired streams at the front, and the oldest ones if there are too many. */
    private forget(nowMs: number): void {
        for (const [attempt, { expiresAtMs }] of this.records) {
            if (expiresAtMs >= nowMs && this.records.size <= MAX_STREAMS) {
                return;
            }
            this.records.delete(attempt);
        }
    }
}
