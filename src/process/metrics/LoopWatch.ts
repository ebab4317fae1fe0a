/**
 * Reports late turns of the event loop, and the peers whose bytes take most of its time.
 */
import * as perfHooks from "node:perf_hooks";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as lineLimits from "../../common/LineLimit";
import * as logs from "../../common/Log";
import * as peerCosts from "../../connection/PeerCosts";
import * as readTurns from "../../connection/ReadTurns";

const LINE_INTERVAL_MS = 5_000;
const CHECK_INTERVAL_MS = 1_000;
/** A peer whose bytes take more than this share of the time is reported. */
const COSTLY_SHARE = 0.5;
/** Interval at which the delay of the event loop is sampled; part of each sample. */
const SAMPLE_INTERVAL_MS = 20;
const NS_PER_MS = 1e6;
const MS_PER_SECOND = 1_000;

/** What the watch needs from its process. */
export interface LoopWatchOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    /** Fires with the length in milliseconds of a period in which the event loop ran nothing. */
    readonly onPause: emitters.Event<number>;
    readonly turns: readTurns.ReadTurns;
}

/** Watches the event loop of one process. */
export class LoopWatch implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly delays = perfHooks.monitorEventLoopDelay({ resolution: SAMPLE_INTERVAL_MS });
    private readonly lateLines: lineLimits.LineLimit;
    private readonly costlyLines: lineLimits.LineLimit;
    private readonly closeLines: lineLimits.LineLimit;

    constructor(private readonly options: LoopWatchOptions) {
        const { clock, onPause, turns } = options;
        this.lateLines = new lineLimits.LineLimit(clock, 1, LINE_INTERVAL_MS);
        this.costlyLines = new lineLimits.LineLimit(clock, 1, LINE_INTERVAL_MS);
        this.closeLines = new lineLimits.LineLimit(clock, 1, LINE_INTERVAL_MS);
        this.disposables.add(onPause(lateMs => this.logLate(lateMs)));
        this.disposables.add(turns.onClose(closed => this.logClosed(closed)));
        this.disposables.add(clocks.every(clock, CHECK_INTERVAL_MS, () => this.checkCosts()));
        this.delays.enable();
    }

    /** Bytes that have been read and wait for a later turn. */
    get heldBytes(): number {
        return this.options.turns.heldBytes;
    }

    /** Pieces that waited for a later turn, since the start. */
    get delayedPieces(): number {
        return this.options.turns.delayedPieces;
    }

    /** Connections closed since the start because too many bytes waited. */
    get closedConnections(): number {
        return this.options.turns.closedConnections;
    }

    /** Share of the time that the costliest peer's bytes take. */
    get largestShare(): number {
        return (this.findWorst()?.recentMs ?? 0) / MS_PER_SECOND;
    }

    /** The longest delay of the event loop since the last call, in seconds. */
    takeDelaySeconds(): number {
        const maxMs = this.delays.max / NS_PER_MS;
        this.delays.reset();
        return Math.max(0, maxMs - SAMPLE_INTERVAL_MS) / MS_PER_SECOND;
    }

    dispose(): void {
        this.delays.disable();
        this.disposables.dispose();
    }

    private findWorst(): peerCosts.PeerCost | undefined {
        return this.options.turns.costs.worst(this.options.clock.now());
    }

    private logLate(lateMs: number): void {
        const omitted = this.lateLines.tryWrite();
        if (omitted !== undefined) {
            const fields = {
                decision: "loop-late",
                lateMs: Math.round(lateMs),
                ...describe(this.findWorst()),
                omitted,
            };
            this.options.log.warn(fields, "the event loop was late; the peer named has cost most of late");
        }
    }

    private checkCosts(): void {
        const worst = this.findWorst();
        if (worst === undefined || worst.recentMs < COSTLY_SHARE * MS_PER_SECOND) {
            return;
        }
        const omitted = this.costlyLines.tryWrite();
        if (omitted !== undefined) {
            const fields = { decision: "costly-peer", ...describe(worst), omitted };
            this.options.log.warn(fields, "the bytes of one peer take much of the process's time");
        }
    }

    private logClosed({ peer, heldBytes, totalBytes }: readTurns.ClosedSource): void {
        const omitted = this.closeLines.tryWrite();
        if (omitted !== undefined) {
            const fields = {
                decision: "unread-closed",
                kind: peer.kind,
                peer: peer.address,
                heldBytes,
                totalBytes,
                omitted,
            };
            this.options.log.warn(fields, "too many bytes wait to be processed; a costly connection is closed");
        }
    }
}

/** `costMs`: time of the event loop in about the last second. */
function describe(cost: peerCosts.PeerCost | undefined): Record<string, unknown> {
    return cost === undefined
        ? {}
        : { kind: cost.peer.kind, peer: cost.peer.address, costMs: Math.round(cost.recentMs) };
}
