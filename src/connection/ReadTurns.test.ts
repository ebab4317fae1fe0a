import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as accounts from "./ReadAccount";
import * as readTurns from "./ReadTurns";

/** Pieces after which the cost of a peer's bytes is known. */
const WARM_UP_PIECES = 6;

/** A call of less than a second has some reads that may wait. */
const MAX_WAIT_MS = 50;
const ANSWER_INTERVAL_MS = 20;
const OBSERVED_MS = 10_000;

/** An event loop that consists of turns, with a clock that advances by the work that is done. */
class Loop {
    private deferred: (() => void)[] = [];
    readonly clock = new clocks.ManualClock(0);
    readonly turns = new readTurns.ReadTurns(this.clock, callback => this.deferred.push(callback));
    longestTurnMs = 0;

    /** Runs one turn: `poll` reads what has arrived, then come the deferred callbacks. */
    turn(poll: () => void): void {
        const startedMs = this.clock.now();
        poll();
        this.deferred.splice(0).forEach(callback => callback());
        this.longestTurnMs = Math.max(this.longestTurnMs, this.clock.now() - startedMs);
    }
}

/** A peer that always has bytes ready, of which each kilobyte takes `msPerKilobyte`. */
class EndlessSource implements readTurns.PieceSource {
    readonly account: accounts.ReadAccount;
    readonly heldBytes = 64 * 1024;
    lastBegunMs = -Infinity;
    pieces = 0;
    isClosed = false;

    constructor(private readonly loop: Loop, name: string, private readonly msPerKilobyte: number) {
        this.account = new accounts.ReadAccount({ kind: "instance", address: name });
    }

    readPiece(): void {
        this.pieces++;
        this.loop.turns.begin(this, this.account.limitBytes);
        this.loop.clock.skip(this.account.limitBytes / 1024 * this.msPerKilobyte);
        this.loop.turns.enqueue(this);
    }

    close(): void {
        this.isClosed = true;
    }
}

/** A connection that gets an answer now and then, each of which takes `tookMs`. */
class SoundSource implements readTurns.PieceSource {
    readonly account = new accounts.ReadAccount({ kind: "instance", address: "sound" });
    readonly heldBytes = 10_000;
    lastBegunMs = -Infinity;
    private arrivedMs = 0;
    reads = 0;
    longestWaitMs = 0;

    constructor(private readonly loop: Loop, private readonly tookMs: number) {}

    receive(arrivedMs: number): void {
        this.arrivedMs = arrivedMs;
        if (this.loop.turns.mayReadNow(this.account, this.heldBytes)) {
            this.readPiece();
        }
        else {
            this.loop.turns.enqueue(this);
        }
    }

    readPiece(): void {
        this.loop.turns.begin(this, this.heldBytes);
        this.loop.clock.skip(this.tookMs);
        this.reads++;
        this.longestWaitMs = Math.max(this.longestWaitMs, this.loop.clock.now() - this.arrivedMs);
    }

    close(): void {}
}

vitest.describe("turns with peers that always have bytes ready", () => {
    vitest.it.each([
        { name: "one with chunks of one byte", endless: 1, msPerKilobyte: 0.2 },
        { name: "12 with chunks of one byte", endless: 12, msPerKilobyte: 0.2 },
        { name: "100 with chunks of one byte", endless: 100, msPerKilobyte: 0.2 },
        { name: "30 with pipelined requests", endless: 30, msPerKilobyte: 1.5 },
        { name: "200 with pipelined requests", endless: 200, msPerKilobyte: 1.5 },
    ])("are short beside $name, and sound reads hardly wait", ({ endless, msPerKilobyte }) => {
        const loop = new Loop();
        const sources = Array.from({ length: endless }, () => new EndlessSource(loop, "faulty", msPerKilobyte));
        loop.turn(() => sources.forEach(source => loop.turns.enqueue(source)));
        while (sources.some(({ pieces }) => pieces < WARM_UP_PIECES)) {
            loop.turn(() => undefined);
        }
        loop.longestTurnMs = 0;
        const sound = new SoundSource(loop, 0.5);
        const startMs = loop.clock.now();
        for (let dueMs = startMs; loop.clock.now() < startMs + OBSERVED_MS;) {
            loop.turn(() => {
                if (loop.clock.now() >= dueMs) {
                    sound.receive(dueMs);
                    dueMs += ANSWER_INTERVAL_MS;
                }
            });
        }
        // A turn ends with the piece during which its 4 ms were used up.
        vitest.expect(loop.longestTurnMs).toBeLessThan(10);
        vitest.expect(sound.longestWaitMs).toBeLessThan(MAX_WAIT_MS);
        vitest.expect(sound.reads).toBeGreaterThan(OBSERVED_MS / (ANSWER_INTERVAL_MS + MAX_WAIT_MS));
        vitest.expect(loop.turns.costs.worst(loop.clock.now())?.peer.address).toBe("faulty");
        vitest.expect(Math.min(...sources.map(({ pieces }) => pieces))).toBeGreaterThan(0);
    });

    vitest.it.each([
        { name: "that had nothing to process", idleMs: [0, 50, 0], costsMs: [0, 0, 0], order: [1, 0, 2] },
        { name: "that have cost less of late", idleMs: [0, 0, 0], costsMs: [30, 10, 20], order: [1, 2, 0] },
        { name: "that came earlier, of those that are equal", idleMs: [0, 0, 0], costsMs: [5, 5, 5], order: [0, 1, 2] },
    ])("go first to connections $name", ({ idleMs, costsMs, order }) => {
        const loop = new Loop();
        const read: number[] = [];
        loop.clock.skip(1_000);
        const sources = costsMs.map((costMs, i) => {
            const source = new EndlessSource(loop, `peer-${i}`, 0);
            source.account.record(loop.clock.now(), 10_000, costMs);
            source.lastBegunMs = loop.clock.now() - idleMs[i]!;
            source.readPiece = () => void read.push(i);
            return source;
        });
        loop.turn(() => sources.forEach(source => loop.turns.enqueue(source)));
        vitest.expect(read).toEqual(order);
    });
});

vitest.describe("the bytes held", () => {
    vitest.it("are bounded: the costliest connection is closed, and named", () => {
        const loop = new Loop();
        const closed: readTurns.ClosedSource[] = [];
        loop.turns.onClose(event => closed.push(event));
        const sources = Array.from({ length: 600 }, (_, i) => new EndlessSource(loop, `peer-${i}`, 1));
        sources[77]!.account.record(loop.clock.now(), 65_536, 50);
        for (const source of sources) {
            loop.turns.hold(source);
        }
        vitest.expect(loop.turns.heldBytes).toBeLessThanOrEqual(32 * 1024 * 1024);
        vitest.expect(closed).toHaveLength(600 - 512);
        vitest.expect(closed[0]!.peer.address).toBe("peer-77");
        vitest.expect(sources[77]!.isClosed).toBe(true);
        vitest.expect(loop.turns.closedConnections).toBe(closed.length);
        sources.forEach(source => loop.turns.release(source));
        vitest.expect(loop.turns.heldBytes).toBe(0);
    });
});
