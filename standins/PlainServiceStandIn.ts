/**
 * Stand-in of a plain service: `POST /call/OPERATION` and `GET /healthz`. The log records each execution.
 */
import * as crypto from "node:crypto";
import * as http from "node:http";
import * as clocks from "../src/common/Clock";
import * as executions from "./ExecutionLog";
import * as standIns from "./HttpStandIn";
import * as capacities from "./UpstreamCapacity";

/**
 * How a call is handled. Only `ok`, `reset-after` and `hang` execute it; the resets close the connection without an
 * answer, `hang` never answers, `error` answers 500 and `reject` 422.
 */
export type Behaviour = "ok" | "reset-before" | "reset-after" | "error" | "reject" | "hang";

/** A call as passed to `onCall`. */
export interface ServiceCall {
    /** Sequence number of the call, from 1. */
    readonly number: number;
    readonly operation: string;
    readonly key: string | undefined;
    readonly request: string;
    readonly body: unknown;
}

/** Options of the stand-in. */
export interface PlainServiceOptions extends standIns.ListenOptions, capacities.CapacityOptions {
    /** Service time of each call. */
    readonly serviceMs?: number | undefined;
}

/** Faults of this stand-in. */
export interface PlainServiceFaults extends standIns.Faults {
    resetBeforeEffect?: boolean | undefined;
    resetAfterEffect?: boolean | undefined;
    /** Behaviour of individual calls, by their sequence number from 1. */
    byNumber?: Record<number, Behaviour> | undefined;
}

/** Echoes the body of each call, unless a fault or `onCall` selects another behaviour. */
export class PlainServiceStandIn extends standIns.HttpStandIn {
    override faults: PlainServiceFaults = {};
    readonly log: executions.Execution[] = [];
    /** Chooses the behaviour of each call to which no fault applies. */
    onCall: (call: ServiceCall) => Behaviour = () => "ok";
    readonly capacity: capacities.UpstreamCapacity;
    /** Boot ID, which changes with every restart. */
    boot = createBootId();
    private lastCallNumber = 0;

    private constructor(private readonly options: PlainServiceOptions) {
        super();
        this.capacity = new capacities.UpstreamCapacity(options);
    }

    static async listen(options: PlainServiceOptions = {}): Promise<PlainServiceStandIn> {
        const standIn = new PlainServiceStandIn(options);
        await standIn.start(options.port ?? 0);
        return standIn;
    }

    /** Simulates a restart: aborts all calls, becomes cold and gets a new boot ID. The log is kept. */
    restart(): void {
        this.boot = createBootId();
        this.capacity.restart();
        this.cutConnections();
    }

    override describe(): Record<string, unknown> {
        const { calls, log, boot } = this;
        const { excess, maxActive, violations, active } = this.capacity;
        return { calls, log, boot, excess, maxActive, violations, active };
    }

    protected override async handle(incoming: standIns.IncomingRequest, response: http.ServerResponse): Promise<void> {
        const operation = /^\/call\/([^/]+)$/.exec(incoming.path)?.[1];
        if (incoming.path === "/healthz") {
            standIns.sendJson(response, this.faults.leaving === true ? 503 : 200, {}, { "x-boot": this.boot });
        }
        else if (operation === undefined) {
            standIns.sendJson(response, 404, {}, { "x-boot": this.boot });
        }
        else {
            await this.serveCall(operation, incoming, response);
        }
    }

    private async serveCall(
        operation: string,
        incoming: standIns.IncomingRequest,
        response: http.ServerResponse,
    ): Promise<void> {
        const { boot } = this;
        const behaviour = this.chooseBehaviour(operation, incoming);
        const request = standIns.readEncodedHeader(incoming.headers, "x-request");
        const runningCall = this.capacity.begin(Number(incoming.headers["x-priority"] ?? 0), request);
        if (this.options.serviceMs !== undefined) {
            await clocks.sleep(clocks.systemClock, this.options.serviceMs);
        }
        const hasFailed = runningCall.isOverloaded || boot !== this.boot;
        this.capacity.end(runningCall, !hasFailed && behaviour === "ok");
        if (hasFailed) {
            standIns.sendJson(response, 500, { error: "overloaded" }, { "x-boot": this.boot });
            return;
        }
        this.applyBehaviour(behaviour, operation, incoming, response);
    }

    private chooseBehaviour(operation: string, incoming: standIns.IncomingRequest): Behaviour {
        const number = ++this.lastCallNumber;
        if (this.faults.resetBeforeEffect === true) {
            return "reset-before";
        }
        if (this.faults.resetAfterEffect === true) {
            return "reset-after";
        }
        const key = standIns.readEncodedHeader(incoming.headers, "x-key");
        const request = standIns.readEncodedHeader(incoming.headers, "x-request") ?? "";
        return this.faults.byNumber?.[number]
            ?? this.onCall({ number, operation, key, request, body: incoming.body });
    }

    private applyBehaviour(
        behaviour: Behaviour,
        operation: string,
        incoming: standIns.IncomingRequest,
        response: http.ServerResponse,
    ): void {
        const headers = { "x-boot": this.boot };
        if (behaviour === "ok" || behaviour === "reset-after" || behaviour === "hang") {
            executions.append(this.log, incoming.headers, operation);
        }
        switch (behaviour) {
            case "ok":
                standIns.sendJson(
                    response,
                    200,
                    { operation, input: incoming.body, sequence: this.log.length },
                    headers,
                );
                break;
            case "reject":
                standIns.sendJson(response, 422, { error: "rejected" }, headers);
                break;
            case "error":
                standIns.sendJson(response, 500, { error: "failed" }, headers);
                break;
            case "reset-before":
            case "reset-after":
                response.destroy();
                break;
            case "hang":
                break;
        }
    }
}

function createBootId(): string {
    return `plain-${crypto.randomUUID()}`;
}
