/**
 * How much of the makers' memory the results of stages take up: what calls in progress will make, and what has been
 * made and not been given back.
 */

interface HeldResult {
    readonly instance: string;
    readonly bytes: number;
    readonly lapsesAtMs: number;
}

interface Reservation {
    readonly instance: string;
    readonly lapsesAtMs: number;
    bytes: number;
}

/** Time after which results that nobody here knows of are taken to have lapsed, unless room runs short again. */
const UNKNOWN_MS = 600;

/** Counts the bytes at each instance. */
export class RoomUse {
    private readonly held = new Map<string, HeldResult>();
    private readonly reserved = new Map<number, Reservation>();
    /** What earlier hosts had made and nobody gives back, by instance. */
    private readonly unknown = new Map<string, { readonly bytes: number; readonly lapsesAtMs: number }>();

    /** Bytes taken at an instance, by results known here and by others. */
    bytesAt(instance: string, nowMs: number): number {
        const unknown = this.unknown.get(instance);
        const unknownBytes = unknown !== undefined && unknown.lapsesAtMs > nowMs ? unknown.bytes : 0;
        return unknownBytes + this.knownBytesAt(instance, nowMs);
    }

    /** Bytes of the results known here; those that have lapsed no longer count. */
    knownBytesAt(instance: string, nowMs: number): number {
        let bytes = 0;
        for (const reservation of this.reserved.values()) {
            const counts = reservation.instance === instance && reservation.lapsesAtMs > nowMs;
            bytes += counts ? reservation.bytes : 0;
        }
        for (const [handle, result] of this.held) {
            if (result.lapsesAtMs <= nowMs) {
                this.held.delete(handle);
            }
            else if (result.instance === instance) {
                bytes += result.bytes;
            }
        }
        return bytes;
    }

    /** Notes that an instance had no room left, though only the known results and `unknownBytes` take up room there. */
    noteFull(instance: string, unknownBytes: number, nowMs: number): void {
        this.unknown.set(instance, { bytes: Math.max(0, unknownBytes), lapsesAtMs: nowMs + UNKNOWN_MS });
    }

    /** Adds to what a call in progress will make; its results lapse at `lapsesAtMs` also if no answer names them. */
    reserve(call: number, instance: string, bytes: number, lapsesAtMs: number): void {
        const reservation = this.reserved.get(call) ?? { instance, lapsesAtMs, bytes: 0 };
        reservation.bytes += bytes;
        this.reserved.set(call, reservation);
    }

    /** Ends the reservation of a call. */
    unreserve(call: number): void {
        this.reserved.delete(call);
    }

    /** Adds a result, until it is removed or lapses. */
    add(handle: string, instance: string, bytes: number, lapsesAtMs: number): void {
        this.held.set(handle, { instance, bytes, lapsesAtMs });
    }

    /** Whether a result is held and won't lapse before `untilMs`. */
    isHeld(handle: string, untilMs: number): boolean {
        return (this.held.get(handle)?.lapsesAtMs ?? -Infinity) > untilMs;
    }

    /** The maker of a result that is held. */
    instanceOf(handle: string): string | undefined {
        return this.held.get(handle)?.instance;
    }

    /** Removes a result that was given back. */
    remove(handle: string): void {
        this.held.delete(handle);
    }
}
