/**
 * The only module that reads the time; all other code gets it through a `Clock`, in milliseconds.
 */
import * as events from "node:events";

/** Releases a resource, such as a timer, a listener or a connection. Further calls have no effect. */
export interface Disposable {
    dispose(): void;
}

/** A source of time and timers. */
export interface Clock {
    /** Monotonic time in milliseconds; only differences are meaningful. */
    now(): number;
    /** Wall-clock time in milliseconds since 1970; for identities and keys, never for intervals. */
    wall(): number;
    /** Calls `callback` once after `delayMs`, or after the longest delay of a timer if that is shorter. */
    schedule(delayMs: number, callback: () => void): Disposable;
    /** Calls `callback` once the event loop has read what has arrived by now, connections that ended among it. */
    afterReads(callback: () => void): Disposable;
}

/**
 * Turns of the event loop in which pending input is read. The end of a connection takes the most: it is read in the
 * first complete turn, and reported as closed in the next one.
 */
const READ_TURNS = 4;

/** Longest delay of a timer, almost 25 days; Node.js calls back at once after a longer one. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The clock of the operating system. */
export const systemClock: Clock = {
    now: () => performance.now(),
    wall: () => Date.now(),
    schedule(delayMs, callback) {
        const timer = setTimeout(callback, Math.min(MAX_TIMER_MS, Math.max(0, delayMs)));
        return { dispose: () => clearTimeout(timer) };
    },
    afterReads(callback) {
        let turns = 0;
        let immediate = setImmediate(nextTurn);
        function nextTurn(): void {
            turns++;
            if (turns === READ_TURNS) {
                callback();
                return;
            }
            immediate = setImmediate(nextTurn);
        }
        return { dispose: () => clearImmediate(immediate) };
    },
};

/** A controller whose signal any number of tasks may wait for; Node.js warns from eleven listeners on. */
export function createStop(): AbortController {
    const stop = new AbortController();
    events.EventEmitter.setMaxListeners(0, stop.signal);
    return stop;
}

/** Resolves after `delayMs`, or as soon as `signal` aborts. */
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

/** Calls `callback` every `periodMs` until disposed. */
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

/** A clock for tests that advances only when told to. */
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

    afterReads(callback: () => void): Disposable {
        return this.schedule(0, callback);
    }

    /** Advances the time without running timers, as if the process had been paused. */
    skip(byMs: number): void {
        this.nowMs += byMs;
    }

    /** Advances the time and runs due timers in the order of their due times. */
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
