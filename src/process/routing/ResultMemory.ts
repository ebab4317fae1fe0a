/**
 * How much of the makers' memory the results of stages take up: what calls in progress will make, and what has been
 * made and not been given back.
 */

interface HeldResult {
    readonly instance: string;
    readonly bytes: number;
    readonly expiresAtMs: number;
}

interface Reservation {
    readonly instance: string;
    readonly expiresAtMs: number;
    bytes: number;
}

/** Time after which results that nobody here knows of are taken to have lapsed, unless room runs short again. */
const UNTRACKED_LIFETIME_MS = 600;

/** Counts the bytes at each instance. */
export class ResultMemory {
    private readonly held = new Map<string, HeldResult>();
    private readonly reservations = new Map<number, Reservation>();
    /** What earlier hosts had made and nobody gives back, by instance. */
    private readonly untracked = new Map<string, { readonly bytes: number; readonly expiresAtMs: number }>();

    /** Bytes taken at an instance, by results known here and by others. */
    usedBytes(instance: string, nowMs: number): number {
        const untracked = this.untracked.get(instance);
        const untrackedBytes = untracked !== undefined && untracked.expiresAtMs > nowMs ? untracked.bytes : 0;
        return untrackedBytes + this.trackedBytes(instance, nowMs);
    }

    /** Bytes of the results known here; those that have lapsed no longer count. */
    trackedBytes(instance: string, nowMs: number): number {
        let bytes = 0;
        for (const reservation of this.reservations.values()) {
            const isCounted = reservation.instance === instance && reservation.expiresAtMs > nowMs;
            bytes += isCounted ? reservation.bytes : 0;
        }
        for (const [handle, result] of this.held) {
            if (result.expiresAtMs <= nowMs) {
                this.held.delete(handle);
            }
            else if (result.instance === instance) {
                bytes += result.bytes;
            }
        }
        return bytes;
    }

    /** Notes that an instance had no room left, though only the known results and `unknownBytes` take up room there. */
    recordUntracked(instance: string, untrackedBytes: number, nowMs: number): void {
        this.untracked.set(instance, {
            bytes: Math.max(0, untrackedBytes),
            expiresAtMs: nowMs + UNTRACKED_LIFETIME_MS,
        });
    }

    /** Adds to what a call in progress will make; its results lapse at `lapsesAtMs` also if no answer names them. */
    reserve(batchId: number, instance: string, bytes: number, expiresAtMs: number): void {
        const reservation = this.reservations.get(batchId) ?? { instance, expiresAtMs, bytes: 0 };
        reservation.bytes += bytes;
        this.reservations.set(batchId, reservation);
    }

    /** Ends the reservation of a call. */
    unreserve(batchId: number): void {
        this.reservations.delete(batchId);
    }

    /** Adds a result, until it is removed or lapses. */
    add(handle: string, instance: string, bytes: number, expiresAtMs: number): void {
        this.held.set(handle, { instance, bytes, expiresAtMs });
    }

    /** Whether a result is held and won't lapse before `untilMs`. */
    isHeld(handle: string, untilMs: number): boolean {
        return (this.held.get(handle)?.expiresAtMs ?? -Infinity) > untilMs;
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
