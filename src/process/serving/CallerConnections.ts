/**
 * Bounds the connections of callers, so that descriptors are left for instances, other entries, the store and the log.
 * Near the bound, those that have been idle for longest make room for new ones; beyond it, new ones are closed at once,
 * with nothing read.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as clocks from "../../common/Clock";
import * as lineLimits from "../../common/LineLimit";
import * as logs from "../../common/Log";
import * as idleConnections from "./IdleConnections";

/** Share of the bound from which on idle connections make room for new ones. */
const REPLACEMENT_SHARE = 0.9;
const MAX_LINES = 5;
const LINE_INTERVAL_MS = 1_000;

/** What the bound needs from its server. */
export interface CallerConnectionsOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly server: http.Server;
    readonly idle: idleConnections.IdleConnections;
    readonly maxConnections: number;
}

/** The open connections of one server. */
export class CallerConnections {
    private openCount = 0;
    private readonly lines: lineLimits.LineLimit;
    /** Connections closed since the start, idle or new, since there were too many. */
    closedForRoom = 0;

    constructor(private readonly options: CallerConnectionsOptions) {
        const { clock, server, maxConnections } = options;
        this.lines = new lineLimits.LineLimit(clock, MAX_LINES, LINE_INTERVAL_MS);
        server.maxConnections = maxConnections;
        server.on("connection", (socket: net.Socket) => this.track(socket));
        server.on("request", (_, response) => response.on("close", () => this.makeRoom()));
        server.on("drop", () => this.logClosed("new"));
    }

    /** Number of open connections. */
    get count(): number {
        return this.openCount;
    }

    /** Largest number of open connections. */
    get max(): number {
        return this.options.maxConnections;
    }

    private track(socket: net.Socket): void {
        this.openCount++;
        socket.on("close", () => this.openCount--);
        this.makeRoom();
    }

    /** Closes an idle connection if there are nearly too many. */
    private makeRoom(): void {
        if (this.openCount > this.max * REPLACEMENT_SHARE && this.options.idle.closeLongestIdle()) {
            this.logClosed("idle");
        }
    }

    private logClosed(closed: "new" | "idle"): void {
        this.closedForRoom++;
        const omitted = this.lines.tryWrite();
        if (omitted !== undefined) {
            this.options.log.warn(
                { decision: "connection-closed", closed, connections: this.openCount, max: this.max, omitted },
                "too many connections of callers are open",
            );
        }
    }
}
