/**
 * Tracks the result memory in use on each stage worker: reservations of calls in flight, and results that have been
 * computed and not released.
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

/** Untracked results count as expired after this time, unless the worker reports full memory again. */
const UNTRACKED_LIFETIME_MS = 600;

/** Bytes in use, by instance. */
export class ResultMemory {
    private readonly held = new Map<string, HeldResult>();
    /** Handles of `held` by the instance that holds them. */
    private readonly handlesByInstance = new Map<string, Set<string>>();
    /** By id of the call. */
    private readonly reserved = new Map<number, Reservation>();
    /** Results that were computed for earlier hosts and that nobody releases, by instance. */
    private readonly untracked = new Map<string, { readonly bytes: number; readonly expiresAtMs: number }>();

    /** Bytes in use at an instance by tracked and untracked results. */
    usedBytes(instance: string, nowMs: number): number {
        const untracked = this.untracked.get(instance);
        const untrackedBytes = untracked !== undefined && untracked.expiresAtMs > nowMs ? untracked.bytes : 0;
        return untrackedBytes + this.trackedBytes(instance, nowMs);
    }

    /** Bytes of the reservations and tracked results that have not expired. */
    trackedBytes(instance: string, nowMs: number): number {
        let bytes = 0;
        for (const reservation of this.reserved.values()) {
            const isCounted = reservation.instance === instance && reservation.expiresAtMs > nowMs;
            bytes += isCounted ? reservation.bytes : 0;
        }
        for (const handle of this.handlesByInstance.get(instance) ?? []) {
            const result = this.held.get(handle)!;
            if (result.expiresAtMs <= nowMs) {
                this.remove(handle);
            }
            else {
                bytes += result.bytes;
            }
        }
        return bytes;
    }

    /** Attributes `untrackedBytes` to untracked results, after an instance has reported full memory. */
    recordUntracked(instance: string, untrackedBytes: number, nowMs: number): void {
        this.untracked.set(instance, {
            bytes: Math.max(0, untrackedBytes),
            expiresAtMs: nowMs + UNTRACKED_LIFETIME_MS,
        });
    }

    /** Adds to the reservation of a call, which expires at `expiresAtMs` if the end of the call isn't recorded. */
    reserve(call: number, instance: string, bytes: number, expiresAtMs: number): void {
        const reservation = this.reserved.get(call) ?? { instance, expiresAtMs, bytes: 0 };
        reservation.bytes += bytes;
        this.reserved.set(call, reservation);
    }

    /** Ends the reservation of a call. */
    unreserve(call: number): void {
        this.reserved.delete(call);
    }

    /** Tracks a result until it is removed or expires. */
    add(handle: string, instance: string, bytes: number, expiresAtMs: number): void {
        this.remove(handle);
        this.held.set(handle, { instance, bytes, expiresAtMs });
        const handles = this.handlesByInstance.get(instance) ?? new Set();
        this.handlesByInstance.set(instance, handles.add(handle));
    }

    /** Whether a result is tracked and expires after `untilMs`. */
    isHeld(handle: string, untilMs: number): boolean {
        return (this.held.get(handle)?.expiresAtMs ?? -Infinity) > untilMs;
    }

    /** The worker that holds a result; undefined when the result isn't tracked. */
    instanceOf(handle: string): string | undefined {
        return this.held.get(handle)?.instance;
    }

    /** Removes expired results, also of workers that are gone. Stops at the first other one: the oldest come first. */
    dropExpired(nowMs: number): void {
        for (const [handle, result] of this.held) {
            if (result.expiresAtMs > nowMs) {
                return;
            }
            this.remove(handle);
        }
    }

    /** Removes a released result. */
    remove(handle: string): void {
        const result = this.held.get(handle);
        if (result === undefined) {
            return;
        }
        this.held.delete(handle);
        const handles = this.handlesByInstance.get(result.instance)!;
        handles.delete(handle);
        if (handles.size === 0) {
            this.handlesByInstance.delete(result.instance);
        }
    }
}
