/**
 * The task that makes an agent's engine hold the models that placement wants: report, compare, load, unload.
 * Loads come before unloads, weight store reads take turns, and every order carries the fencing number and
 * is read back. An engine that ignores fencing numbers gets orders only under the agent's lease.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as configurations from "../../common/Configuration";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as ports from "../../common/Ports";
import * as placements from "../../version/Placement";
import * as fencingTokens from "./FencingToken";
import * as leases from "./OrderLease";
import * as readTurns from "./ReadTurn";

/** Time between two rounds, in milliseconds. */
const ROUND_PERIOD_MS = 500;
/** How long a load must be wanted without a break before it is ordered, in milliseconds. */
const LOAD_STABILIZATION_MS = 3_000;
/** The same for an unload, in milliseconds. */
const UNLOAD_STABILIZATION_MS = 15_000;
/** Longest wait for an answer of the engine or the weight store, in milliseconds. */
const CALL_TIMEOUT_MS = 10_000;
/** Wait after a failed read of the weight store that names no time, in milliseconds. */
const DEFAULT_READ_RETRY_DELAY_MS = 1_000;

/** What the task needs from its agent; functions are asked each time. */
export interface PlacementOptions {
    readonly clock: clocks.Clock;
    /** Uniform in 0 to 1. */
    readonly random: () => number;
    readonly log: logs.Log;
    readonly engine: ports.ModelEngine;
    readonly weightStore: ports.WeightStore | undefined;
    readonly service: string;
    readonly slot: string;
    /** Start time of the agent in milliseconds since 1970. */
    readonly incarnation: number;
    readonly configuration: () => configurations.Configuration | undefined;
    /** Slots believed alive and in service. */
    readonly findLiveSlots: () => ReadonlySet<string>;
    /** Other slots whose agents last reported the model as loaded. */
    readonly findHolders: (model: string) => readonly string[];
    /** False while draining, refreshing after a pause, or out of touch. */
    readonly canSend: () => boolean;
    readonly checksFencing: () => boolean;
    readonly lease: leases.OrderLease;
    readonly policy?: placements.PlacementPolicy;
    readonly mayUnload?: typeof placements.mayUnload;
    readonly findTurnDelay?: typeof readTurns.findTurnDelay;
    readonly nextFencingToken?: typeof fencingTokens.nextFencingToken;
    /** How long a change must be wanted before it is ordered, in milliseconds. */
    readonly stabilizationMs?: number;
}

/** An order that the engine took and that was read back. */
export interface VerifiedOrder {
    readonly action: "load" | "unload";
    readonly model: string;
    readonly fencingToken: number;
}

/** One task per agent; see the module's comment. */
export class PlacementTask implements clocks.Disposable {
    private readonly abortController = new AbortController();
    private readonly orderEmitter = new emitters.Emitter<VerifiedOrder>();
    private reportedModels: readonly string[] = [];
    private fencingToken: number | undefined;
    private hasSuccessor = false;
    private hasReceivedReport = false;
    /** When each pending change was first wanted, by action and model. */
    private readonly pendingSinceMs = new Map<string, number>();
    private readonly completedReads = new Map<string, number>();
    private readPauseUntilMs = 0;
    private cachedWanted: { inputKey: string; models: readonly string[] } | undefined;
    private cachedTurnOwners: { version: number; owners: readonly string[] } | undefined;

    /** Fires after each order that was read back. */
    readonly onOrderVerified = this.orderEmitter.event;

    constructor(private readonly options: PlacementOptions) {}

    /** Starts the task; call once. */
    start(): void {
        void this.run();
    }

    /** Models that the engine last reported. */
    get loadedModels(): readonly string[] {
        return this.reportedModels;
    }

    /** Whether the engine has reported its models. */
    get hasReport(): boolean {
        return this.hasReceivedReport;
    }

    /** Whether ordering ended because a later incarnation orders this engine. */
    get isSuperseded(): boolean {
        return this.hasSuccessor;
    }

    dispose(): void {
        this.abortController.abort();
        this.orderEmitter.dispose();
    }

    private async run(): Promise<void> {
        while (!this.abortController.signal.aborted && !this.hasSuccessor) {
            await this.runRound();
            await clocks.sleep(
                this.options.clock,
                ROUND_PERIOD_MS * (0.75 + this.options.random() / 2),
                this.abortController.signal,
            );
        }
    }

