/**
 * The configuration service as functions in this process: it can be down, answer with an old document or
 * with any content, and counts its calls.
 */
import * as result from "true-myth/result";
import * as clocks from "../src/common/Clock";
import * as codes from "../src/common/Codes";
import * as ports from "../src/common/Ports";

/** Time from a call to its answer. */
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
    /** What is answered in place of the published document; undefined for none. */
    replacement: unknown;

    constructor(private readonly clock: clocks.Clock) {}

    /** Calls received so far. */
    get callCount(): number {
        return this.receivedCalls;
    }

    /** Watches that wait now. */
    get waitingCount(): number {
        return this.waiters.size;
    }

    /** Publishes any document under the version that watches compare with. */
    publish(document: unknown, version: number): void {
        this.document = document;
        this.version = version;
        this.wakeWhere(waiter => waiter.version < version);
    }

    /** Takes the service down, failing the watches that wait, or brings it back. */
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
