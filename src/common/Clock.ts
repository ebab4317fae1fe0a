/**
 * Time for every part of the system, in milliseconds. No other module reads the time.
 */

/** Undoes something started earlier: a timer, a listener, a connection. Calling it twice does nothing more. */
export interface Disposable {
    dispose(): void;
}

/** A source of time. */
export interface Clock {
    /** Milliseconds on a scale that never goes back; only differences have a meaning. */
    now(): number;
    /** Milliseconds since 1970; for identities and keys, never for intervals. */
    wall(): number;
    /** Calls back once after `delayMs`. */
    schedule(delayMs: number, callback: () => void): Disposable;
}

/** The machine's own time. */
export const systemClock: Clock = {
    now: () => performance.now(),
    wall: () => Date.now(),
    schedule(delayMs, callback) {
        const timer = setTimeout(callback, Math.max(0, delayMs));
        return { dispose: () => clearTimeout(timer) };
    },
};

/** Resolves after `delayMs`, or at once when `signal` aborts. */
export function sleep(clock: Clock, delayMs: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) {
        return Promise.resolve();
    }
    return new Promise(resolve => {
        const timer = clock.schedule(delayMs, finish);
        signal?.addEventListener("abort", finish, { once: true });
        function finish(): void {
            timer.dispose();
            signal?.removeEventListener("abort", finish);
            resolve();
        }
    });
}

/** Calls back every `periodMs` until disposed. */
export function every(clock: Clock, periodMs: number, callback: () => void): Disposable {
    let timer = clock.schedule(periodMs, tick);
    function tick(): void {
        timer = clock.schedule(periodMs, tick);
        callback();
    }
    return { dispose: () => timer.dispose() };
}

interface ManualTimer {
    dueMs: number;
    callback: () => void;
}

/** A clock that moves only when a test says so. */
export class ManualClock implements Clock {
    private nowMs: number;
    private readonly timers = new Set<ManualTimer>();

    constructor(startMs = 1_000_000) {
        this.nowMs = startMs;
    }

    now(): number {
        return this.nowMs;
    }

    wall(): number {
        return this.nowMs;
    }

    schedule(delayMs: number, callback: () => void): Disposable {
        const timer = { dueMs: this.nowMs + Math.max(0, delayMs), callback };
        this.timers.add(timer);
        return { dispose: () => void this.timers.delete(timer) };
    }

    /** Moves time on without running timers, as a stopped process sees it. */
    skip(byMs: number): void {
        this.nowMs += byMs;
    }

    /** Moves time on, running due timers in their order. */
    advance(byMs: number): void {
        const endMs = this.nowMs + byMs;
        for (;;) {
            const due = [...this.timers].filter(timer => timer.dueMs <= endMs).sort((a, b) => a.dueMs - b.dueMs)[0];
            if (due === undefined) {
                break;
            }
            this.timers.delete(due);
            this.nowMs = Math.max(this.nowMs, due.dueMs);
            due.callback();
        }
        this.nowMs = endMs;
    }
}
