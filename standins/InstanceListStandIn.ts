/**
 * Stand-in of the platform's instance list: `GET /instances`, which lags behind by `lagMs`.
 */
import * as http from "node:http";
import * as ports from "../src/common/Ports";
import * as standIns from "./HttpStandIn";
import * as lagged from "./LaggedValue";

/** Options of the stand-in. */
export interface InstanceListOptions extends standIns.ListenOptions {
    readonly rows?: readonly ports.ListedInstance[] | undefined;
    readonly lagMs?: number | undefined;
}

/** Serves the instance list. */
export class InstanceListStandIn extends standIns.HttpStandIn {
    /** Age of the served rows. */
    lagMs: number;
    private readonly rows: lagged.LaggedValue<readonly ports.ListedInstance[]>;

    private constructor(options: InstanceListOptions) {
        super();
        this.lagMs = options.lagMs ?? 0;
        this.rows = new lagged.LaggedValue(options.rows ?? []);
    }

    static async listen(options: InstanceListOptions = {}): Promise<InstanceListStandIn> {
        const standIn = new InstanceListStandIn(options);
        await standIn.start(options.port ?? 0);
        return standIn;
    }

    /** Sets the current rows; readers see them after the lag. */
    set(rows: readonly ports.ListedInstance[]): void {
        this.rows.set([...rows]);
    }

    override describe(): Record<string, unknown> {
        return { calls: this.calls, rows: this.rows.get(0).length };
    }

    protected override handle(incoming: standIns.IncomingRequest, response: http.ServerResponse): Promise<void> {
        if (incoming.path !== "/instances") {
            standIns.sendJson(response, 404);
            return Promise.resolve();
        }
        standIns.sendJson(response, 200, this.rows.get(this.lagMs));
        return Promise.resolve();
    }
}
