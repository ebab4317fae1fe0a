/**
 * Stand-in of a model engine: calls and streams of deterministic tokens with continuous batching, a prompt prefix
 * cache, lagging load reports, a lower concurrency limit after a cold start, and orders with fencing tokens.
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
/** Share of the time to the first token that a cached prefix saves. */
const CACHE_HIT_SAVING_RATIO = 0.7;

/** Options of the stand-in. */
export interface EngineOptions extends standIns.ListenOptions, capacities.CapacityOptions, caches.PromptCacheOptions {
    readonly models?: readonly string[] | undefined;
    readonly role?: string | undefined;
    readonly msPerToken?: number | undefined;
    readonly firstTokenMs?: number | undefined;
    /** Number of concurrent calls above which generation slows down; undefined for no limit. */
    readonly batchSize?: number | undefined;
    /** Maximum number of tokens per line of a stream. */
    readonly tokensPerPart?: number | undefined;
    readonly reportLagMs?: number | undefined;
    readonly checksFencing?: boolean | undefined;
    /** Time to load a model. */
    readonly loadMs?: number | undefined;
}

/** Faults of this stand-in. */
export interface EngineFaults extends standIns.Faults {
    /** Number of tokens after which the connection of each stream is closed. */
    dieAfterTokens?: number | undefined;
    /** Whether streams end cleanly but without their last line. */
    dropStreamEnd?: boolean | undefined;
}

/** A received order, and whether it passed the fencing check. */
export interface ReceivedOrder extends ports.EngineOrder {
    readonly isApplied: boolean;
}

type GenerationOutcome = "completed" | "failed" | "cancelled";

/** A simulated model engine. */
export class EngineStandIn extends standIns.HttpStandIn {
    override faults: EngineFaults = {};
    readonly log: executions.Execution[] = [];
    readonly orders: ReceivedOrder[] = [];
    readonly capacity: capacities.UpstreamCapacity;
    readonly cache: caches.PromptCache;
    /** Number of calls whose client closed the connection. */
    cancelled = 0;
    models: string[];
    role: string;
    /** Boot ID, which changes with every restart. */
    boot = createBootId();
    /** Fencing token of the last applied order; stays 0 unless tokens are checked. */
    private fence = 0;
    private readonly laggedReport: lagged.LaggedValue<ports.EngineReport>;

    private constructor(private readonly options: EngineOptions) {
        super();
        this.models = [...options.models ?? []];
        this.role = options.role ?? "mixed";
        this.capacity = new capacities.UpstreamCapacity(options);
        this.cache = new caches.PromptCache(options);
        this.laggedReport = new lagged.LaggedValue(this.currentReport());
    }

    static async listen(options: EngineOptions = {}): Promise<EngineStandIn> {
        const standIn = new EngineStandIn(options);
        await standIn.start(options.port ?? 0);
        return standIn;
    }

