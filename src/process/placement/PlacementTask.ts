/**
 * Reconciliation loop that loads and unloads models until an agent's engine holds those wanted by placement. Loads
 * precede unloads, agents read the weight store in turns, each order has a fencing token, and loads and unloads are
 * verified by a new report. An engine that ignores fencing tokens gets orders only under the agent's lease.
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

/** Mean interval between rounds; varied randomly by 25%. */
const ROUND_PERIOD_MS = 500;
/** Time for which a load must be wanted without interruption before it is ordered. */
const LOAD_STABILIZATION_MS = 3_000;
/** The same for an unload. */
const UNLOAD_STABILIZATION_MS = 15_000;
/** Time-out of calls to the engine and the weight store. */
const CALL_TIMEOUT_MS = 10_000;
/** Delay after a failed read of the weight store without a retry time. */
const DEFAULT_READ_RETRY_DELAY_MS = 1_000;

/** Options of the placement task; functions are called whenever their value is needed. */
export interface PlacementOptions {
    readonly clock: clocks.Clock;
    /** Uniformly distributed from 0 to 1. */
    readonly random: () => number;
    readonly log: logs.Log;
    readonly engine: ports.ModelEngine;
    readonly weightStore: ports.WeightStore | undefined;
    readonly service: string;
    readonly slot: string;
    /** Start time of the agent in milliseconds since 1970. */
    readonly incarnation: number;
    readonly configuration: () => configurations.Configuration | undefined;
    /** Slots considered live and in service. */
    readonly findLiveSlots: () => ReadonlySet<string>;
    /** Other slots whose agents last reported the model as loaded. */
    readonly findHolders: (model: string) => readonly string[];
    /** False while draining and while refreshing after a pause. */
    readonly canSend: () => boolean;
    readonly checksFencing: () => boolean;
    readonly lease: leases.OrderLease;
    readonly policy?: placements.PlacementPolicy;
    readonly canUnload?: typeof placements.canUnload;
    readonly findTurnDelayMs?: typeof readTurns.findTurnDelayMs;
    readonly nextFencingToken?: typeof fencingTokens.nextFencingToken;
    /** Time for which a change must be wanted before it is ordered; replaces the defaults for loads and unloads. */
    readonly stabilizationMs?: number;
}

/** An order whose effect a new report of the engine confirmed. */
export interface VerifiedOrder {
    readonly action: "load" | "unload";
    readonly model: string;
    readonly fence: number;
}

/** Runs the reconciliation loop; one per agent. */
export class PlacementTask implements clocks.Disposable {
    private readonly abortController = new AbortController();
    private readonly orderEmitter = new emitters.Emitter<VerifiedOrder>();
    private reportedModels: readonly string[] = [];
    private fencingToken: number | undefined;
    private hasSuccessor = false;
    private hasReceivedReport = false;
    /** Time since which each pending change is wanted, by action and model. */
    private readonly pendingSinceMs = new Map<string, number>();
    private readonly completedReads = new Map<string, number>();
    private nextReadAtMs = 0;
    private cachedWantedModels: { inputKey: string; models: readonly string[] } | undefined;
    private cachedTurnOwners: { version: number; owners: readonly string[] } | undefined;

    /** Fires after the effect of an order was verified. */
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

    /** Whether the task ended because a later incarnation sends orders to the engine. */
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
        this.updatePendingChanges([
            ...missing.map(model => `load ${model}`),
            ...surplus.map(model => `unload ${model}`),
        ]);
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

    /** Orders the engine's current role, so that the engine rejects later orders of this agent's predecessor. */
    private async claimEngine(role: string, fence: number): Promise<void> {
        const answer = await this.callWithTimeout(signal =>
            this.options.engine.order({ fence, action: "role", subject: role }, signal)
        );
        this.options.log.info({ decision: "placement", action: "role", role, reason: "claim", fence });
        if (answer.isErr && answer.error.code === codes.codes.orderRefused) {
            await this.handleRejection(fence);
        }
    }

    /** Computes the wanted models; reuses the result until an input changes. */
    private findWantedModels(inputs: placements.PlacementInputs): readonly string[] {
        const parts = [inputs.configuration.version, [...inputs.live].sort(), [...inputs.held].sort()];
        const inputKey = JSON.stringify(parts);
        if (this.cachedWantedModels?.inputKey !== inputKey) {
            const models = (this.options.policy ?? placements.findWantedModels)(inputs);
            this.cachedWantedModels = { inputKey, models };
        }
        return this.cachedWantedModels.models;
    }

    private createInputs(): placements.PlacementInputs | undefined {
        const configuration = this.options.configuration();
        if (configuration === undefined) {
            return undefined;
        }
        const { service, slot } = this.options;
        return { configuration, service, slot, live: this.options.findLiveSlots(), held: new Set(this.reportedModels) };
    }

