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
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5_000;

/**
 * An instance's word on a version: it holds the version, and its slots were the same all along ("unchanged") or
 * may have differed ("yielded"). Unreachable is asked again.
 */
export type ConfirmationResult = "unchanged" | "yielded" | "gone" | "unreachable";

/** What a home claim needs. */
export interface KeyHandoverOptions {
    readonly clock: clocks.Clock;
    /** This agent's slot. */
    readonly slot: string;
    readonly lifetimeMs: () => number;
    /** Asks whether an instance holds at least `version`, and whether its slots changed after `since`. */
    readonly confirm: (instance: string, version: number, sinceVersion: number) => Promise<ConfirmationResult>;
    /** Called when the lifetime passed without an instance's confirmation, and when a lower version is ignored. */
    readonly onAlarm: (failure: codes.Failure) => void;
}

/** Keys held back for one change of the slots. */
interface PendingHandover {
    readonly version: number;
    readonly startedAtMs: number;
    /** The slots before the change; undefined when nothing is known of the time before. */
    readonly previousSlots: readonly string[] | undefined;
    /** Instances that could have been home. */
    readonly possibleHomes: Set<string>;
    /** Those of them that haven't confirmed. */
    readonly unconfirmed: Set<string>;
    /** Version from which on the slots must have been the same everywhere for keys to have stayed. */
    readonly sinceVersion: number;
    /** Whether keys may have run elsewhere. */
    hasPossibleRuns: boolean;
    hasRaisedAlarm: boolean;
    /** Whether one of them left the list without a word; it may serve until its lease ends. */
    hasRemovedInstance: boolean;
}

/** A hold that ended: earlier homes may have run moved keys until then. */
interface CompletedHandover {
    readonly previousSlots: readonly string[] | undefined;
    readonly completedAtMs: number;
    /** In milliseconds since 1970. */
    readonly completedAtWallMs: number;
}

/** Tries to reach one instance. */
interface ConfirmationPoll {
    nextDelayMs: number;
    isAwaitingReply: boolean;
    timer: clocks.Disposable | undefined;
}

/** Decides whether this agent may serve a key. */
export class KeyHandover implements clocks.Disposable {
    private version = 0;
    private slots: readonly string[] = [];
    private slotsSinceVersion = 0;
    private pendingHandovers: PendingHandover[] = [];
    private completedHandovers: CompletedHandover[] = [];
    private readonly polls = new Map<string, ConfirmationPoll>();
    private isDisposed = false;

    constructor(private readonly options: KeyHandoverOptions) {}

    /** Version since which the slots are known to be the same; undefined before the first. */
    get slotsVersion(): number | undefined {
        return this.version === 0 ? undefined : this.slotsSinceVersion;
    }

    /** Takes over the service's slots under `version`, and the service's agents on the instance list. */
    update(version: number, slots: readonly string[], listedInstances: readonly string[]): void {
        if (version < this.version) {
            const detail = `version ${version} is below ${this.version}`;
            this.options.onAlarm(codes.failure(codes.codes.configurationOlder, detail));
            return;
        }
        const otherInstances = new Set([...slots, ...listedInstances]);
        otherInstances.delete(this.options.slot);
        this.updateUnconfirmed(otherInstances, listedInstances);
        const hasSlotChange = this.version === 0 || !hasSameNames(slots, this.slots);
        // Versions that were skipped may have had other slots, and other homes under them.
        const hasSkippedVersion = version > this.version + 1;
        if (hasSlotChange || hasSkippedVersion) {
            const previousSlots = hasSkippedVersion ? undefined : this.slots;
            this.startHandover(version, previousSlots, otherInstances, hasSlotChange ? version : this.version);
        }
        this.slotsSinceVersion = hasSlotChange ? version : this.slotsSinceVersion;
        this.version = version;
        this.slots = [...slots];
        this.completeHandovers();
        this.pollUnconfirmed();
    }

    /** Why calls with `key` are refused here now; undefined when they may run. */
    checkKey(key: string): codes.Failure | undefined {
        if (this.version === 0) {
            return codes.failure(codes.codes.notReady, "no slots are known", MIN_RETRY_DELAY_MS);
        }
        if (keyHomes.findHome(key, this.slots) !== this.options.slot) {
            return codes.failure(codes.codes.notHome, `not at ${this.options.slot} under version ${this.version}`);
        }
        this.completeHandovers();
        const handover = this.pendingHandovers.find(({ previousSlots }) => !this.isHomeUnder(key, previousSlots));
        return handover === undefined ? this.checkCompletedHandovers(key) : this.createPendingFailure(handover);
    }