    private async runRound(): Promise<void> {
        const report = await this.callWithTimeout(signal => this.options.engine.report(signal));
        if (report.isErr) {
            this.options.log.debug({ detail: report.error.detail }, "engine report unavailable");
            return;
        }
        this.reportedModels = report.value.models;
        this.hasReceivedReport = true;
        this.reportedModels.forEach(model => this.completedReads.delete(model));
        this.fencingToken ??= this.createFencingToken(report.value.fence);
        const inputs = this.createInputs();
        if (inputs === undefined || !this.options.canSend()) {
            this.pendingSinceMs.clear();
            return;
        }
        if (this.options.checksFencing() && report.value.role !== "" && report.value.fence < this.fencingToken) {
            await this.claimEngine(report.value.role, this.fencingToken);
        }
        const wanted = this.findWantedModels(inputs);
        const missing = wanted.filter(model => !inputs.held.has(model));
        const surplus = this.reportedModels.filter(model => !wanted.includes(model));
        this.updatePending([...missing.map(model => `load ${model}`), ...surplus.map(model => `unload ${model}`)]);
        const modelToLoad = missing.find(model => this.isLoadDue(inputs, model));
        if (modelToLoad !== undefined) {
            await this.loadModel(modelToLoad);
            return;
        }
        const modelToUnload = surplus.find(model => this.isStable("unload", model) && this.isUnloadSafe(inputs, model));
        if (modelToUnload !== undefined) {
            await this.sendOrder("unload", modelToUnload, "unwanted and held elsewhere");
        }
    }

    /** Orders the role that the engine has already, so that it refuses the predecessor's orders from now on. */
    private async claimEngine(role: string, fencingToken: number): Promise<void> {
        const answer = await this.callWithTimeout(signal =>
            this.options.engine.order({ fence: fencingToken, action: "role", subject: role }, signal)
        );
        this.options.log.info({ decision: "placement", action: "role", role, reason: "claim", fence: fencingToken });
        if (answer.isErr && answer.error.code === codes.codes.orderRefused) {
            await this.handleRejection(fencingToken);
        }
    }

    /** Computes the wanted models again only when an input has changed. */
    private findWantedModels(inputs: placements.PlacementInputs): readonly string[] {
        const parts = [inputs.configuration.version, [...inputs.live].sort(), [...inputs.held].sort()];
        const inputKey = JSON.stringify(parts);
        if (this.cachedWanted?.inputKey !== inputKey) {
            const models = (this.options.policy ?? placements.findWantedModels)(inputs);
            this.cachedWanted = { inputKey, models };
        }
        return this.cachedWanted.models;
    }

    private createInputs(): placements.PlacementInputs | undefined {
        const configuration = this.options.configuration();
        if (configuration === undefined) {
            return undefined;
        }
        const { service, slot } = this.options;
        return { configuration, service, slot, live: this.options.findLiveSlots(), held: new Set(this.reportedModels) };
    }

    private updatePending(changes: readonly string[]): void {
        const current = new Set(changes);
        for (const change of this.pendingSinceMs.keys()) {
            if (!current.has(change)) {
                this.pendingSinceMs.delete(change);
            }
        }
        for (const change of changes) {
            if (!this.pendingSinceMs.has(change)) {
                this.pendingSinceMs.set(change, this.options.clock.now());
            }
        }
    }

    private isStable(action: "load" | "unload", model: string): boolean {
        const pendingSinceMs = this.pendingSinceMs.get(`${action} ${model}`) ?? Infinity;
        const defaultMs = action === "load" ? LOAD_STABILIZATION_MS : UNLOAD_STABILIZATION_MS;
        return this.options.clock.now() - pendingSinceMs >= (this.options.stabilizationMs ?? defaultMs);
    }

    /** A model that no live slot holds is loaded without settling. */
    private isLoadDue(inputs: placements.PlacementInputs, model: string): boolean {
        const holders = this.options.findHolders(model).filter(slot => inputs.live.has(slot));
        return holders.length === 0 || this.isStable("load", model);
    }

    private isUnloadSafe(inputs: placements.PlacementInputs, model: string): boolean {
        return (this.options.mayUnload ?? placements.mayUnload)(inputs, model, this.options.findHolders(model));
    }

    private async loadModel(model: string): Promise<void> {
        const reads = this.options.configuration()?.models[model]?.weightReads ?? 1;
        if (this.options.weightStore !== undefined && (this.completedReads.get(model) ?? 0) < reads) {
            await this.readWeights(model, this.options.weightStore);
        }
        if (this.options.weightStore === undefined || (this.completedReads.get(model) ?? 0) >= reads) {
            if (await this.sendOrder("load", model, "wanted")) {
                this.completedReads.delete(model);
            }
        }
    }

