/**
 * Shares the turns of the event loop among connections. Bytes that arrive are processed at once as long as that is
 * cheap; pieces of costly connections wait for later turns, in which timers and other reads come between. They come in
 * the order of their arrival, those of connections that always have bytes ready behind later ones.
 */
import * as clocks from "../common/Clock";
import * as emitters from "../common/Emitter";
import * as peerCosts from "./PeerCosts";
import * as accounts from "./ReadAccount";
import * as paces from "./ReadPace";

/** Time that costly pieces may take in one turn of the event loop, all together. */
const TURN_BUDGET_MS = 4;
/** Connections that cost less a second are read at once in any turn. */
const CHEAP_MS_PER_SECOND = 20;
/** Shorter reads are processed at once in any turn. */
const SMALL_READ_BYTES = 4 * 1024;
/** A connection whose last piece was longer ago had nothing to process meanwhile, and comes before those that had. */
const IDLE_MS = 10;
/** Connections that always have bytes ready wait behind those that come within this time, */
const BACKLOG_HANDICAP_MS = 300;
/** and within the time that they have cost in the last second, up to this limit. */
const MAX_COST_HANDICAP_MS = 500;
/** Pieces that have taken less together follow each other at once. */
const CONTINUATION_MS = 1;
/** Largest number of pieces that waited and are processed in one turn. */
const MAX_PIECES_PER_TURN = 64;
/** Bytes that may be held for later turns, of all connections. */
const MAX_HELD_BYTES = 32 * 1024 * 1024;
/** Accounts kept of peers that this process connects to. */
const MAX_ACCOUNTS = 1_024;

/** A connection with bytes for later turns. */
export interface PieceSource {
    readonly account: accounts.ReadAccount;
    /** Bytes that it holds for later turns. */
    readonly heldBytes: number;
    /** When its last piece was begun; set by `begin`. */
    lastBegunMs: number;
    /** Processes its next piece. */
    readPiece(): void;
    /** Closes the connection. */
    close(): void;
}

/** A connection closed because too many bytes were held. */
export interface ClosedSource {
    readonly peer: accounts.Peer;
    readonly heldBytes: number;
    /** Bytes that were held of all connections. */
    readonly totalBytes: number;
}

interface RunningPiece {
    readonly account: accounts.ReadAccount;
    bytes: number;
    readonly startedMs: number;
}

/** The turns of one process. */
export class ReadTurns {
    /** Costs by peer. */
    readonly costs = new peerCosts.PeerCosts();
    private readonly accountsByPeer = new Map<string, accounts.ReadAccount>();
    /** Connections that wait for a turn, with the time from which on they come first. */
    private readonly waiting = new Map<PieceSource, number>();
    /** Connections that hold bytes, whether they wait for a turn or for their reader, and how many. */
    private readonly holders = new Map<PieceSource, number>();
    private readonly closeEmitter = new emitters.Emitter<ClosedSource>();
    /** The piece last begun, whose cost isn't known yet. */
    private running: RunningPiece | undefined;
    /** Time spent on pieces in this turn. */
    private spentMs = 0;
    /** Steps of the next turn. */
    private queuedSteps = 0;
    /** Steps of this turn that are still to come. */
    private stepsLeft = 0;
    /** The connections of this turn, in reverse order. */
    private order: PieceSource[] = [];

    /** Fires when a connection is closed because too many bytes are held. */
    readonly onClose = this.closeEmitter.event;
    /** Bytes held for later turns. */
    heldBytes = 0;
    /** Pieces since the start that waited for a later turn. */
    delayedPieces = 0;
    /** Connections closed since the start because too many bytes were held. */
    closedConnections = 0;

    constructor(
        private readonly clock: Pick<clocks.Clock, "now">,
        /** Calls back in the next turn, in the order of the calls, with all that a callback causes before the next one. */
        private readonly defer: (callback: () => void) => void = setImmediate,
    ) {}

    /** Number of connections that wait for a turn. */
    get waitingCount(): number {
        return this.waiting.size;
    }

    /** The account of a peer that this process connects to, which all connections to it share. */
    accountOf(peer: accounts.Peer): accounts.ReadAccount {
        const key = `${peer.kind} ${peer.address}`;
        const account = this.accountsByPeer.get(key) ?? new accounts.ReadAccount(peer);
        // The account that was asked for last comes last.
        this.accountsByPeer.delete(key);
        this.accountsByPeer.set(key, account);
        if (this.accountsByPeer.size > MAX_ACCOUNTS) {
            this.accountsByPeer.delete(this.accountsByPeer.keys().next().value!);
        }
        return account;
    }

    /** Whether `bytes` that have just arrived may be processed in this turn, or at least their first piece. */
    mayReadNow(account: accounts.ReadAccount, bytes: number): boolean {
        if (bytes <= SMALL_READ_BYTES && bytes <= account.limitBytes) {
            return true;
        }
        const nowMs = this.clock.now();
        const runningMs = this.running === undefined ? 0 : nowMs - this.running.startedMs;
        return this.spentMs + runningMs < TURN_BUDGET_MS || account.recentMs(nowMs) < CHEAP_MS_PER_SECOND;
    }

