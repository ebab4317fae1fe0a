/**
 * Runs the stages of calls through the stage hosts: entries that schedule them for all entries, so that pieces of
 * different orders share calls on the instances. When a host is lost, the next one takes over, and pieces without a
 * known result are computed again.
 */
import * as pattern from "ts-pattern";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as stageOrders from "../../common/StageOrder";
import * as peerConnections from "../../connection/PeerConnection";
import * as entryPeers from "../peers/EntryPeers";
import * as peerEntries from "../peers/PeerEntry";
import * as hostRoles from "./HostRoles";
import * as servedOrders from "./ServedOrders";
import * as stageEndMessages from "./StageEndMessage";
import * as stageHosts from "./StageHost";

/** Maximum number of attempts to run one order on a host. */
const MAX_HOST_ATTEMPTS = 5;
/** Retry delay after the host was lost or handed the order over at each attempt. */
const RETRY_AFTER_MS = 500;
/** Interval of the checks whether the host of a sent order is still present. */
const HOST_CHECK_INTERVAL_MS = 200;

/** Time after an order's time limit in which its host must have reported the result. */
const REPORT_MARGIN_MS = 300;

/** Result of an order whose host didn't report in time. */
const NOT_REPORTED: stageHosts.StageRunResult = {
    kind: "failed",
    failure: codes.failure(codes.codes.deadlineUnreachable, "the host didn't report in time", RETRY_AFTER_MS),
};

/** Dependencies of the client. */
export interface StageClientOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly peers: entryPeers.EntryPeers;
    readonly roles: hostRoles.HostRoles;
    /** Runs the orders of this entry's own groups. */
    readonly host: stageHosts.StageHost;
}

interface RemoteOrder {
    readonly connection: peerConnections.PeerConnection;
    readonly settle: (result: stageHosts.StageRunResult | "lost") => void;
    readonly onProgress: stageHosts.ProgressListener;
}

/** Sends orders to the stage hosts, and serves orders of other entries while this entry is a host. */
export class StageClient implements clocks.Disposable {
    private readonly sentOrders = new Map<number, RemoteOrder>();
    private readonly servedOrders: servedOrders.ServedOrders;
    private readonly subscriptions = new emitters.DisposableStore();
    /** The host that made a result, until the result is released. */
    private readonly hostByHandle = new Map<string, hostRoles.GroupHost>();
    private nextOrderId = 1;

    constructor(private readonly options: StageClientOptions) {
        this.servedOrders = new servedOrders.ServedOrders(options.clock, options.host, options.log);
        this.subscriptions.add(options.peers.onFrame(frame => this.handleMessage(frame)));
        this.subscriptions.add(options.peers.onDisconnect(connection => this.handleLostConnection(connection)));
    }

    dispose(): void {
        this.subscriptions.dispose();
    }

    /** Runs the stages of a call on a host; retries when the host is lost or hands the order over. */
    async run(order: stageOrders.StageOrder, signal: AbortSignal): Promise<stageHosts.StageRunResult> {
        const startedMs = this.options.clock.now();
        const made: stageOrders.ComputedPiece[] = [];
        for (let attempt = 0; attempt < MAX_HOST_ATTEMPTS; attempt++) {
            if (signal.aborted) {
                return stageHosts.CALLER_LEFT;
            }
            const elapsedMs = this.options.clock.now() - startedMs;
            const goalMs = order.goalMs - elapsedMs;
            const updatedOrder = { ...order, goalMs, limitMs: order.limitMs - elapsedMs, made };
            if (updatedOrder.limitMs <= 0) {
                return { kind: "failed", failure: codes.failure(codes.codes.deadlineUnreachable, "no time left") };
            }
            const host = this.options.roles.findHost(order);
            const result = host === "self"
                ? await this.options.host.run(updatedOrder, signal, pieces => made.push(...pieces))
                : await this.runRemotely(host, updatedOrder, signal, pieces => made.push(...pieces));
            if (result !== "lost" && !isHandedOver(result)) {
                this.recordMaker(result, host);
                return result;
            }
            this.options.log.warn(
                { decision: "host-lost", attempt: order.attempt, host: host === "self" ? host : host.instance },
                "stage host was lost or handed the order over; retrying",
            );
            if (host !== "self") {
                await this.options.peers.waitForReconnect(host);
            }
        }
        return {
            kind: "failed",
            failure: codes.failure(codes.codes.noInstance, "no entry completed the stages", RETRY_AFTER_MS),
        };
    }