    /** Asks all pending instances at once, for example after a connection was made. */
    pollNow(): void {
        for (const poll of this.polls.values()) {
            poll.nextDelayMs = MIN_RETRY_DELAY_MS;
        }
        this.pollUnconfirmed();
    }

    /** Holds all keys back as at the start: after a time in which other instances may have taken them over. */
    restart(listedInstances: readonly string[]): void {
        if (this.version === 0) {
            return;
        }
        const otherInstances = new Set([...this.slots, ...listedInstances]);
        otherInstances.delete(this.options.slot);
        this.startHandover(this.version, undefined, otherInstances, this.version);
        this.completeHandovers();
        this.pollUnconfirmed();
    }

    dispose(): void {
        this.isDisposed = true;
        for (const poll of this.polls.values()) {
            poll.timer?.dispose();
        }
        this.polls.clear();
    }

    private isHomeUnder(key: string, slots: readonly string[] | undefined): boolean {
        return slots !== undefined && keyHomes.findHome(key, slots) === this.options.slot;
    }

    private startHandover(
        version: number,
        previousSlots: readonly string[] | undefined,
        otherInstances: Iterable<string>,
        sinceVersion: number,
    ): void {
        const possibleHomes = new Set(otherInstances);
        this.pendingHandovers.push({
            version,
            startedAtMs: this.options.clock.now(),
            previousSlots,
            possibleHomes,
            unconfirmed: new Set(possibleHomes),
            sinceVersion,
            hasPossibleRuns: sinceVersion === version,
            hasRaisedAlarm: false,
            hasRemovedInstance: this.slots.some(slot => slot !== this.options.slot && !possibleHomes.has(slot)),
        });
    }

    /** Why a key that moved here may have run at an earlier home; undefined when it can't have. */
    private checkCompletedHandovers(key: string): codes.Failure | undefined {
        const createdMs = timeOrderedKeys.readCreationTime(key);
        const nowMs = this.options.clock.now();
        const lifetimeMs = this.options.lifetimeMs();
        const canPredate = (
            { completedAtMs, completedAtWallMs }: CompletedHandover,
        ): boolean =>
            createdMs === undefined
                ? nowMs < completedAtMs + lifetimeMs
                : createdMs <= completedAtWallMs + timeOrderedKeys.CLOCK_SKEW_MS;
        const handover = this.completedHandovers.find(other =>
            canPredate(other) && !this.isHomeUnder(key, other.previousSlots)
        );
        if (handover === undefined) {
            return undefined;
        }
        const retryAfterMs = createdMs === undefined ? handover.completedAtMs + lifetimeMs - nowMs : undefined;
        return codes.failure(codes.codes.keyTooOld, "the key may have run at its earlier home", retryAfterMs);
    }

    /** Stops waiting for instances that are neither in the slots nor listed, and waits for newly listed ones. */
    private updateUnconfirmed(otherInstances: ReadonlySet<string>, listedInstances: readonly string[]): void {
        for (const handover of this.pendingHandovers) {
            const { possibleHomes, unconfirmed } = handover;
            for (const instance of [...unconfirmed].filter(name => !otherInstances.has(name))) {
                unconfirmed.delete(instance);
                possibleHomes.delete(instance);
                handover.hasPossibleRuns = true;
                handover.hasRemovedInstance = true;
            }
            for (
                const instance of listedInstances.filter(name => otherInstances.has(name) && !possibleHomes.has(name))
            ) {
                unconfirmed.add(instance);
                possibleHomes.add(instance);
            }
        }
    }