    /** Whether a piece that was begun and has been passed on has taken so little that more may follow at once. */
    mayContinue({ account, lastBegunMs }: PieceSource): boolean {
        return account.limitBytes >= paces.FIRST_PIECE_BYTES && this.clock.now() - lastBegunMs < CONTINUATION_MS;
    }

    /** Adds bytes to the piece that is measured. */
    extend(bytes: number): void {
        if (this.running !== undefined) {
            this.running.bytes += bytes;
        }
    }

    /** Measures a piece from now until the next one or the next turn. */
    begin(source: PieceSource, bytes: number): void {
        this.settle();
        const startedMs = this.clock.now();
        source.lastBegunMs = startedMs;
        this.running = { account: source.account, bytes, startedMs };
        if (bytes > SMALL_READ_BYTES) {
            this.queueSteps(1);
        }
    }

    /** Ends the measurement of a piece that was passed on; one of a small read lasts no longer. */
    end(): void {
        if (this.running !== undefined && this.running.bytes <= SMALL_READ_BYTES) {
            this.settle();
        }
    }

    /** Lets a connection process its next piece in a later turn. */
    enqueue(source: PieceSource): void {
        if (!this.waiting.has(source)) {
            const nowMs = this.clock.now();
            this.waiting.set(source, nowMs + findHandicapMs(source, nowMs));
            this.delayedPieces++;
            this.queueSteps(this.waiting.size + 1);
        }
    }

    /** Counts the bytes that a connection holds; at the limit of all, the one that cost most of late is closed. */
    hold(source: PieceSource): void {
        this.heldBytes += source.heldBytes - (this.holders.get(source) ?? 0);
        this.holders.set(source, source.heldBytes);
        if (this.heldBytes > MAX_HELD_BYTES) {
            this.closeCostliest();
        }
    }

    /** Forgets a connection that holds nothing any more. */
    release(source: PieceSource): void {
        this.heldBytes -= this.holders.get(source) ?? 0;
        this.holders.delete(source);
        this.waiting.delete(source);
    }

    private closeCostliest(): void {
        const nowMs = this.clock.now();
        const totalBytes = this.heldBytes;
        let costliest: PieceSource | undefined;
        for (const holder of this.holders.keys()) {
            if (costliest === undefined || isCostlier(holder, costliest, nowMs)) {
                costliest = holder;
            }
        }
        if (costliest !== undefined) {
            const { account: { peer }, heldBytes } = costliest;
            this.closedConnections++;
            this.release(costliest);
            costliest.close();
            this.closeEmitter.fire({ peer, heldBytes, totalBytes });
        }
    }

    private settle(): void {
        if (this.running === undefined) {
            return;
        }
        const { account, bytes, startedMs } = this.running;
        this.running = undefined;
        const nowMs = this.clock.now();
        const tookMs = nowMs - startedMs;
        this.spentMs += tookMs;
        const costMs = account.record(nowMs, bytes, tookMs);
        if (costMs > 0) {
            this.costs.record(account.peer, nowMs, costMs);
        }
    }

    /** Each piece has a step of its own, so that what it causes is done and measured before the next; the last one settles. */
    private queueSteps(count: number): void {
        const wanted = Math.min(count, MAX_PIECES_PER_TURN + 1);
        while (this.queuedSteps < wanted) {
            this.queuedSteps++;
            this.defer(this.step);
        }
    }

    private readonly step = (): void => {
        this.settle();
        if (this.stepsLeft === 0) {
            this.beginTurn();
        }
        this.stepsLeft--;
        if (this.stepsLeft > 0) {
            this.readNext();
        }
        else if (this.waiting.size > 0) {
            this.queueSteps(this.waiting.size + 1);
        }
    };

    private beginTurn(): void {
        this.stepsLeft = this.queuedSteps;
        this.queuedSteps = 0;
        this.spentMs = 0;
        this.order = [...this.waiting.keys()].reverse();
        if (this.order.length > 1) {
            this.order.sort((a, b) => this.waiting.get(b)! - this.waiting.get(a)!);
        }
    }

    private readNext(): void {
        while (this.order.length > 0 && this.spentMs < TURN_BUDGET_MS) {
            const source = this.order.pop()!;
            if (this.waiting.delete(source)) {
                source.readPiece();
                return;
            }
        }
    }
}

function findHandicapMs({ account, lastBegunMs }: PieceSource, nowMs: number): number {
    const isIdle = nowMs - lastBegunMs >= IDLE_MS;
    return isIdle ? 0 : BACKLOG_HANDICAP_MS + Math.min(account.recentMs(nowMs), MAX_COST_HANDICAP_MS);
}

function isCostlier(source: PieceSource, other: PieceSource, nowMs: number): boolean {
    const differenceMs = source.account.recentMs(nowMs) - other.account.recentMs(nowMs);
    return differenceMs === 0 ? source.heldBytes > other.heldBytes : differenceMs > 0;
}

/** The turns of this process, which has one event loop. */
export const processTurns = new ReadTurns(clocks.systemClock);
