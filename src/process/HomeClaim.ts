/**
 * Who may serve an idempotency key on this agent. After a change of a service's slots, keys that moved here are
 * refused until their earlier homes have confirmed the change, are gone, or the key lifetime has passed.
 */
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as keyHomes from "../version/KeyHome";

/** First time between two tries to reach an instance; doubles up to the longest. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 5_000;

/** An instance's word on a version; unreachable is asked again. */
export type Confirmation = "yielded" | "gone" | "unreachable";

/** What a home claim needs. */
export interface HomeClaimOptions {
    readonly clock: clocks.Clock;
    /** This agent's slot. */
    readonly slot: string;
    readonly lifetimeMs: () => number;
    /** Asks whether an instance holds at least `version`. */
    readonly confirm: (instance: string, version: number) => Promise<Confirmation>;
    /** Called when the lifetime passed without an instance's confirmation, and when a lower version is ignored. */
    readonly onAlarm: (failure: codes.Failure) => void;
}

/** Keys held back for one change of the slots. */
interface Hold {
    readonly version: number;
    readonly sinceMs: number;
    /** The slots before the change; undefined when nothing is known of the time before. */
    readonly previous: readonly string[] | undefined;
    /** Instances that could have been home. */
    readonly asked: Set<string>;
    /** Those of them that haven't confirmed. */
    readonly pending: Set<string>;
}

/** Tries to reach one instance. */
interface Inquiry {
    delayMs: number;
    asking: boolean;
    timer: clocks.Disposable | undefined;
}

/** Decides whether this agent may serve a key. */
export class HomeClaim implements clocks.Disposable {
    private version = 0;
    private versionMs = -Infinity;
    private slots: readonly string[] = [];
    private holds: Hold[] = [];
    private readonly inquiries = new Map<string, Inquiry>();
    private disposed = false;

    constructor(private readonly options: HomeClaimOptions) {}

    /** Takes over the service's slots under `version`, and the service's agents on the instance list. */
    update(version: number, slots: readonly string[], listed: readonly string[]): void {
        if (version < this.version) {
            const detail = `version ${version} is below ${this.version}`;
            this.options.onAlarm(codes.failure(codes.codes.configurationOlder, detail));
            return;
        }
        const others = new Set([...slots, ...listed]);
        others.delete(this.options.slot);
        this.updatePending(others, listed);
        if (this.version === 0 || !sameNames(slots, this.slots)) {
            this.hold(version, this.findKnown(version), others);
        }
        if (version > this.version) {
            this.versionMs = this.options.clock.now();
        }
        this.version = version;
        this.slots = [...slots];
        this.settle();
        this.inquire();
    }

    /** Why calls with `key` are refused here now; undefined when they may run. */
    decide(key: string): codes.Failure | undefined {
        if (this.version === 0) {
            return codes.failure(codes.codes.notReady, "no slots are known", MIN_RETRY_MS);
        }
        if (keyHomes.findHome(key, this.slots) !== this.options.slot) {
            return codes.failure(codes.codes.notHome, `not at ${this.options.slot} under version ${this.version}`);
        }
        this.settle();
        const hold = this.holds.find(({ previous }) => !this.wasHome(key, previous));
        return hold === undefined ? undefined : this.createPending(hold);
    }

    /** Asks all pending instances at once, for example after a connection was made. */
    retry(): void {
        for (const inquiry of this.inquiries.values()) {
            inquiry.delayMs = MIN_RETRY_MS;
        }
        this.inquire();
    }

    /** Holds all keys back as at the start: after a time in which other instances may have taken them over. */
    forget(listed: readonly string[]): void {
        if (this.version === 0) {
            return;
        }
        const others = new Set([...this.slots, ...listed]);
        others.delete(this.options.slot);
        this.hold(this.version, undefined, others);
        this.settle();
        this.inquire();
    }

    dispose(): void {
        this.disposed = true;
        for (const inquiry of this.inquiries.values()) {
            inquiry.timer?.dispose();
        }
        this.inquiries.clear();
    }

    private wasHome(key: string, previous: readonly string[] | undefined): boolean {
        return previous !== undefined && keyHomes.findHome(key, previous) === this.options.slot;
    }

