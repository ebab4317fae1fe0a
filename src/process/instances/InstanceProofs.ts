/**
 * Decides which listed instances are doubtful: an answer at their address hasn't shown yet that they are what their
 * records say. Designed for a list in which another writer has left many records that name no sound instance: they carry
 * the address of another one, refuse each connection or give invalid answers. Without load, they would draw most calls.
 * As long as nothing points to such records, no instance is doubtful.
 */
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as views from "../published/PublishedView";
import * as paces from "../shares/FleetPace";
import * as fleetSizes from "../shares/FleetSize";

/** First time after which an instance that failed without an answer is probed; doubles with each failure. */
const MIN_PROBE_DELAY_MS = 1_000;
const MAX_PROBE_DELAY_MS = 60_000;
/** Instances of a service that failed without an answer, from which those that haven't been tried are doubtful too. */
const MIN_FAILED = 4;
/** The same as a share of all that were tried. */
const MIN_FAILED_SHARE = 1 / 3;

/** Limits on the probes of one service. */
interface ProbeLimit {
    /** Probes that one entry sends at a time. */
    readonly atOnce: number;
    /** Probes a second of all entries together. */
    readonly perSecond: number;
}

const PROBE_LIMIT: ProbeLimit = { atOnce: 4, perSecond: 500 };
/** The same while no instance of the service has answered, so that calls have to be sent to doubtful ones. */
const URGENT_PROBE_LIMIT: ProbeLimit = { atOnce: 32, perSecond: 4_000 };
/** Time in which the probes are earned that may be sent at once. */
const SAVED_PROBES_MS = 200;

/** The answer of an instance, as far as it shows who gave it. */
export interface IdentityAnswer {
    readonly effect: "ran" | "not-run" | "other-instance";
    /** The id that the answer states; undefined if it states none. */
    readonly instance: string | undefined;
}

/** What is known of one incarnation at one address. */
interface Proof {
    readonly address: string;
    /** `failed`: without an answer before, so that only a changed record or a probe gives it another chance. */
    state: "untried" | "answered" | "failed";
    /** The record with which it failed. */
    failedRecord: views.KnownInstance | undefined;
    failures: number;
    probeDueMs: number;
}

/** Numbers of incarnations of one service. */
interface ServiceCount {
    failed: number;
    answered: number;
}

/** The incarnation that has answered at an address, and nothing has contradicted since. */
interface AddressOwner {
    readonly id: string;
    readonly startedMs: number;
    /** Its latest answer. */
    atMs: number;
}

/** What the decisions need from their process. */
export interface InstanceProofsOptions {
    readonly clock: clocks.Clock;
    readonly view: Pick<views.PublishedView, "find" | "allInstances">;
    /** The entries that share the rate of probes. */
    readonly fleet: fleetSizes.Fleet;
}

/** The proofs of all listed instances. */
export class InstanceProofs {
    private readonly proofs = new Map<string, Proof>();
    private readonly owners = new Map<string, AddressOwner>();
    private readonly countsByService = new Map<string, ServiceCount>();
    private readonly pacesByService = new Map<string, paces.FleetPace>();
    /** Whether the counts are those of the instances that are listed now; kept up to date only while any has failed. */
    private isCountCurrent = true;

    constructor(private readonly options: InstanceProofsOptions) {}

    /** Records an answer to a request that was sent to an instance. */
    recordAnswer(instance: routing.RoutedInstance, answer: IdentityAnswer): void {
        const isOther = answer.effect === "other-instance"
            || (answer.instance !== undefined && answer.instance !== instance.id);
        if (!isOther) {
            this.prove(instance);
            return;
        }
        const owner = answer.instance === undefined ? undefined : this.options.view.find(answer.instance);
        if (owner?.address === instance.address) {
            this.prove(owner);
        }
        else if (this.owners.get(instance.address)?.id === instance.id) {
            this.owners.delete(instance.address);
        }
        this.disprove(instance);
    }

    /** Records that an instance wasn't reached, or that its answer was invalid or missing. */
    recordFailure(instance: routing.RoutedInstance): void {
        if (this.owners.get(instance.address)?.id === instance.id) {
            this.owners.delete(instance.address);
        }
        if (this.obtain(instance).state !== "answered") {
            this.disprove(instance); // A known instance that fails is paused instead, and used again soon.
        }
    }

    /** Whether an instance is used only if no other one of its service can be. */
    isDoubtful(instance: views.KnownInstance): boolean {
        const count = this.countsByService.get(instance.service);
        if (count === undefined || count.failed === 0) {
            return false; // The usual case, asked for each instance at each choice.
        }
        if (this.isMisplaced(instance)) {
            return true;
        }
        const proof = this.find(instance);
        return proof?.state === "failed"
            ? proof.failedRecord === instance
            : proof?.state !== "answered" && isWide(count);
    }

    /**
     * Doubtful instances to ask for their identity now: those that appeared last, then those asked for longest ago.
     * `isAllowed`: whether an instance may be sent a request.
     */
    takeProbes(isAllowed: (instance: views.KnownInstance) => boolean): views.KnownInstance[] {
        if (this.doubtfulServices.length === 0) {
            return [];
        }
        const nowMs = this.options.clock.now();
        const due = this.options.view.allInstances
            .filter(instance => this.isProbeDue(instance, nowMs) && isAllowed(instance))
            .sort((a, b) => this.probeDueMs(a) - this.probeDueMs(b) || b.knownSinceMs - a.knownSinceMs);
        const probes = this.doubtfulServices.flatMap(service => {
            const pace = this.obtainPace(service);
            const maxProbes = Math.min(this.probeLimit(service).atOnce, pace.left);
            const taken = due.filter(instance => instance.service === service).slice(0, maxProbes);
            pace.take(taken.length);
            return taken;
        });
        probes.forEach(instance => this.obtain(instance).probeDueMs = nowMs + MIN_PROBE_DELAY_MS);
        return probes;
    }

