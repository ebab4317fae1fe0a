/**
 * In-process stand-in of the configuration service. It counts calls, can be unavailable, and can answer with an old
 * document or arbitrary content.
 */
import * as result from "true-myth/result";
import * as clocks from "../src/common/Clock";
import * as codes from "../src/common/Codes";
import * as ports from "../src/common/Ports";

/** Delay between a call and its answer. */
const ANSWER_DELAY_MS = 2;

interface Waiter {
    readonly version: number;
    wake(): void;
}

/** Serves one document to any number of readers. */
export class ScriptedConfigurationSource implements ports.ConfigurationSource {
    private readonly waiters = new Set<Waiter>();
    private document: unknown;
    private version = 0;
    private receivedCalls = 0;
    /** Whether calls fail. */
    isDown = false;
    /** Content to answer with instead of the published document; undefined for none. */
    replacement: unknown;

    constructor(private readonly clock: clocks.Clock) {}

    /** Number of calls received. */
    get callCount(): number {
        return this.receivedCalls;
    }

    /** Number of waiting watches. */
    get waitingCount(): number {
        return this.waiters.size;
    }

    /** Publishes arbitrary content; watches compare their version with `version`. */
    publish(document: unknown, version: number): void {
        this.document = document;
        this.version = version;
        this.wakeWhere(waiter => waiter.version < version);
    }

    /** Makes the service unavailable, which fails the waiting watches, or available again. */
    setDown(isDown: boolean): void {
        this.isDown = isDown;
        this.wakeWhere(() => isDown);
    }

    async read(signal: AbortSignal): ports.Reply<unknown> {
        this.receivedCalls++;
        await clocks.sleep(this.clock, ANSWER_DELAY_MS, signal);
        return this.answer(signal);
    }

    async watch(version: number, signal: AbortSignal): ports.Reply<unknown> {
        this.receivedCalls++;
        await clocks.sleep(this.clock, ANSWER_DELAY_MS, signal);
        if (this.replacement === undefined && !this.isDown && this.version <= version && !signal.aborted) {
            await this.wait(version, signal);
        }
        return this.answer(signal);
    }

    private wait(version: number, signal: AbortSignal): Promise<void> {
        return new Promise(resolve => {
            const wake = () => {
                this.waiters.delete(waiter);
                signal.removeEventListener("abort", wake);
                resolve();
            };
            const waiter = { version, wake };
            this.waiters.add(waiter);
            signal.addEventListener("abort", wake, { once: true });
        });
    }

    private wakeWhere(matches: (waiter: Waiter) => boolean): void {
        for (const waiter of [...this.waiters].filter(matches)) {
            waiter.wake();
        }
    }

    private answer(signal: AbortSignal): result.Result<unknown, codes.Failure> {
        if (this.isDown || signal.aborted) {
            return result.err(codes.failure(codes.codes.sourceUnavailable, this.isDown ? "down" : "aborted"));
        }
        return result.ok(this.replacement ?? this.document);
    }
}
