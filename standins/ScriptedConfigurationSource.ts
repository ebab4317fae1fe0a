/**
 * The configuration service as functions in this process: it can be down, answer with an old document or
 * with any content, and counts its calls.
 */
import * as result from "true-myth/result";
import * as clocks from "../src/common/Clock";
import * as codes from "../src/common/Codes";
import * as ports from "../src/common/Ports";

/** Time from a call to its answer. */
const ANSWER_MS = 2;

interface Waiter {
    readonly version: number;
    wake(): void;
}

/** Serves one document to any number of readers. */
export class ScriptedConfigurationSource implements ports.ConfigurationSource {
    private readonly waiters = new Set<Waiter>();
    private content: unknown;
    private version = 0;
    private calls = 0;
    /** Whether calls fail. */
    down = false;
    /** What is answered in place of the published document; undefined for none. */
    override: unknown;

    constructor(private readonly clock: clocks.Clock) {}

    /** Calls received so far. */
    get callCount(): number {
        return this.calls;
    }

    /** Watches that wait now. */
    get waitingCount(): number {
        return this.waiters.size;
    }

    /** Publishes any document under the version that watches compare with. */
    publish(content: unknown, version: number): void {
        this.content = content;
        this.version = version;
        this.wakeWhere(waiter => waiter.version < version);
    }

    /** Takes the service down, failing the watches that wait, or brings it back. */
    setDown(down: boolean): void {
        this.down = down;
        this.wakeWhere(() => down);
    }

    async read(signal: AbortSignal): ports.Reply<unknown> {
        this.calls++;
        await clocks.sleep(this.clock, ANSWER_MS, signal);
        return this.answer(signal);
    }

    async watch(version: number, signal: AbortSignal): ports.Reply<unknown> {
        this.calls++;
        await clocks.sleep(this.clock, ANSWER_MS, signal);
        if (this.override === undefined && !this.down && this.version <= version && !signal.aborted) {
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
        if (this.down || signal.aborted) {
            return result.err(codes.failure(codes.codes.sourceUnavailable, this.down ? "down" : "aborted"));
        }
        return result.ok(this.override ?? this.content);
    }
}
