/**
 * Has the stages of calls made: by one entry for all of them, so that pieces of different calls share calls on the
 * instances. Which entry that is follows from the entries present; when it is lost, the next one takes over, and
 * pieces are made again. No promise hangs on there being only one.
 */
import * as pattern from "ts-pattern";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as stageOrders from "../../common/StageOrder";
import * as peerConnections from "../../connection/PeerConnection";
import * as peers from "./EntryPeers";
import * as choices from "./HostChoice";
import * as hosts from "./StageHost";

/** Hosts that one order is given to at most. */
const MAX_HOSTS = 5;
/** When to come back after all hosts were lost. */
const RETRY_AFTER_MS = 500;
/** Time between two looks at whether the host is still there. */
const WATCH_MS = 200;

/** What the client needs from its process. */
export interface StageClientOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly instance: string;
    readonly isDraining: () => boolean;
    readonly peers: peers.EntryPeers;
    readonly host: hosts.StageHost;
}

interface RemoteOrder {
    readonly connection: peerConnections.PeerConnection;
    readonly end: (end: hosts.StageEnd | "lost") => void;
    readonly onProgress: hosts.ProgressListener;
}

/** Gives orders to the host, and serves orders of other entries when this entry is the host. */
export class StageClient implements clocks.Disposable {
    private readonly sent = new Map<number, RemoteOrder>();
    private readonly served = new Map<peerConnections.PeerConnection, Map<number, AbortController>>();
    private readonly subscriptions = new emitters.DisposableStore();
    private nextOrder = 1;
    private hostingSinceMs: number | undefined;

    constructor(private readonly options: StageClientOptions) {
        this.subscriptions.add(clocks.every(options.clock, WATCH_MS, () => this.watchOwnPart()));
        this.subscriptions.add(options.peers.onFrame(frame => this.take(frame)));
        this.subscriptions.add(options.peers.onDisconnect(connection => this.lose(connection)));
    }

    /** The entry that makes stages now, by its name. */
    get hostName(): string {
        return this.pickHost()?.instance ?? this.options.instance;
    }

    /** How long this entry has made the stages of all entries; undefined when it doesn't. */
    get hostingMs(): number | undefined {
        return this.hostingSinceMs === undefined ? undefined : this.options.clock.now() - this.hostingSinceMs;
    }

    dispose(): void {
        this.subscriptions.dispose();
    }

    /** Has the stages of a call made. */
    async run(order: stageOrders.StageOrder, signal: AbortSignal): Promise<hosts.StageEnd> {
        const startedMs = this.options.clock.now();
        const made: stageOrders.MadePiece[] = [];
        for (let tries = 0; tries < MAX_HOSTS; tries++) {
            const elapsedMs = this.options.clock.now() - startedMs;
            const goalMs = order.goalMs - elapsedMs;
            const left = { ...order, goalMs, limitMs: order.limitMs - elapsedMs, made };
            if (left.limitMs <= 0) {
                return { kind: "failed", failure: codes.failure(codes.codes.deadlineUnreachable, "no time left") };
            }
            const host = this.pickHost();
            const end = host === undefined
                ? await this.options.host.run(left, signal, pieces => made.push(...pieces))
                : await this.ask(host, left, signal, pieces => made.push(...pieces));
            if (end !== "lost" && !isMoved(end)) {
                return end;
            }
            this.options.log.warn(
                { decision: "host-lost", attempt: order.attempt, host: host?.instance },
                "asking again",
            );
        }
        return {
            kind: "failed",
            failure: codes.failure(codes.codes.noInstance, "no entry made the stages", RETRY_AFTER_MS),
        };
    }

    /** Gives results back through the host, which knows how much room they take. */
    release(handles: readonly string[]): void {
        if (handles.length === 0) {
            return;
        }
        const host = this.pickHost();
        if (host === undefined || !this.options.peers.send(host, { kind: "stages-release", handles: [...handles] })) {
            this.options.host.releaseResults(handles);
        }
    }

    /** Gives the orders that this entry makes to the next host, if there is one. */
    handOver(): void {
        this.hostingSinceMs = undefined;
        if (this.pickHost() !== undefined) {
            this.options.host.handOver();
        }
    }

    /** Says that this entry is the host once it makes stages, and hands over when another entry has been it longer. */
    private watchOwnPart(): void {
        const { clock, log, host, peers: group, isDraining } = this.options;
        const other = this.pickHost();
        if (other === undefined && host.size > 0 && !isDraining() && this.hostingSinceMs === undefined) {
            this.hostingSinceMs = clock.now();
            log.info({ decision: "host", host: this.options.instance }, "makes the stages of all entries");
            group.broadcastPresence();
        }
        if (other !== undefined && this.hostingSinceMs !== undefined) {
            log.info({ decision: "host", host: other.instance }, "another entry makes the stages");
            this.handOver();
        }
    }

