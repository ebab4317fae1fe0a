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
import * as fencing from "./FencingNumber";
import * as leases from "./OrderLease";
import * as turns from "./RateTurn";

/** Time between two rounds, in milliseconds. */
const ROUND_MS = 500;
/** How long a load must be wanted without a break before it is ordered, in milliseconds. */
const LOAD_SETTLE_MS = 3_000;
/** The same for an unload, in milliseconds. */
const UNLOAD_SETTLE_MS = 15_000;
/** Longest wait for an answer of the engine or the weight store, in milliseconds. */
const CALL_TIMEOUT_MS = 10_000;
/** Wait after a failed read of the weight store that names no time, in milliseconds. */
const READ_RETRY_MS = 1_000;

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
    readonly live: () => ReadonlySet<string>;
    /** Other slots whose agents last reported the model as loaded. */
    readonly holders: (model: string) => readonly string[];
    /** False while draining, refreshing after a pause, or out of touch. */
    readonly maySend: () => boolean;
    readonly checksFencing: () => boolean;
    readonly lease: leases.OrderLease;
    readonly findWanted?: placements.PlacementPolicy;
    readonly mayUnload?: typeof placements.mayUnload;
    readonly findTurnDelay?: typeof turns.findTurnDelay;
    readonly nextFence?: typeof fencing.nextFencingNumber;
    /** How long a change must be wanted before it is ordered, in milliseconds. */
    readonly settleMs?: number;
}

/** An order that the engine took and that was read back. */
export interface PlacedOrder {
    readonly action: "load" | "unload";
    readonly model: string;
    readonly fence: number;
}

/** One task per agent; see the module's comment. */
export class PlacementTask implements clocks.Disposable {
    private readonly stopping = new AbortController();
    private readonly orderEmitter = new emitters.Emitter<PlacedOrder>();
    private heldModels: readonly string[] = [];
    private fence: number | undefined;
    private stopped = false;
    private reported = false;
    /** When each pending change was first wanted, by action and model. */
    private readonly pendingSinceMs = new Map<string, number>();
    private readonly readsDone = new Map<string, number>();
    private readPauseUntilMs = 0;
    private lastWanted: { inputKey: string; models: readonly string[] } | undefined;
    private turnOrder: { version: number; order: readonly string[] } | undefined;

    /** Fires after each order that was read back. */
    readonly onOrder = this.orderEmitter.event;

    constructor(private readonly options: PlacementOptions) {}

    /** Starts the task; call once. */
    start(): void {
        void this.run();
    }

    /** Models that the engine last reported. */
    get held(): readonly string[] {
        return this.heldModels;
    }

    /** Whether the engine has reported its models. */
    get hasReport(): boolean {
        return this.reported;
    }

    /** Whether ordering ended because a later incarnation orders this engine. */
    get isStopped(): boolean {
        return this.stopped;
    }

    dispose(): void {
        this.stopping.abort();
        this.orderEmitter.dispose();
    }

    private async run(): Promise<void> {
        while (!this.stopping.signal.aborted && !this.stopped) {
            await this.round();
            await clocks.sleep(this.options.clock, ROUND_MS * (0.75 + this.options.random() / 2), this.stopping.signal);
        }
    }

    private async round(): Promise<void> {
        const report = await this.call(signal => this.options.engine.report(signal));
        if (report.isErr) {
            this.options.log.debug({ detail: report.error.detail }, "engine report unavailable");
            return;
        }
        this.heldModels = report.value.models;
        this.reported = true;
        this.heldModels.forEach(model => this.readsDone.delete(model));
        this.fence ??= this.nextFence(report.value.fence);
        const inputs = this.readInputs();
        if (inputs === undefined || !this.options.maySend()) {
            this.pendingSinceMs.clear();
            return;
        }
        if (this.options.checksFencing() && report.value.role !== "" && report.value.fence < this.fence) {
            await this.claim(report.value.role, this.fence);
        }
        const wanted = this.findWanted(inputs);
        const missing = wanted.filter(model => !inputs.held.has(model));
        const surplus = this.heldModels.filter(model => !wanted.includes(model));
        this.notePending([...missing.map(model => `load ${model}`), ...surplus.map(model => `unload ${model}`)]);
        const load = missing.find(model => this.isDue(inputs, model));
        if (load !== undefined) {
            await this.load(load);
            return;
        }
        const unload = surplus.find(model => this.isSettled("unload", model) && this.isSafe(inputs, model));
        if (unload !== undefined) {
            await this.order("unload", unload, "unwanted and held elsewhere");
        }
    }