    /** Releases results through the host that made them, which tracks the memory they use. */
    release(handles: readonly string[]): void {
        const handlesByHost = new Map<hostRoles.GroupHost, string[]>();
        for (const handle of handles) {
            const host = this.hostByHandle.get(handle) ?? "self";
            this.hostByHandle.delete(handle);
            handlesByHost.set(host, [...handlesByHost.get(host) ?? [], handle]);
        }
        for (const [host, made] of handlesByHost) {
            if (host === "self" || !this.options.peers.send(host, { kind: "stages-release", handles: made })) {
                this.options.host.releaseResults(made);
            }
        }
    }

    private recordMaker(result: stageHosts.StageRunResult, host: hostRoles.GroupHost): void {
        if (result.kind === "completed") {
            result.handles.forEach(handle => this.hostByHandle.set(handle, host));
        }
    }

    /** Sends the order `content` to a host; `lost` when the host is lost before it reports the result. */
    private runRemotely(
        host: peerEntries.PeerEntry,
        content: stageOrders.StageOrder,
        signal: AbortSignal,
        onProgress: stageHosts.ProgressListener,
    ): Promise<stageHosts.StageRunResult | "lost"> {
        const { connection } = host;
        const order = this.nextOrderId++;
        return new Promise(resolve => {
            if (connection === undefined || !connection.send({ kind: "stages-run", order, content })) {
                resolve("lost");
                return;
            }
            const cancelWith = (result: stageHosts.StageRunResult): void => {
                connection.send({ kind: "stages-cancel", order, keepsResults: false });
                settle(result);
            };
            const cancel = (): void => cancelWith(stageHosts.CALLER_LEFT);
            const limitTimer = this.options.clock.schedule(
                content.limitMs + REPORT_MARGIN_MS,
                () => cancelWith(NOT_REPORTED),
            );
            const hostCheck = clocks.every(this.options.clock, HOST_CHECK_INTERVAL_MS, () => {
                if (!this.options.peers.livePeers.includes(host)) {
                    connection.send({ kind: "stages-cancel", order, keepsResults: true });
                    settle("lost");
                }
            });
            const settle = (result: stageHosts.StageRunResult | "lost"): void => {
                hostCheck.dispose();
                limitTimer.dispose();
                this.sentOrders.delete(order);
                signal.removeEventListener("abort", cancel);
                resolve(result);
            };
            this.sentOrders.set(order, { connection, settle, onProgress });
            signal.addEventListener("abort", cancel, { once: true });
        });
    }

    private handleMessage(frame: entryPeers.PeerFrame): void {
        const { message, connection } = frame;
        pattern.match(message)
            .with({ kind: "stages-run" }, run => this.servedOrders.serve(connection, run.order, run.content))
            .with(
                { kind: "stages-cancel" },
                cancel => this.servedOrders.cancel(connection, cancel.order, cancel.keepsResults),
            )
            .with({ kind: "stages-release" }, release => this.options.host.releaseResults(release.handles))
            .with({ kind: "stages-made" }, made => this.sentOrders.get(made.order)?.onProgress(made.pieces))
            .with(
                { kind: "stages-end" },
                end => this.sentOrders.get(end.order)?.settle(stageEndMessages.decodeResult(end)),
            )
            .otherwise(() => undefined);
    }

    private handleLostConnection(connection: peerConnections.PeerConnection): void {
        for (const order of this.sentOrders.values()) {
            if (order.connection === connection) {
                order.settle("lost");
            }
        }
        this.servedOrders.handleLostConnection(connection);
    }
}

/** Whether the host returned the order so that the next host runs it. */
function isHandedOver(result: stageHosts.StageRunResult): boolean {
    return result.kind === "failed" && result.failure.code === codes.codes.draining;
}
