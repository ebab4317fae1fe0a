/**
 * Who may serve an idempotency key on this agent. After a change of a service's slots, keys that moved here are
 * refused until their earlier homes have confirmed the change or are gone; after that, those which may have run
 * at an earlier home stay refused, since their records stay behind.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as timeOrderedKeys from "../../common/TimeOrderedKey";
import * as keyHomes from "../../version/KeyHome";
import * as keyLeases from "./KeyLease";

/** First time between two tries to reach an instance; doubles up to the longest. */
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 5_000;

/**
 * An instance's word on a version: it holds the version, and its slots were the same all along ("unchanged") or
 * may have differed ("yielded"). Unreachable is asked again.
 */
export type Confirmation = "unchanged" | "yielded" | "gone" | "unreachable";

/** What a home claim needs. */
export interface HomeClaimOptions {
    readonly clock: clocks.Clock;
    /** This agent's slot. */
    readonly slot: string;
    readonly lifetimeMs: () => number;
    /** Asks whether an instance holds at least `version`, and whether its slots changed after `since`. */
    readonly confirm: (instance: string, version: number, since: number) => Promise<Confirmation>;
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
    /** Version from which on the slots must have been the same everywhere for keys to have stayed. */
    readonly since: number;
    /** Whether keys may have run elsewhere. */
    mayHaveMoved: boolean;
    hasAlarmed: boolean;
    /** Whether one of them left the list without a word; it may serve until its lease ends. */
    hasGone: boolean;
}

/** A hold that ended: earlier homes may have run moved keys until then. */
interface Handover {
    readonly previous: readonly string[] | undefined;
    readonly endedMs: number;
    /** In milliseconds since 1970. */
    readonly endedWallMs: number;
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
    private slots: readonly string[] = [];
    private slotsSince = 0;
    private holds: Hold[] = [];
    private handovers: Handover[] = [];
    private readonly inquiries = new Map<string, Inquiry>();
    private disposed = false;

    constructor(private readonly options: HomeClaimOptions) {}

    /** Version since which the slots are known to be the same; undefined before the first. */
    get slotsVersion(): number | undefined {
        return this.version === 0 ? undefined : this.slotsSince;
    }

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
        const hasChanged = this.version === 0 || !sameNames(slots, this.slots);
        // Versions that were skipped may have had other slots, and other homes under them.
        const hasSkipped = version > this.version + 1;
        if (hasChanged || hasSkipped) {
            const previous = hasSkipped ? undefined : this.slots;
            this.hold(version, previous, others, hasChanged ? version : this.version);
        }
        this.slotsSince = hasChanged ? version : this.slotsSince;
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
        return hold === undefined ? this.checkHandovers(key) : this.createPending(hold);
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
        this.hold(this.version, undefined, others, this.version);
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

    private hold(
        version: number,
        previous: readonly string[] | undefined,
        others: Iterable<string>,
        since: number,
    ): void {
        const asked = new Set(others);
        this.holds.push({
            version,
            sinceMs: this.options.clock.now(),
            previous,
            asked,
            pending: new Set(asked),
            since,
            mayHaveMoved: since === version,
            hasAlarmed: false,
            hasGone: this.slots.some(slot => slot !== this.options.slot && !asked.has(slot)),
        });
    }

    /** Why a key that moved here may have run at an earlier home; undefined when it can't have. */
    private checkHandovers(key: string): codes.Failure | undefined {
        const createdMs = timeOrderedKeys.readCreationTime(key);
        const nowMs = this.options.clock.now();
        const lifetimeMs = this.options.lifetimeMs();
        const mayBeOlder = ({ endedMs, endedWallMs }: Handover): boolean =>
            createdMs === undefined
                ? nowMs < endedMs + lifetimeMs
                : createdMs <= endedWallMs + timeOrderedKeys.CLOCK_SKEW_MS;
        const handover = this.handovers.find(other => mayBeOlder(other) && !this.wasHome(key, other.previous));
        if (handover === undefined) {
            return undefined;
        }
        const retryAfterMs = createdMs === undefined ? handover.endedMs + lifetimeMs - nowMs : undefined;
        return codes.failure(codes.codes.keyTooOld, "the key may have run at its earlier home", retryAfterMs);
    }

    /** Stops waiting for instances that are neither in the slots nor listed, and waits for newly listed ones. */
    private updatePending(others: ReadonlySet<string>, listed: readonly string[]): void {
        for (const hold of this.holds) {
            const { asked, pending } = hold;
            for (const instance of [...pending].filter(name => !others.has(name))) {
                pending.delete(instance);
                asked.delete(instance);
                hold.mayHaveMoved = true;
                hold.hasGone = true;
            }
            for (const instance of listed.filter(name => others.has(name) && !asked.has(name))) {
                pending.add(instance);
                asked.add(instance);
            }
        }
    }

    /**
     * Ends the holds that all instances have confirmed. Time alone ends none: an earlier home that is cut off may
     * serve its keys for as long as entries reach it.
     */
    private settle(): void {
        const { clock } = this.options;
        const nowMs = clock.now();
        const lifetimeMs = this.options.lifetimeMs();
        for (const hold of this.holds) {
            if (hold.pending.size === 0 && hold.mayHaveMoved) {
                const leaseMs = hold.hasGone ? Math.max(0, hold.sinceMs + keyLeases.KEY_LEASE_MS - nowMs) : 0;
                const ended = { endedMs: nowMs + leaseMs, endedWallMs: clock.wall() + leaseMs };
                this.handovers.push({ previous: hold.previous, ...ended });
            }
            else if (hold.pending.size > 0 && !hold.hasAlarmed && nowMs - hold.sinceMs >= lifetimeMs) {
                hold.hasAlarmed = true;
                const detail = `no confirmation of version ${hold.version} from ${[...hold.pending].join(", ")}`;
                this.options.onAlarm(codes.failure(codes.codes.peerUnreachable, detail));
            }
        }
        this.holds = this.holds.filter(({ pending }) => pending.size > 0);
        const keptMs = lifetimeMs + timeOrderedKeys.CLOCK_SKEW_MS;
        this.handovers = this.handovers.filter(({ endedMs }) => nowMs - endedMs <= keptMs);
    }

    private createPending(hold: Hold): codes.Failure {
        const [instance] = hold.pending;
        const delayMs = this.inquiries.get(instance ?? "")?.delayMs ?? MIN_RETRY_MS;
        return codes.failure(
            codes.codes.handoverPending,
            `waiting for ${[...hold.pending].join(", ")}`,
            delayMs,
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
        const since = Math.min(...this.holds.map(hold => hold.since));
        const confirmation = await this.confirm(instance, version, since);
        inquiry.asking = false;
        if (this.disposed) {
            return;
        }
        if (confirmation !== "unreachable") {
            this.confirmUpTo(instance, version, since, confirmation);
            inquiry.delayMs = MIN_RETRY_MS;
        }
        this.settle();
        this.scheduleNext(instance, inquiry);
    }

    private async confirm(instance: string, version: number, since: number): Promise<Confirmation> {
        try {
            return await this.options.confirm(instance, version, since);
        }
        catch {
            return "unreachable";
        }
    }

    private confirmUpTo(instance: string, version: number, since: number, confirmation: Confirmation): void {
        for (const hold of this.holds) {
            if (hold.version <= version && hold.pending.delete(instance)) {
                hold.mayHaveMoved ||= confirmation !== "unchanged" || since > hold.since;
                hold.hasGone ||= confirmation === "gone";
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