    /** Orders the role that the engine has already, so that it refuses the predecessor's orders from now on. */
    private async claim(role: string, fence: number): Promise<void> {
        const answer = await this.call(signal =>
            this.options.engine.order({ fence, action: "role", subject: role }, signal)
        );
        this.options.log.info({ decision: "placement", action: "role", role, reason: "claim", fence });
        if (answer.isErr && answer.error.code === codes.codes.orderRefused) {
            await this.resolveRefusal(fence);
        }
    }

    /** Computes the wanted models again only when an input has changed. */
    private findWanted(inputs: placements.PlacementInputs): readonly string[] {
        const parts = [inputs.configuration.version, [...inputs.live].sort(), [...inputs.held].sort()];
        const inputKey = JSON.stringify(parts);
        if (this.lastWanted?.inputKey !== inputKey) {
            const models = (this.options.findWanted ?? placements.findWantedModels)(inputs);
            this.lastWanted = { inputKey, models };
        }
        return this.lastWanted.models;
    }

    private readInputs(): placements.PlacementInputs | undefined {
        const configuration = this.options.configuration();
        if (configuration === undefined) {
            return undefined;
        }
        const { service, slot } = this.options;
        return { configuration, service, slot, live: this.options.live(), held: new Set(this.heldModels) };
    }

    private notePending(changes: readonly string[]): void {
        const kept = new Set(changes);
        for (const change of this.pendingSinceMs.keys()) {
            if (!kept.has(change)) {
                this.pendingSinceMs.delete(change);
            }
        }
        for (const change of changes) {
            if (!this.pendingSinceMs.has(change)) {
                this.pendingSinceMs.set(change, this.options.clock.now());
            }
        }
    }

    private isSettled(action: "load" | "unload", model: string): boolean {
        const sinceMs = this.pendingSinceMs.get(`${action} ${model}`) ?? Infinity;
        const defaultMs = action === "load" ? LOAD_SETTLE_MS : UNLOAD_SETTLE_MS;
        return this.options.clock.now() - sinceMs >= (this.options.settleMs ?? defaultMs);
    }

    /** A model that no live slot holds is loaded without settling. */
    private isDue(inputs: placements.PlacementInputs, model: string): boolean {
        const holders = this.options.holders(model).filter(slot => inputs.live.has(slot));
        return holders.length === 0 || this.isSettled("load", model);
    }

    private isSafe(inputs: placements.PlacementInputs, model: string): boolean {
        return (this.options.mayUnload ?? placements.mayUnload)(inputs, model, this.options.holders(model));
    }

    private async load(model: string): Promise<void> {
        const reads = this.options.configuration()?.models[model]?.weightReads ?? 1;
        if (this.options.weightStore !== undefined && (this.readsDone.get(model) ?? 0) < reads) {
            await this.read(model, this.options.weightStore);
        }
        if (this.options.weightStore === undefined || (this.readsDone.get(model) ?? 0) >= reads) {
            if (await this.order("load", model, "wanted")) {
                this.readsDone.delete(model);
            }
        }
    }