    /** The present entry that makes stages; undefined when that is this one. */
    private pickHost(): peers.PeerEntry | undefined {
        const { instance, isDraining, peers: group } = this.options;
        const others = group.livePeers.filter(peer => !peer.isDraining);
        const candidates = others.map(peer => ({
            instance: peer.instance,
            startedMs: peer.startedMs ?? Infinity,
            hostingSinceMs: peer.hostingSinceMs,
            cores: peer.cores,
        }));
        if (!isDraining()) {
            const { hostingSinceMs } = this;
            candidates.push({ instance, startedMs: group.startedMs, hostingSinceMs, cores: group.cores });
        }
        const host = choices.chooseHost(candidates);
        return others.find(peer => peer.instance === host);
    }

    private ask(
        host: peers.PeerEntry,
        content: stageOrders.StageOrder,
        signal: AbortSignal,
        onProgress: hosts.ProgressListener,
    ): Promise<hosts.StageEnd | "lost"> {
        const { connection } = host;
        const order = this.nextOrder++;
        return new Promise(resolve => {
            if (connection === undefined || !connection.send({ kind: "stages-run", order, content })) {
                resolve("lost");
                return;
            }
            const cancel = (): void => {
                connection.send({ kind: "stages-cancel", order });
                end({ kind: "failed", failure: codes.failure(codes.codes.cancelled, "the caller left") });
            };
            const watch = clocks.every(this.options.clock, WATCH_MS, () => {
                if (!this.options.peers.livePeers.includes(host)) {
                    connection.send({ kind: "stages-cancel", order });
                    end("lost");
                }
            });
            const end = (result: hosts.StageEnd | "lost"): void => {
                watch.dispose();
                this.sent.delete(order);
                signal.removeEventListener("abort", cancel);
                resolve(result);
            };
            this.sent.set(order, { connection, end, onProgress });
            signal.addEventListener("abort", cancel, { once: true });
        });
    }

    private take(frame: peers.PeerFrame): void {
        const { message, connection } = frame;
        pattern.match(message)
            .with({ kind: "stages-run" }, run => void this.serve(connection, run.order, run.content))
            .with({ kind: "stages-cancel" }, cancel => this.served.get(connection)?.get(cancel.order)?.abort())
            .with({ kind: "stages-release" }, release => this.options.host.releaseResults(release.handles))
            .with({ kind: "stages-made" }, made => this.sent.get(made.order)?.onProgress(made.pieces))
            .with({ kind: "stages-end" }, end => this.sent.get(end.order)?.end(readEnd(end)))
            .otherwise(() => undefined);
    }

    private async serve(
        connection: peerConnections.PeerConnection,
        order: number,
        content: stageOrders.StageOrder,
    ): Promise<void> {
        const cancel = new AbortController();
        const orders = this.served.get(connection) ?? new Map<number, AbortController>();
        this.served.set(connection, orders.set(order, cancel));
        const end = await this.options.host.run(content, cancel.signal, made => {
            connection.send({ kind: "stages-made", order, pieces: [...made] });
        });
        orders.delete(order);
        connection.send({
            kind: "stages-end",
            order,
            ...(end.kind === "made" ? { handles: [...end.handles] } : {
                code: end.failure.code.code,
                detail: end.failure.detail,
                retryAfterMs: end.failure.retryAfterMs,
            }),
        });
    }

    private lose(connection: peerConnections.PeerConnection): void {
        for (const order of this.sent.values()) {
            if (order.connection === connection) {
                order.end("lost");
            }
        }
        this.served.get(connection)?.forEach(cancel => cancel.abort());
        this.served.delete(connection);
    }
}

/** Whether the host has given the order up since it is stopping. */
function isMoved(end: hosts.StageEnd): boolean {
    return end.kind === "failed" && end.failure.code === codes.codes.draining;
}

function readEnd(message: Extract<messages.Message, { kind: "stages-end" }>): hosts.StageEnd {
    if (message.handles !== undefined) {
        return { kind: "made", handles: message.handles };
    }
    const code = codes.findCode(message.code ?? -1) ?? codes.codes.overloaded;
    return { kind: "failed", failure: codes.failure(code, message.detail ?? "", message.retryAfterMs) };
}