    /** The probes of all services. */
    get paces(): readonly paces.FleetPace[] {
        return [...this.pacesByService.values()];
    }

    private probeLimit(service: string): ProbeLimit {
        return this.countsByService.get(service)?.answered === 0 ? URGENT_PROBE_LIMIT : PROBE_LIMIT;
    }

    private obtainPace(service: string): paces.FleetPace {
        let pace = this.pacesByService.get(service);
        if (pace === undefined) {
            const { clock, fleet } = this.options;
            const perSecond = (): number => this.probeLimit(service).perSecond;
            pace = new paces.FleetPace({ clock, fleet, perSecond, savedMs: SAVED_PROBES_MS });
            this.pacesByService.set(service, pace);
        }
        return pace;
    }

    /** Number of doubtful instances. */
    get doubtfulCount(): number {
        return this.doubtfulServices.length === 0
            ? 0
            : this.options.view.allInstances.filter(instance => this.isDoubtful(instance)).length;
    }

    /** Forgets incarnations that are no longer listed, and failures of records that have changed since. */
    handleViewChange(): void {
        const { view } = this.options;
        for (const key of this.proofs.keys()) {
            if (view.find(routing.idOfIncarnation(key)) === undefined) {
                this.proofs.delete(key);
            }
        }
        for (const [address, { id }] of this.owners) {
            if (view.find(id) === undefined) {
                this.owners.delete(address);
            }
        }
        this.isCountCurrent = false;
        if (this.doubtfulServices.length > 0) {
            this.countAgain();
        }
    }

    private get doubtfulServices(): string[] {
        return [...this.countsByService].flatMap(([service, { failed }]) => failed > 0 ? service : []);
    }

    private isProbeDue(instance: views.KnownInstance, nowMs: number): boolean {
        return this.probeDueMs(instance) <= nowMs && this.isDoubtful(instance) && !this.isMisplaced(instance);
    }

    private countAgain(): void {
        this.isCountCurrent = true;
        this.countsByService.clear();
        for (const instance of this.options.view.allInstances) {
            const proof = this.find(instance);
            if (proof?.state === "failed" && proof.failedRecord !== instance) {
                proof.state = "untried";
            }
            this.addToCount(instance.service, proof, 1);
        }
    }

    private addToCount(service: string, proof: Proof | undefined, change: 1 | -1): void {
        const count = this.countsByService.get(service) ?? { failed: 0, answered: 0 };
        count.failed += proof?.state === "failed" ? change : 0;
        count.answered += proof?.state === "answered" ? change : 0;
        this.countsByService.set(service, count);
    }

    private prove(instance: routing.RoutedInstance): void {
        const { id, startedMs, address } = instance;
        const atMs = this.options.clock.now();
        const owner = this.owners.get(address);
        if (owner?.id === id && owner.startedMs === startedMs) {
            owner.atMs = atMs; // The usual case, for each answer.
            return;
        }
        this.owners.set(address, { id, startedMs, atMs });
        const proof = this.obtain(instance);
        if (proof.state !== "answered") {
            this.setState(instance, proof, "answered");
            proof.failedRecord = undefined;
            proof.failures = 0;
        }
    }

    private disprove(instance: routing.RoutedInstance): void {
        if (!this.isCountCurrent) {
            this.countAgain();
        }
        const proof = this.obtain(instance);
        const delayMs = Math.min(MAX_PROBE_DELAY_MS, MIN_PROBE_DELAY_MS * 2 ** proof.failures);
        this.setState(instance, proof, "failed");
        proof.failedRecord = this.options.view.find(instance.id);
        proof.failures++;
        proof.probeDueMs = this.options.clock.now() + delayMs;
    }

    private setState({ service }: routing.RoutedInstance, proof: Proof, state: Proof["state"]): void {
        this.addToCount(service, proof, -1);
        proof.state = state;
        this.addToCount(service, proof, 1);
    }

    /** Whether another listed instance has answered at its address since its record appeared. */
    private isMisplaced(instance: views.KnownInstance): boolean {
        const owner = this.owners.get(instance.address);
        if (owner === undefined || owner.id === instance.id || owner.atMs < instance.knownSinceMs) {
            return false;
        }
        const listed = this.options.view.find(owner.id);
        return listed?.address === instance.address && listed.state === "ready";
    }

    private probeDueMs(instance: views.KnownInstance): number {
        return this.find(instance)?.probeDueMs ?? -Infinity;
    }

    private find(instance: routing.RoutedInstance): Proof | undefined {
        const proof = this.proofs.get(routing.incarnationKey(instance));
        return proof?.address === instance.address ? proof : undefined;
    }

    private obtain(instance: routing.RoutedInstance): Proof {
        let proof = this.find(instance);
        if (proof === undefined) {
            const { address } = instance;
            proof = { address, state: "untried", failedRecord: undefined, failures: 0, probeDueMs: -Infinity };
            this.proofs.set(routing.incarnationKey(instance), proof);
        }
        return proof;
    }
}

/** Whether so many instances of a service failed without an answer that those not tried yet are doubtful too. */
function isWide({ failed, answered }: ServiceCount): boolean {
    return failed >= MIN_FAILED && failed >= MIN_FAILED_SHARE * (failed + answered);
}