    private updatePendingChanges(changes: readonly string[]): void {
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

    /** A model that no other live slot holds is loaded without the stabilization time. */
    private isLoadDue(inputs: placements.PlacementInputs, model: string): boolean {
        const holders = this.options.findHolders(model).filter(slot => inputs.live.has(slot));
        return holders.length === 0 || this.isStable("load", model);
    }

    private isUnloadSafe(inputs: placements.PlacementInputs, model: string): boolean {
        return (this.options.canUnload ?? placements.canUnload)(inputs, model, this.options.findHolders(model));
    }

    private async loadModel(model: string): Promise<void> {
        const requiredReads = this.options.configuration()?.models[model]?.weightReads ?? 1;
        if (this.options.weightStore !== undefined && (this.completedReads.get(model) ?? 0) < requiredReads) {
            await this.readWeights(model, this.options.weightStore);
        }
        if (this.options.weightStore === undefined || (this.completedReads.get(model) ?? 0) >= requiredReads) {
            if (await this.sendOrder("load", model, "wanted")) {
                this.completedReads.delete(model);
            }
        }
    }

    /** Waits for this slot's turn and reads once; a failed read uses up the turn. */
    private async readWeights(model: string, store: ports.WeightStore): Promise<void> {
        const { clock, random } = this.options;
        await clocks.sleep(clock, this.nextReadAtMs - clock.now(), this.abortController.signal);
        const delayMs = this.findTurnDelayMs();
        if (delayMs === undefined) {
            return;
        }
        if (delayMs > 0) {
            await clocks.sleep(clock, delayMs, this.abortController.signal);
        }
        // Incarnations of a slot share its turns, so only the one with the lease reads.
        const canRead = this.options.canSend() && this.options.lease.canOrder && !this.abortController.signal.aborted;
        if (this.findTurnDelayMs() !== 0 || !canRead) {
            return;
        }
        this.nextReadAtMs = clock.now() + readTurns.READ_TURN_MS;
        const answer = await this.callWithTimeout(signal => store.read(model, signal));
        if (answer.isOk) {
            this.completedReads.set(model, (this.completedReads.get(model) ?? 0) + 1);
            return;
        }
        const waitMs = answer.error.retryAfterMs ?? DEFAULT_READ_RETRY_DELAY_MS;
        this.nextReadAtMs = clock.now() + waitMs * (1 + random());
        this.options.log.debug({ model, detail: answer.error.detail }, "weight store read failed");
    }

    private findTurnDelayMs(): number | undefined {
        const configuration = this.options.configuration();
        if (configuration === undefined) {
            return undefined;
        }
        if (this.cachedTurnOwners?.version !== configuration.version) {
            this.cachedTurnOwners = { version: configuration.version, owners: readTurns.listTurnOwners(configuration) };
        }
        const owner = `${this.options.service}/${this.options.slot}`;
        return (this.options.findTurnDelayMs ?? readTurns.findTurnDelayMs)(
            this.cachedTurnOwners.owners,
            owner,
            this.options.clock,
        );
    }

    /** Sends an order if allowed, in the same turn of the event loop as the check; true if it took effect. */
    private async sendOrder(action: "load" | "unload", model: string, reason: string): Promise<boolean> {
        const { engine, lease, log, checksFencing, canSend } = this.options;
        const fence = this.fencingToken;
        if (fence === undefined || this.hasSuccessor || this.abortController.signal.aborted || !canSend()) {
            return false;
        }
        if (!checksFencing() && !lease.canOrder) {
            return false;
        }
        const pendingAnswer = this.callWithTimeout(signal => engine.order({ fence, action, subject: model }, signal));
        log.info({ decision: "placement", model, action, reason, fence });
        const answer = await pendingAnswer;
        if (answer.isErr && answer.error.code === codes.codes.orderRefused) {
            await this.handleRejection(fence);
        }
        if (answer.isErr) {
            return false;
        }
        return this.verifyOrder({ action, model, fence });
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
     * A token above this incarnation's own belongs to a later incarnation, so the task ends. Otherwise the engine
     * requires a higher token, which is created only while the agent is listed.
     */
    private async handleRejection(fence: number): Promise<void> {
        const report = await this.callWithTimeout(signal => this.options.engine.report(signal));
        if (report.isErr) {
            return;
        }
        const highest = report.value.fence;
        const isHighest = highest <= fence;
        if (isHighest && this.options.lease.isCurrent) {
            this.fencingToken = this.createFencingToken(highest);
            return;
        }
        if (!isHighest) {
            this.hasSuccessor = true;
            const code = codes.codes.orderRefused.code;
            this.options.log.error(
                { alarm: true, code, fence, highest },
                "a later incarnation controls the engine; placement stopped",
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