    /** The slots before `version`; undefined when another home may have served in versions that were skipped. */
    private findKnown(version: number): readonly string[] | undefined {
        const skipped = version > this.version + 1
            && this.options.clock.now() - this.versionMs >= this.options.lifetimeMs();
        return this.version === 0 || skipped ? undefined : this.slots;
    }

    private hold(version: number, previous: readonly string[] | undefined, others: Iterable<string>): void {
        const sinceMs = this.options.clock.now();
        this.holds.push({ version, sinceMs, previous, asked: new Set(others), pending: new Set(others) });
    }

    /** Stops waiting for instances that are neither in the slots nor listed, and waits for newly listed ones. */
    private updatePending(others: ReadonlySet<string>, listed: readonly string[]): void {
        for (const { asked, pending } of this.holds) {
            for (const instance of [...pending].filter(name => !others.has(name))) {
                pending.delete(instance);
                asked.delete(instance);
            }
            for (const instance of listed.filter(name => others.has(name) && !asked.has(name))) {
                pending.add(instance);
                asked.add(instance);
            }
        }
    }

    /** Drops holds that all instances have confirmed, or that lasted for the key lifetime. */
    private settle(): void {
        if (this.holds.length === 0) {
            return;
        }
        const nowMs = this.options.clock.now();
        const lifetimeMs = this.options.lifetimeMs();
        this.holds = this.holds.filter(hold => {
            const passed = nowMs - hold.sinceMs >= lifetimeMs;
            if (passed && hold.pending.size > 0) {
                const detail = `no confirmation of version ${hold.version} from ${[...hold.pending].join(", ")}`;
                this.options.onAlarm(codes.failure(codes.codes.peerUnreachable, detail));
            }
            return !passed && hold.pending.size > 0;
        });
    }

    private createPending(hold: Hold): codes.Failure {
        const leftMs = hold.sinceMs + this.options.lifetimeMs() - this.options.clock.now();
        const [instance] = hold.pending;
        const delayMs = this.inquiries.get(instance ?? "")?.delayMs ?? MIN_RETRY_MS;
        return codes.failure(
            codes.codes.handoverPending,
            `waiting for ${[...hold.pending].join(", ")}`,
            Math.max(1, Math.min(leftMs, delayMs)),
        );
    }

    /** Asks every pending instance that isn't being asked. */
    private inquire(): void {
        for (const instance of this.findPending()) {
            let inquiry = this.inquiries.get(instance);
            if (inquiry === undefined) {
                inquiry = { delayMs: MIN_RETRY_MS, asking: false, timer: undefined };
                this.inquiries.set(instance, inquiry);
            }
            if (!inquiry.asking) {
                void this.ask(instance, inquiry);
            }
        }
    }

    private async ask(instance: string, inquiry: Inquiry): Promise<void> {
        inquiry.timer?.dispose();
        inquiry.asking = true;
        const version = this.version;
        const confirmation = await this.confirm(instance, version);
        inquiry.asking = false;
        if (this.disposed) {
            return;
        }
        if (confirmation !== "unreachable") {
            this.confirmUpTo(instance, version);
            inquiry.delayMs = MIN_RETRY_MS;
        }
        this.settle();
        this.scheduleNext(instance, inquiry);
    }

    private async confirm(instance: string, version: number): Promise<Confirmation> {
        try {
            return await this.options.confirm(instance, version);
        }
        catch {
            return "unreachable";
        }
    }

    private confirmUpTo(instance: string, version: number): void {
        for (const hold of this.holds) {
            if (hold.version <= version) {
                hold.pending.delete(instance);
            }
        }
    }

    private scheduleNext(instance: string, inquiry: Inquiry): void {
        if (!this.findPending().has(instance)) {
            this.inquiries.delete(instance);
            return;
        }
        const delayMs = inquiry.delayMs;
        inquiry.delayMs = Math.min(MAX_RETRY_MS, delayMs * 2);
        inquiry.timer = this.options.clock.schedule(delayMs, () => {
            this.settle();
            if (this.findPending().has(instance)) {
                void this.ask(instance, inquiry);
            }
            else {
                this.inquiries.delete(instance);
            }
        });
    }

    private findPending(): Set<string> {
        return new Set(this.holds.flatMap(hold => [...hold.pending]));
    }
}

function sameNames(a: readonly string[], b: readonly string[]): boolean {
    const names = new Set(a);
    return names.size === new Set(b).size && b.every(name => names.has(name));
}
