/**
 * The stage orders that this entry runs as a host for other entries. An order outlives the loss of its connection for a
 * while: when connections of many entries are reset at once, their orders continue as soon as the entries are back,
 * rather than being computed again on another host beside this one.
 */
import * as backgroundTasks from "../../common/BackgroundTask";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as stageOrders from "../../common/StageOrder";
import * as stageEndMessages from "./StageEndMessage";
import * as stageHosts from "./StageHost";

/** Time after the loss of its connection in which an order can be claimed again by its sender. */
const CLAIM_TIMEOUT_MS = 500;

/** What this module needs of a connection to another entry. */
export interface OrderConnection {
    send(message: messages.Message): boolean;
}

/** What this module needs of the stage host. */
export type OrderHost = Pick<stageHosts.StageHost, "run" | "releaseResults">;

interface Sender {
    readonly connection: OrderConnection;
    /** Number of the order on its connection. */
    readonly order: number;
}

interface ServedOrder {
    readonly attempt: string;
    readonly controller: AbortController;
    /** Undefined while the connection to the sender is lost. */
    sender: Sender | undefined;
    /** Ends the order unless it is claimed in time; undefined while the sender is connected. */
    claimTimer: clocks.Disposable | undefined;
    /** Set once the order has ended. */
    result: stageHosts.StageRunResult | undefined;
}

/** Runs the orders of other entries and reports their results. */
export class ServedOrders {
    private readonly ordersByConnection = new Map<OrderConnection, Map<number, ServedOrder>>();
    /** Orders whose connection is lost, by the call's attempt, which may have several of them: the oldest first. */
    private readonly unclaimed = new Map<string, readonly ServedOrder[]>();

    constructor(
        private readonly clock: clocks.Clock,
        private readonly host: OrderHost,
        private readonly log: logs.Log,
    ) {}

    /** Runs an order, or continues one whose connection was lost. */
    serve(connection: OrderConnection, order: number, content: stageOrders.StageOrder): void {
        const sender = { connection, order };
        const claimed = this.unclaimed.get(content.attempt)?.[0];
        if (claimed === undefined) {
            backgroundTasks.runInBackground(this.log, "stage-order", () => this.start(sender, content));
            return;
        }
        claimed.claimTimer?.dispose();
        this.removeUnclaimed(claimed);
        this.assign(claimed, sender);
        if (claimed.result !== undefined) {
            this.report(claimed, claimed.result);
        }
    }

    /** Ends an order that its sender no longer needs; the results are kept if the sender continues it elsewhere. */
    cancel(connection: OrderConnection, order: number, keepsResults: boolean): void {
        const served = this.ordersByConnection.get(connection)?.get(order);
        served?.controller.abort(keepsResults ? stageHosts.RESULTS_KEPT : undefined);
    }

    /** Keeps the orders of a lost connection until they are claimed or time out. */
    handleLostConnection(connection: OrderConnection): void {
        const lost = this.ordersByConnection.get(connection);
        this.ordersByConnection.delete(connection);
        lost?.forEach(served => {
            served.sender = undefined;
            this.unclaimed.set(served.attempt, [...this.unclaimed.get(served.attempt) ?? [], served]);
            served.claimTimer = this.clock.schedule(CLAIM_TIMEOUT_MS, () => this.dropUnclaimed(served));
        });
    }

    private async start(sender: Sender, content: stageOrders.StageOrder): Promise<void> {
        const controller = new AbortController();
        const served: ServedOrder = {
            attempt: content.attempt,
            controller,
            sender: undefined,
            claimTimer: undefined,
            result: undefined,
        };
        this.assign(served, sender);
        const result = await this.run(served, content);
        this.report(served, result);
    }

    /** Runs an order; an exception, which is a defect of this program, is a failure for its sender. */
    private async run(served: ServedOrder, content: stageOrders.StageOrder): Promise<stageHosts.StageRunResult> {
        try {
            return await this.host.run(content, served.controller.signal, computed => {
                const { connection, order } = served.sender ?? {};
                connection?.send({ kind: "stages-made", order: order!, pieces: [...computed] });
            });
        }
        catch (error) {
            this.log.error({ decision: "exception", task: "stage-order", err: error }, "a stage order failed");
            return { kind: "failed", failure: codes.failure(codes.codes.internalError, String(error)) };
        }
    }

    private assign(served: ServedOrder, sender: Sender): void {
        served.sender = sender;
        const orders = this.ordersByConnection.get(sender.connection) ?? new Map<number, ServedOrder>();
        this.ordersByConnection.set(sender.connection, orders.set(sender.order, served));
    }

    /** Sends the result of an order, or keeps it for the sender's return. */
    private report(served: ServedOrder, result: stageHosts.StageRunResult): void {
        served.result = result;
        if (served.sender === undefined) {
            return;
        }
        const { connection, order } = served.sender;
        this.ordersByConnection.get(connection)?.delete(order);
        connection.send(stageEndMessages.encodeResult(order, result));
    }

    private dropUnclaimed(served: ServedOrder): void {
        this.removeUnclaimed(served);
        if (served.result === undefined) {
            served.controller.abort();
        }
        else if (served.result.kind === "completed") {
            this.host.releaseResults(served.result.handles);
        }
    }

    private removeUnclaimed(served: ServedOrder): void {
        const others = (this.unclaimed.get(served.attempt) ?? []).filter(order => order !== served);
        if (others.length === 0) {
            this.unclaimed.delete(served.attempt);
        }
        else {
            this.unclaimed.set(served.attempt, others);
        }
    }
}
