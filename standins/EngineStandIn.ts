/**
 * Stands in for a model engine: calls and streams of deterministic tokens under continuous batching, a
 * prompt prefix cache, lagging load reports, cold starts that bear little, and orders with fencing numbers.
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as clocks from "../src/common/Clock";
import * as ports from "../src/common/Ports";
import * as executions from "./ExecutionLog";
import * as generations from "./Generation";
import * as standIns from "./HttpStandIn";
import * as lagged from "./LaggedValue";
import * as caches from "./PromptCache";
import * as capacities from "./UpstreamCapacity";

const DEFAULT_TOKENS_PER_PART = 4;
/** Part of the first token's time that a held prefix saves. */
const CACHE_SAVING = 0.7;

/** Options; times in milliseconds. */
export interface EngineOptions extends standIns.ListenOptions, capacities.CapacityOptions, caches.PromptCacheOptions {
    readonly models?: readonly string[] | undefined;
    readonly role?: string | undefined;
    readonly msPerToken?: number | undefined;
    readonly firstTokenMs?: number | undefined;
    /** Calls at once above which every token takes longer; undefined for no bound. */
    readonly batchSize?: number | undefined;
    readonly tokensPerPart?: number | undefined;
    readonly reportLagMs?: number | undefined;
    readonly checksFencing?: boolean | undefined;
    /** Time that loading a model takes. */
    readonly loadMs?: number | undefined;
}

/** Faults of this stand-in. */
export interface EngineFaults extends standIns.Faults {
    /** The connection of each stream is cut after this many tokens. */
    dieAfterTokens?: number | undefined;
    /** Streams end cleanly without their last line. */
    dropStreamEnd?: boolean | undefined;
}

/** An order as received. */
export interface ReceivedOrder extends ports.EngineOrder {
    readonly isApplied: boolean;
}

type Ending = "completed" | "failed" | "cancelled";

/** The engine. */
export class EngineStandIn extends standIns.HttpStandIn {
    override faults: EngineFaults = {};
    readonly log: executions.Execution[] = [];
    readonly orders: ReceivedOrder[] = [];
    readonly capacity: capacities.UpstreamCapacity;
    readonly cache: caches.PromptCache;
    /** Calls whose client went away. */
    cancelled = 0;
    models: string[];
    role: string;
    /** Boot identity. */
    boot = createBoot();
    private fence = 0;
    private readonly reports: lagged.LaggedValue<ports.EngineReport>;

    private constructor(private readonly options: EngineOptions) {
        super();
        this.models = [...options.models ?? []];
        this.role = options.role ?? "mixed";
        this.capacity = new capacities.UpstreamCapacity(options);
        this.cache = new caches.PromptCache(options);
        this.reports = new lagged.LaggedValue(this.currentReport());
    }

    static async listen(options: EngineOptions = {}): Promise<EngineStandIn> {
        const standIn = new EngineStandIn(options);
        await standIn.start(options.port ?? 0);
        return standIn;
    }

    /** Cuts all calls and comes back cold with a new boot identity; reports stay old for their lag. */
    restart(keepModels = true): void {
        this.boot = createBoot();
        this.fence = 0;
        this.models = keepModels ? this.models : [];
        this.cache.clear();
        this.capacity.restart();
        this.cutConnections();
        this.publishReport();
    }

    override describe(): Record<string, unknown> {
        const { calls, log, orders, cancelled, models, role, boot } = this;
        const { excess, maxActive, violations, active } = this.capacity;
        const { hits, misses } = this.cache;
        return {
            calls,
            log,
            orders,
            cancelled,
            models,
            role,
            boot,
            excess,
            maxActive,
            violations,
            active,
            hits,
            misses,
        };
    }

    protected override async handle(incoming: standIns.Incoming, response: http.ServerResponse): Promise<void> {
        response.setHeader("x-boot", this.boot);
        const work = /^\/(call|stream)\/([^/]+)$/.exec(incoming.path);
        const entry = /^\/cache\/entries\/([^/]+)$/.exec(incoming.path)?.[1];
        if (work) {
            await this.generate(generations.readGeneration(work[2]!, work[1] === "stream", incoming), response);
        }
        else if (entry !== undefined) {
            this.exchangeCache(decodeURIComponent(entry), incoming, response);
        }
        else if (incoming.path === "/healthz") {
            standIns.answer(response, this.faults.leaving === true ? 503 : 200, {});
        }
        else if (incoming.path === "/report") {
            standIns.answer(response, 200, this.reports.get(this.options.reportLagMs ?? 0));
        }
        else if (incoming.path === "/cache/events") {
            standIns.answer(response, 200, this.cache.eventsAfter(Number(incoming.query.get("after") ?? 0)));
        }
        else if (incoming.path === "/orders") {
            await this.takeOrder(incoming.body as ports.EngineOrder, response);
        }
        else {
            standIns.answer(response, 404, {});
        }
    }