    /** Simulates a restart: aborts all calls, becomes cold and gets a new boot ID. Reports show it after their lag. */
    restart(keepModels = true): void {
        this.boot = createBootId();
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

    protected override async handle(incoming: standIns.IncomingRequest, response: http.ServerResponse): Promise<void> {
        response.setHeader("x-boot", this.boot);
        const generationPath = /^\/(call|stream)\/([^/]+)$/.exec(incoming.path);
        const cacheEntry = /^\/cache\/entries\/([^/]+)$/.exec(incoming.path)?.[1];
        if (generationPath) {
            await this.handleGeneration(
                generations.readGeneration(generationPath[2]!, generationPath[1] === "stream", incoming),
                response,
            );
        }
        else if (cacheEntry !== undefined) {
            this.handleCacheEntry(decodeURIComponent(cacheEntry), incoming, response);
        }
        else if (incoming.path === "/healthz") {
            standIns.sendJson(response, this.faults.leaving === true ? 503 : 200, {});
        }
        else if (incoming.path === "/report") {
            standIns.sendJson(response, 200, this.laggedReport.get(this.options.reportLagMs ?? 0));
        }
        else if (incoming.path === "/cache/events") {
            standIns.sendJson(response, 200, this.cache.eventsAfter(Number(incoming.query.get("after") ?? 0)));
        }
        else if (incoming.path === "/orders") {
            await this.handleOrder(incoming.body as ports.EngineOrder, response);
        }
        else {
            standIns.sendJson(response, 404, {});
        }
    }

    private async handleGeneration(generation: generations.Generation, response: http.ServerResponse): Promise<void> {
        if (generation.model !== undefined && !this.models.includes(generation.model)) {
            standIns.sendJson(response, 404, { error: "model not loaded" });
            return;
        }
        const request = standIns.readEncodedHeader(generation.headers, "x-request");
        const runningCall = this.capacity.begin(generation.priority, request);
        this.publishReport();
        executions.append(this.log, generation.headers, generation.operation);
        const { boot } = this;
        const outcome = await this.generate(generation, runningCall, response);
        this.capacity.end(runningCall, outcome === "completed");
        this.publishReport();
        if (outcome === "cancelled" && boot === this.boot) {
            this.cancelled++;
        }
    }

    private async generate(
        generation: generations.Generation,
        runningCall: capacities.RunningCall,
        response: http.ServerResponse,
    ): Promise<GenerationOutcome> {
        const closeController = new AbortController();
        response.once("close", () => closeController.abort());
        await this.simulateWork(this.firstTokenMs(generation), runningCall, closeController.signal);
        const tokensPerPart = this.options.tokensPerPart ?? DEFAULT_TOKENS_PER_PART;
        let offset = generation.offset;
        while (offset < generation.maxTokens && !response.destroyed && !runningCall.isOverloaded) {
            const count = Math.min(
                tokensPerPart,
                generation.maxTokens - offset,
                this.tokensUntilClose(generation, offset),
            );
            await this.simulateWork(count * (this.options.msPerToken ?? 0), runningCall, closeController.signal);
            if (generation.isStream && count > 0) {
                const tokens = generations.tokensFrom(generation.seed, offset, count);
                response.write(`${JSON.stringify({ offset, tokens })}\n`);
            }
            offset += count;
            if (this.tokensUntilClose(generation, offset) <= 0) {
                await this.destroyAfterFlush(response);
                return "failed";
            }
        }
        if (response.destroyed) {
            return "cancelled";
        }
        if (runningCall.isOverloaded) {
            this.failOverloaded(response);
            return "failed";
        }
        this.finish(generation, response);
        return "completed";
    }

    private finish(generation: generations.Generation, response: http.ServerResponse): void {
        const tokens = Math.max(generation.maxTokens, generation.offset);
        if (!generation.isStream) {
            const text = generations.tokensFrom(generation.seed, 0, tokens).join("");
            standIns.sendJson(response, 200, { text }, { "x-tokens": String(tokens) });
        }
        else if (this.faults.dropStreamEnd === true) {
            response.end();
        }
        else {
            response.end(`${JSON.stringify({ end: true, tokens })}\n`);
        }
    }

    private failOverloaded(response: http.ServerResponse): void {
        if (response.headersSent) {
            response.destroy();
        }
        else {
            standIns.sendJson(response, 500, { error: "overloaded" });
        }
    }

    private tokensUntilClose(generation: generations.Generation, offset: number): number {
        const { dieAfterTokens } = this.faults;
        return dieAfterTokens === undefined || !generation.isStream
            ? Infinity
            : dieAfterTokens - (offset - generation.offset);
    }

    /** Closes a connection once the data written so far has been flushed. */
    private async destroyAfterFlush(response: http.ServerResponse): Promise<void> {
        await new Promise<void>(resolve => response.write("", () => resolve()));
        response.destroy();
    }

    /** Returns the time to the first token, and caches the prompt prefix. */
    private firstTokenMs(generation: generations.Generation): number {
        const isHit = this.cache.use(generation.prefix);
        return (this.options.firstTokenMs ?? 0) * (isHit ? 1 - CACHE_HIT_SAVING_RATIO : 1);
    }

    /** Waits `workMs`, or longer if more calls of at least the same priority are running than fit into one batch. */
    private async simulateWork(
        workMs: number,
        runningCall: capacities.RunningCall,
        closeSignal: AbortSignal,
    ): Promise<void> {
        const slowdown = Math.max(
            1,
            this.capacity.countWithPriority(runningCall.priority) / (this.options.batchSize ?? Infinity),
        );
        if (workMs > 0) {
            await clocks.sleep(clocks.systemClock, workMs * slowdown, closeSignal);
        }
    }

    private handleCacheEntry(prefix: string, incoming: standIns.IncomingRequest, response: http.ServerResponse): void {
        if (incoming.method === "PUT") {
            this.cache.put(prefix, incoming.body);
            standIns.sendJson(response, 200, {});
            return;
        }
        const content = this.cache.get(prefix);
        standIns.sendJson(response, content === undefined ? 404 : 200, content);
    }

    private async handleOrder(order: ports.EngineOrder, response: http.ServerResponse): Promise<void> {
        const isApplied = this.options.checksFencing !== true || order.fence >= this.fence;
        this.orders.push({ ...order, isApplied });
        if (!isApplied) {
            standIns.sendJson(response, 409, this.currentReport());
            return;
        }
        this.fence = this.options.checksFencing === true ? order.fence : 0;
        await this.apply(order);
        this.publishReport();
        standIns.sendJson(response, 200, this.currentReport());
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
        this.laggedReport.set(this.currentReport());
    }
}

function createBootId(): string {
    return `engine-${crypto.randomUUID()}`;
}