    /** Waits for this slot's turn and takes one read; a failed read costs the turn. */
    private async readWeights(model: string, store: ports.WeightStore): Promise<void> {
        const { clock, random } = this.options;
        await clocks.sleep(clock, this.readPauseUntilMs - clock.now(), this.abortController.signal);
        const delayMs = this.findTurnDelay();
        if (delayMs === undefined) {
            return;
        }
        if (delayMs > 0) {
            await clocks.sleep(clock, delayMs, this.abortController.signal);
        }
        // Two incarnations of one slot share its turns, so only the leased one reads.
        const canRead = this.options.canSend() && this.options.lease.canOrder && !this.abortController.signal.aborted;
        if (this.findTurnDelay() !== 0 || !canRead) {
            return;
        }
        this.readPauseUntilMs = clock.now() + readTurns.READ_TURN_MS;
        const answer = await this.callWithTimeout(signal => store.read(model, signal));
        if (answer.isOk) {
            this.completedReads.set(model, (this.completedReads.get(model) ?? 0) + 1);
            return;
        }
        const waitMs = answer.error.retryAfterMs ?? DEFAULT_READ_RETRY_DELAY_MS;
        this.readPauseUntilMs = clock.now() + waitMs * (1 + random());
        this.options.log.debug({ model, detail: answer.error.detail }, "weight store read failed");
    }

    private findTurnDelay(): number | undefined {
        const configuration = this.options.configuration();
        if (configuration === undefined) {
            return undefined;
        }
        if (this.cachedTurnOwners?.version !== configuration.version) {
            this.cachedTurnOwners = { version: configuration.version, owners: readTurns.listTurnOwners(configuration) };
        }
        const owner = `${this.options.service}/${this.options.slot}`;
        return (this.options.findTurnDelay ?? readTurns.findTurnDelay)(
            this.cachedTurnOwners.owners,
            owner,
            this.options.clock,
        );
    }

    /** Sends an order if this agent may, in the turn of the check, and reads it back; true when it took effect. */
    private async sendOrder(action: "load" | "unload", model: string, reason: string): Promise<boolean> {
        const { engine, lease, log, checksFencing, canSend } = this.options;
        const fencingToken = this.fencingToken;
        if (fencingToken === undefined || this.hasSuccessor || this.abortController.signal.aborted || !canSend()) {
            return false;
        }
        if (!checksFencing() && !lease.canOrder) {
            return false;
        }
        const sent = this.callWithTimeout(signal =>
            engine.order({ fence: fencingToken, action, subject: model }, signal)
        );
        log.info({ decision: "placement", model, action, reason, fence: fencingToken });
        const answer = await sent;
        if (answer.isErr && answer.error.code === codes.codes.orderRefused) {
            await this.handleRejection(fencingToken);
        }
        if (answer.isErr) {
            return false;
        }
        return this.verifyOrder({ action, model, fencingToken });
    }

    private async verifyOrder(order: VerifiedOrder): Promise<boolean> {
        const report = await this.callWithTimeout(signal => this.options.engine.report(signal));
        if (report.isErr) {
            return false;
        }
        this.reportedModels = report.value.models;
        const hasTakenEffect = this.reportedModels.includes(order.model) === (order.action === "load");
        if (hasTakenEffect) {
            this.orderEmitter.fire(order);
        }
        return hasTakenEffect;
    }

    /**
     * A number above this incarnation's own was taken after it, by a later incarnation: ordering ends for
     * good. Otherwise the engine wants a higher number, which only the listed agent takes.
     */
    private async handleRejection(fencingToken: number): Promise<void> {
        const report = await this.callWithTimeout(signal => this.options.engine.report(signal));
        if (report.isErr) {
            return;
        }
        const highestToken = report.value.fence;
        const isHighest = highestToken <= fencingToken;
        if (isHighest && this.options.lease.isCurrent) {
            this.fencingToken = this.createFencingToken(highestToken);
            return;
        }
        if (!isHighest) {
            this.hasSuccessor = true;
            const code = codes.codes.orderRefused.code;
            this.options.log.error(
                { alarm: true, code, fence: fencingToken, highest: highestToken },
                "another incarnation orders this engine",
            );
        }
    }

    private createFencingToken(highestReported: number): number {
        return (this.options.nextFencingToken ?? fencingTokens.nextFencingToken)(
            this.options.incarnation,
            highestReported,
        );
    }

    private async callWithTimeout<T>(send: (signal: AbortSignal) => ports.Reply<T>): ports.Reply<T> {
        const timeoutController = new AbortController();
        const abort = () => timeoutController.abort();
        const timer = this.options.clock.schedule(CALL_TIMEOUT_MS, abort);
        this.abortController.signal.addEventListener("abort", abort, { once: true });
        const answer = await send(timeoutController.signal);
        this.abortController.signal.removeEventListener("abort", abort);
        timer.dispose();
        return answer;
    }
}