    /**
     * Ends the holds that all instances have confirmed. Time alone ends none: an earlier home that is cut off may
     * serve its keys for as long as entries reach it.
     */
    private completeHandovers(): void {
        const { clock } = this.options;
        const nowMs = clock.now();
        const lifetimeMs = this.options.lifetimeMs();
        for (const handover of this.pendingHandovers) {
            if (handover.unconfirmed.size === 0 && handover.hasPossibleRuns) {
                const leaseMs = handover.hasRemovedInstance
                    ? Math.max(0, handover.startedAtMs + keyLeases.KEY_LEASE_MS - nowMs)
                    : 0;
                const completion = { completedAtMs: nowMs + leaseMs, completedAtWallMs: clock.wall() + leaseMs };
                this.completedHandovers.push({ previousSlots: handover.previousSlots, ...completion });
            }
            else if (
                handover.unconfirmed.size > 0 && !handover.hasRaisedAlarm && nowMs - handover.startedAtMs >= lifetimeMs
            ) {
                handover.hasRaisedAlarm = true;
                const detail = `no confirmation of version ${handover.version} from ${
                    [...handover.unconfirmed].join(", ")
                }`;
                this.options.onAlarm(codes.failure(codes.codes.peerUnreachable, detail));
            }
        }
        this.pendingHandovers = this.pendingHandovers.filter(({ unconfirmed }) => unconfirmed.size > 0);
        const retentionMs = lifetimeMs + timeOrderedKeys.CLOCK_SKEW_MS;
        this.completedHandovers = this.completedHandovers.filter(({ completedAtMs }) =>
            nowMs - completedAtMs <= retentionMs
        );
    }

    private createPendingFailure(handover: PendingHandover): codes.Failure {
        const [instance] = handover.unconfirmed;
        const delayMs = this.polls.get(instance ?? "")?.nextDelayMs ?? MIN_RETRY_DELAY_MS;
        return codes.failure(
            codes.codes.handoverPending,
            `waiting for ${[...handover.unconfirmed].join(", ")}`,
            delayMs,
        );
    }

    /** Asks every pending instance that isn't being asked. */
    private pollUnconfirmed(): void {
        for (const instance of this.findUnconfirmed()) {
            let poll = this.polls.get(instance);
            if (poll === undefined) {
                poll = { nextDelayMs: MIN_RETRY_DELAY_MS, isAwaitingReply: false, timer: undefined };
                this.polls.set(instance, poll);
            }
            if (!poll.isAwaitingReply) {
                void this.requestConfirmation(instance, poll);
            }
        }
    }

    private async requestConfirmation(instance: string, poll: ConfirmationPoll): Promise<void> {
        poll.timer?.dispose();
        poll.isAwaitingReply = true;
        const version = this.version;
        const sinceVersion = Math.min(...this.pendingHandovers.map(handover => handover.sinceVersion));
        const result = await this.tryConfirm(instance, version, sinceVersion);
        poll.isAwaitingReply = false;
        if (this.isDisposed) {
            return;
        }
        if (result !== "unreachable") {
            this.recordConfirmation(instance, version, sinceVersion, result);
            poll.nextDelayMs = MIN_RETRY_DELAY_MS;
        }
        this.completeHandovers();
        this.schedulePoll(instance, poll);
    }

    private async tryConfirm(instance: string, version: number, sinceVersion: number): Promise<ConfirmationResult> {
        try {
            return await this.options.confirm(instance, version, sinceVersion);
        }
        catch {
            return "unreachable";
        }
    }

    private recordConfirmation(
        instance: string,
        version: number,
        sinceVersion: number,
        result: ConfirmationResult,
    ): void {
        for (const handover of this.pendingHandovers) {
            if (handover.version <= version && handover.unconfirmed.delete(instance)) {
                handover.hasPossibleRuns ||= result !== "unchanged" || sinceVersion > handover.sinceVersion;
                handover.hasRemovedInstance ||= result === "gone";
            }
        }
    }

    private schedulePoll(instance: string, poll: ConfirmationPoll): void {
        if (!this.findUnconfirmed().has(instance)) {
            this.polls.delete(instance);
            return;
        }
        const delayMs = poll.nextDelayMs;
        poll.nextDelayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
        poll.timer = this.options.clock.schedule(delayMs, () => {
            this.completeHandovers();
            if (this.findUnconfirmed().has(instance)) {
                void this.requestConfirmation(instance, poll);
            }
            else {
                this.polls.delete(instance);
            }
        });
    }

    private findUnconfirmed(): Set<string> {
        return new Set(this.pendingHandovers.flatMap(handover => [...handover.unconfirmed]));
    }
}

function hasSameNames(a: readonly string[], b: readonly string[]): boolean {
    const names = new Set(a);
    return names.size === new Set(b).size && b.every(name => names.has(name));
}
