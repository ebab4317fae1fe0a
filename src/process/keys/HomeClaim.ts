/**
 * The claim of an agent to be the home of idempotency keys. After a change of the service's slots, keys that moved
 * to this agent are rejected until their previous homes have confirmed the change or are gone. Keys that may have
 * run at a previous home are then rejected as too old, since ledger records aren't transferred.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as timeOrderedKeys from "../../common/TimeOrderedKey";
import * as keyHomes from "../../version/KeyHome";
import * as keyLeases from "./KeyLease";

/** Initial delay between confirmation requests to an instance; doubled after each failed request up to the maximum. */
const MIN_RETRY_DELAY_MS = 100;
const MAX_RETRY_DELAY_MS = 5_000;

/**
 * Result of a confirmation request. "unchanged": the instance has the version, and the same slots since
 * `sinceVersion`; "yielded": it has the version, but its slots may have changed; "gone": it isn't listed;
 * "unreachable": no valid answer, so it is asked again.
 */
export type ConfirmationResult = "unchanged" | "yielded" | "gone" | "unreachable";

/** Options of a home claim. */
export interface HomeClaimOptions {
    readonly clock: clocks.Clock;
    /** This agent's slot. */
    readonly slot: string;
    /** How long a caller may retry with the same key. */
    readonly lifetimeMs: () => number;
    /** Asks whether an instance has at least `version`, and whether its slots changed after `sinceVersion`. */
    readonly confirm: (instance: string, version: number, sinceVersion: number) => Promise<ConfirmationResult>;
    /** Called when an instance hasn't confirmed within the key lifetime, and when a lower version is ignored. */
    readonly onAlarm: (failure: codes.Failure) => void;
}

/** A handover in progress, during which moved keys are rejected. */
interface PendingHandover {
    readonly version: number;
    readonly startedAtMs: number;
    /** The slots before the change; undefined if unknown, so that all keys are rejected. */
    readonly previousSlots: readonly string[] | undefined;
    /** Instances that may have been the home of moved keys. */
    readonly possibleHomes: Set<string>;
    /** Possible homes that haven't confirmed the version. */
    readonly unconfirmed: Set<string>;
    /** If all instances have had the same slots since this version, no key has moved. */
    readonly sinceVersion: number;
    /** Whether moved keys may have run at a previous home. */
    hasPossibleRuns: boolean;
    hasRaisedAlarm: boolean;
    /**
     * Whether a possible home was removed without confirmation, as one of a skipped version may have been; it may serve
     * keys until its lease ends.
     */
    hasRemovedInstance: boolean;
}

/** A completed handover: moved keys may have run at a previous home until its end. */
interface CompletedHandover {
    readonly previousSlots: readonly string[] | undefined;
    /** In the future while the lease of a removed instance may be valid. */
    readonly endsAtMs: number;
    /** The same time in milliseconds since 1970. */
    readonly endsAtWallMs: number;
}

/** State of the repeated confirmation requests to one instance. */
interface ConfirmationPoll {
    nextDelayMs: number;
    isAwaitingReply: boolean;
    timer: clocks.Disposable | undefined;
}

/** Tracks handovers and decides whether this agent may serve a key. */
export class HomeClaim implements clocks.Disposable {
    private version = 0;
    private slots: readonly string[] = [];
    private slotsSinceVersion = 0;
    private pendingHandovers: PendingHandover[] = [];
    private completedHandovers: CompletedHandover[] = [];
    private readonly polls = new Map<string, ConfirmationPoll>();
    private isDisposed = false;

    constructor(private readonly options: HomeClaimOptions) {}

    /** Version since which the slots are unchanged; undefined before the first update. */
    get slotsVersion(): number | undefined {
        return this.version === 0 ? undefined : this.slotsSinceVersion;
    }

    /** Sets the service's slots under `version` and the service's agents on the instance list. */
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
        // Skipped versions may have had other slots and thus other homes.
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

    /** Returns why calls with `key` are rejected; undefined if they may run. */
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

    /** Requests all missing confirmations without delay, for example after a connection was opened. */
    pollNow(): void {
        for (const poll of this.polls.values()) {
            poll.nextDelayMs = MIN_RETRY_DELAY_MS;
        }
        this.pollUnconfirmed();
    }

    /** Starts a handover of all keys, for use after a pause in which other instances may have become home. */
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
            hasRemovedInstance: (previousSlots === undefined && this.version > 0)
                || this.slots.some(slot => slot !== this.options.slot && !possibleHomes.has(slot)),
        });
    }

    /** Returns a failure if a moved key may have run at a previous home before the end of its handover. */
    private checkCompletedHandovers(key: string): codes.Failure | undefined {
        const createdMs = timeOrderedKeys.readCreationTime(key);
        const nowMs = this.options.clock.now();
        const lifetimeMs = this.options.lifetimeMs();
        const canPredate = (
            { endsAtMs, endsAtWallMs }: CompletedHandover,
        ): boolean =>
            createdMs === undefined
                ? nowMs < endsAtMs + lifetimeMs
                : createdMs <= endsAtWallMs + timeOrderedKeys.CLOCK_SKEW_MS;
        const handover = this.completedHandovers.find(other =>
            canPredate(other) && !this.isHomeUnder(key, other.previousSlots)
        );
        if (handover === undefined) {
            return undefined;
        }
        const retryAfterMs = createdMs === undefined ? handover.endsAtMs + lifetimeMs - nowMs : undefined;
        return codes.failure(codes.codes.keyTooOld, "the key may have run at its earlier home", retryAfterMs);
    }

    /** Removes instances that are neither in the slots nor listed, and adds newly listed ones. */
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
     * Completes the handovers that all instances have confirmed, and reports overdue ones. There is no time-out: a
     * previous home that this agent can't reach may still renew its lease and serve its keys while entries reach it.
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
                const completion = { endsAtMs: nowMs + leaseMs, endsAtWallMs: clock.wall() + leaseMs };
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
        this.completedHandovers = this.completedHandovers.filter(({ endsAtMs }) => nowMs - endsAtMs <= retentionMs);
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

    /** Requests missing confirmations from instances without a request in progress. */
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