    /** Waits for this slot's turn and takes one read; a failed read costs the turn. */
    private async read(model: string, store: ports.WeightStore): Promise<void> {
        const { clock, random } = this.options;
        await clocks.sleep(clock, this.readPauseUntilMs - clock.now(), this.stopping.signal);
        const delayMs = this.findTurnDelay();
        if (delayMs === undefined) {
            return;
        }
        if (delayMs > 0) {
            await clocks.sleep(clock, delayMs, this.stopping.signal);
        }
        // Two incarnations of one slot share its turns, so only the leased one reads.
        const mayRead = this.options.maySend() && this.options.lease.mayOrder && !this.stopping.signal.aborted;
        if (this.findTurnDelay() !== 0 || !mayRead) {
            return;
        }
        this.readPauseUntilMs = clock.now() + turns.READ_TURN_MS;
        const answer = await this.call(signal => store.read(model, signal));
        if (answer.isOk) {
            this.readsDone.set(model, (this.readsDone.get(model) ?? 0) + 1);
            return;
        }
        const waitMs = answer.error.retryAfterMs ?? READ_RETRY_MS;
        this.readPauseUntilMs = clock.now() + waitMs * (1 + random());
        this.options.log.debug({ model, detail: answer.error.detail }, "weight store read failed");
    }

    private findTurnDelay(): number | undefined {
        const configuration = this.options.configuration();
        if (configuration === undefined) {
            return undefined;
        }
        if (this.turnOrder?.version !== configuration.version) {
            this.turnOrder = { version: configuration.version, order: turns.orderTurns(configuration) };
        }
        const owner = `${this.options.service}/${this.options.slot}`;
        return (this.options.findTurnDelay ?? turns.findTurnDelay)(this.turnOrder.order, owner, this.options.clock);
    }

    /** Sends an order if this agent may, in the turn of the check, and reads it back; true when it took effect. */
    private async order(action: "load" | "unload", model: string, reason: string): Promise<boolean> {
        const { engine, lease, log, checksFencing, maySend } = this.options;
        const fence = this.fence;
        if (fence === undefined || this.stopped || this.stopping.signal.aborted || !maySend()) {
            return false;
        }
        if (!checksFencing() && !lease.mayOrder) {
            return false;
        }
        const sent = this.call(signal => engine.order({ fence, action, subject: model }, signal));
        log.info({ decision: "placement", model, action, reason, fence });
        const answer = await sent;
        if (answer.isErr && answer.error.code === codes.codes.orderRefused) {
            await this.resolveRefusal(fence);
        }
        if (answer.isErr) {
            return false;
        }
        return this.readBack({ action, model, fence });
    }

    private async readBack(order: PlacedOrder): Promise<boolean> {
        const report = await this.call(signal => this.options.engine.report(signal));
        if (report.isErr) {
            return false;
        }
        this.heldModels = report.value.models;
        const effective = this.heldModels.includes(order.model) === (order.action === "load");
        if (effective) {
            this.orderEmitter.fire(order);
        }
        return effective;
    }

    /**
     * A number above this incarnation's own was taken after it, by a later incarnation: ordering ends for
     * good. Otherwise the engine wants a higher number, which only the listed agent takes.
     */
    private async resolveRefusal(fence: number): Promise<void> {
        const report = await this.call(signal => this.options.engine.report(signal));
        if (report.isErr) {
            return;
        }
        const highest = report.value.fence;
        const isNewest = highest <= fence;
        if (isNewest && this.options.lease.isCurrent) {
            this.fence = this.nextFence(highest);
            return;
        }
        if (!isNewest) {
            this.stopped = true;
            const code = codes.codes.orderRefused.code;
            this.options.log.error({ alarm: true, code, fence, highest }, "another incarnation orders this engine");
        }
    }

    private nextFence(highestReported: number): number {
        return (this.options.nextFence ?? fencing.nextFencingNumber)(this.options.incarnation, highestReported);
    }

    private async call<T>(send: (signal: AbortSignal) => ports.Reply<T>): ports.Reply<T> {
        const limit = new AbortController();
        const abort = () => limit.abort();
        const timer = this.options.clock.schedule(CALL_TIMEOUT_MS, abort);
        this.stopping.signal.addEventListener("abort", abort, { once: true });
        const answer = await send(limit.signal);
        this.stopping.signal.removeEventListener("abort", abort);
        timer.dispose();
        return answer;
    }
}