    private async generate(generation: generations.Generation, response: http.ServerResponse): Promise<void> {
        if (generation.model !== undefined && !this.models.includes(generation.model)) {
            standIns.answer(response, 404, { error: "model not loaded" });
            return;
        }
        const request = standIns.readEncoded(generation.headers, "x-request");
        const running = this.capacity.enter(generation.priority, request);
        this.publishReport();
        executions.append(this.log, generation.headers, generation.operation);
        const { boot } = this;
        const ending = await this.run(generation, running, response);
        this.capacity.leave(running, ending === "completed");
        this.publishReport();
        if (ending === "cancelled" && boot === this.boot) {
            this.cancelled++;
        }
    }

    private async run(
        generation: generations.Generation,
        running: capacities.RunningCall,
        response: http.ServerResponse,
    ): Promise<Ending> {
        const closed = new AbortController();
        response.once("close", () => closed.abort());
        await this.work(this.firstTokenMs(generation), running, closed.signal);
        const step = this.options.tokensPerPart ?? DEFAULT_TOKENS_PER_PART;
        let offset = generation.offset;
        while (offset < generation.maxTokens && !response.destroyed && !running.hasFallen) {
            const count = Math.min(step, generation.maxTokens - offset, this.tokensUntilDeath(generation, offset));
            await this.work(count * (this.options.msPerToken ?? 0), running, closed.signal);
            if (generation.isStream && count > 0) {
                const tokens = generations.tokensFrom(generation.seed, offset, count);
                response.write(`${JSON.stringify({ offset, tokens })}\n`);
            }
            offset += count;
            if (this.tokensUntilDeath(generation, offset) <= 0) {
                await this.cutAfterFlush(response);
                return "failed";
            }
        }
        if (response.destroyed) {
            return "cancelled";
        }
        if (running.hasFallen) {
            this.fallOver(response);
            return "failed";
        }
        this.finish(generation, response);
        return "completed";
    }

    private finish(generation: generations.Generation, response: http.ServerResponse): void {
        const tokens = Math.max(generation.maxTokens, generation.offset);
        if (!generation.isStream) {
            const text = generations.tokensFrom(generation.seed, 0, tokens).join("");
            standIns.answer(response, 200, { text }, { "x-tokens": String(tokens) });
        }
        else if (this.faults.dropStreamEnd === true) {
            response.end();
        }
        else {
            response.end(`${JSON.stringify({ end: true, tokens })}\n`);
        }
    }

    private fallOver(response: http.ServerResponse): void {
        if (response.headersSent) {
            response.destroy();
        }
        else {
            standIns.answer(response, 500, { error: "overloaded" });
        }
    }

    private tokensUntilDeath(generation: generations.Generation, offset: number): number {
        const { dieAfterTokens } = this.faults;
        return dieAfterTokens === undefined || !generation.isStream
            ? Infinity
            : dieAfterTokens - (offset - generation.offset);
    }

    /** Cuts a connection after what was written has left. */
    private async cutAfterFlush(response: http.ServerResponse): Promise<void> {
        await new Promise<void>(resolve => response.write("", () => resolve()));
        response.destroy();
    }

    private firstTokenMs(generation: generations.Generation): number {
        const isHit = this.cache.use(generation.prefix);
        return (this.options.firstTokenMs ?? 0) * (isHit ? 1 - CACHE_SAVING : 1);
    }

    /** Takes `workMs`, longer when more calls of at least the same priority run than fit in one batch. */
    private async work(workMs: number, running: capacities.RunningCall, closed: AbortSignal): Promise<void> {
        const slowdown = Math.max(1, this.capacity.countFrom(running.priority) / (this.options.batchSize ?? Infinity));
        if (workMs > 0) {
            await clocks.sleep(clocks.systemClock, workMs * slowdown, closed);
        }
    }

    private exchangeCache(prefix: string, incoming: standIns.Incoming, response: http.ServerResponse): void {
        if (incoming.method === "PUT") {
            this.cache.put(prefix, incoming.body);
            standIns.answer(response, 200, {});
            return;
        }
        const content = this.cache.get(prefix);
        standIns.answer(response, content === undefined ? 404 : 200, content);
    }

    private async takeOrder(order: ports.EngineOrder, response: http.ServerResponse): Promise<void> {
        const isApplied = this.options.checksFencing !== true || order.fence >= this.fence;
        this.orders.push({ ...order, isApplied });
        if (!isApplied) {
            standIns.answer(response, 409, this.currentReport());
            return;
        }
        this.fence = this.options.checksFencing === true ? order.fence : 0;
        await this.apply(order);
        this.publishReport();
        standIns.answer(response, 200, this.currentReport());
    }

    private async apply(order: ports.EngineOrder): Promise<void> {
        switch (order.action) {
            case "load":
                await clocks.sleep(clocks.systemClock, this.options.loadMs ?? 0);
                this.models = [...new Set([...this.models, order.subject])];
                break;
            case "unload":
                this.models = this.models.filter(model => model !== order.subject);
                break;
            case "role":
                this.role = order.subject;
                break;
        }
    }

    private currentReport(): ports.EngineReport {
        const { boot, models, fence, role } = this;
        return { boot, active: this.capacity.active, models, fence, role };
    }

    private publishReport(): void {
        this.reports.set(this.currentReport());
    }
}

function createBoot(): string {
    return `engine-${crypto.randomUUID()}`;
}
