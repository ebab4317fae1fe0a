/**
 * Makers of stages' results, modelled: one call at a time, a bounded memory for results that lapse by themselves, and
 * results that a call reads from other makers when its turn comes. Made for replays of loads on a manual clock.
 */
import * as clocks from "../src/common/Clock";
import * as randoms from "../src/common/Random";
import * as routing from "../src/common/Routing";
import * as routingPorts from "../src/common/RoutingPorts";
import * as batching from "../src/process/routing/StageBatching";

/** Time of a message one way, in milliseconds. */
const MESSAGE_MS = 1;
/** Time after which a caller gives an answer up, in milliseconds. */
const CALL_TIMEOUT_MS = 10_000;
/** Share of pieces that a maker fails. */
const ERROR_SHARE = 0.001;

/** A piece as it reaches its maker. */
export interface WorldPiece {
    readonly inputs: readonly string[];
    readonly bytes: number;
    /** Time of the piece over the published one. */
    readonly workFactor: number;
}

type PieceEnds = readonly routingPorts.StagePieceOutcome[];

interface Maker {
    readonly instance: batching.StageInstance;
    readonly capacity: routing.StageCapacity;
    /** Results by handle: their bytes, and when they lapse. */
    readonly held: Map<string, { readonly bytes: number; lapsesAtMs: number }>;
    isDown: boolean;
    /** Share of its answers that get lost. */
    lostShare: number;
    /** Calls are worked on one after the other. */
    freeAtMs: number;
    starts: number;
    busyMs: number;
}

/** All makers of all services. */
export class StageWorld {
    private readonly makers = new Map<string, Maker>();
    private nextHandle = 1;
    /** Pieces that had no room, and pieces whose inputs were gone. */
    /** Bytes that makers read from other failure domains. */
    farBytes = 0;
    readonly failures = { "no-room": 0, "input-gone": 0, error: 0 };

    constructor(private readonly clock: clocks.Clock, private readonly random: randoms.Random) {}

    /** Adds the makers of a service, each in a failure domain of its own. */
    add(service: string, count: number, capacity: routing.StageCapacity): void {
        for (let index = 0; index < count; index++) {
            const id = `${service}-${index}`;
            const instance = { id, address: id, failureDomain: `domain-${index}` };
            const held = new Map<string, { readonly bytes: number; lapsesAtMs: number }>();
            this.makers.set(id, {
                instance,
                capacity,
                held,
                isDown: false,
                lostShare: 0,
                freeAtMs: 0,
                starts: 0,
                busyMs: 0,
            });
        }
    }

    /** Makers of a service that run. */
    instances(service: string): readonly batching.StageInstance[] {
        return [...this.makers.values()]
            .filter(maker => !maker.isDown && maker.instance.id.startsWith(`${service}-`))
            .map(maker => maker.instance);
    }

    /** Share of the time since the start that the makers of a service worked. */
    busyShare(service: string, sinceMs: number): number {
        const makers = [...this.makers.values()].filter(maker => maker.instance.id.startsWith(`${service}-`));
        const busyMs = makers.reduce((sum, maker) => sum + maker.busyMs, 0);
        return busyMs / makers.length / (this.clock.now() - sinceMs);
    }

    /** Loses a maker with its results for a time. */
    crash(id: string, downMs: number): void {
        const maker = this.makers.get(id)!;
        maker.isDown = true;
        maker.starts++;
        maker.held.clear();
        this.clock.schedule(downMs, () => {
            maker.isDown = false;
            maker.freeAtMs = 0;
        });
    }

    /** Loses a share of a maker's answers for a time; the calls are made all the same. */
    loseAnswers(id: string, share: number, forMs: number): void {
        const maker = this.makers.get(id)!;
        maker.lostShare = share;
        this.clock.schedule(forMs, () => maker.lostShare = 0);
    }

    /** Runs a call; `onEnd` gets undefined when it brought no answer. */
    run(id: string, pieces: readonly WorldPiece[], onEnd: (ends: PieceEnds | undefined) => void): void {
        const maker = this.makers.get(id)!;
        const nowMs = this.clock.now();
        const turnMs = Math.max(nowMs + MESSAGE_MS, maker.freeAtMs);
        maker.freeAtMs = turnMs + this.workMs(maker, pieces);
        const { starts } = maker;
        this.clock.schedule(turnMs - nowMs, () => this.begin(maker, starts, pieces, onEnd));
    }

    /** Gives results back to their makers. */
    free(handles: readonly string[]): void {
        this.clock.schedule(MESSAGE_MS, () => {
            handles.forEach(handle => this.makers.get(makerOf(handle))?.held.delete(handle));
        });
    }

    private begin(
        maker: Maker,
        starts: number,
        pieces: readonly WorldPiece[],
        onEnd: (ends: PieceEnds | undefined) => void,
    ): void {
        if (maker.isDown || maker.starts !== starts) {
            this.clock.schedule(MESSAGE_MS, () => onEnd(undefined));
            return;
        }
        const ends = pieces.map(piece => this.take(maker, piece));
        const made = pieces.filter((_, index) => "handle" in ends[index]!);
        const workMs = this.workMs(maker, made);
        maker.freeAtMs = this.clock.now() + workMs;
        maker.busyMs += workMs;
        this.clock.schedule(workMs + MESSAGE_MS, () => {
            const isLost = maker.isDown || maker.starts !== starts;
            if (this.random() < maker.lostShare) {
                this.clock.schedule(CALL_TIMEOUT_MS, () => onEnd(undefined));
                return;
            }
            const lapsesAtMs = this.clock.now() + maker.capacity.resultLifetimeMs;
            ends.forEach(end => "handle" in end && this.extend(maker, end.handle, lapsesAtMs));
            onEnd(isLost ? undefined : ends);
        });
    }

    /** Takes one piece in when its call's turn comes. */
    private take(maker: Maker, piece: WorldPiece): routingPorts.StagePieceOutcome {
        if (piece.inputs.some(handle => !this.holds(handle))) {
            return this.fail("input-gone");
        }
        for (const handle of piece.inputs) {
            const from = this.makers.get(makerOf(handle))!;
            const isFar = from.instance.failureDomain !== maker.instance.failureDomain;
            this.farBytes += isFar ? from.held.get(handle)!.bytes : 0;
        }
        if (this.usedBytes(maker) + piece.bytes > maker.capacity.resultMemoryBytes) {
            return this.fail("no-room");
        }
        if (this.random() < ERROR_SHARE) {
            return this.fail("error");
        }
        const handle = `${maker.instance.id}/${this.nextHandle++}`;
        maker.held.set(handle, { bytes: piece.bytes, lapsesAtMs: Infinity });
        return { handle };
    }

    private fail(failure: "no-room" | "input-gone" | "error"): routingPorts.StagePieceOutcome {
        this.failures[failure]++;
        return { failure };
    }

    private extend(maker: Maker, handle: string, lapsesAtMs: number): void {
        const result = maker.held.get(handle);
        if (result !== undefined) {
            result.lapsesAtMs = lapsesAtMs;
        }
    }

    private holds(handle: string): boolean {
        const result = this.makers.get(makerOf(handle))?.held.get(handle);
        return result !== undefined && result.lapsesAtMs > this.clock.now();
    }

    private usedBytes(maker: Maker): number {
        let bytes = 0;
        for (const [handle, result] of maker.held) {
            if (result.lapsesAtMs <= this.clock.now()) {
                maker.held.delete(handle);
            }
            else {
                bytes += result.bytes;
            }
        }
        return bytes;
    }

    private workMs(maker: Maker, pieces: readonly WorldPiece[]): number {
        const { callMs, pieceMs } = maker.capacity;
        return callMs + pieces.reduce((sum, piece) => sum + pieceMs * piece.workFactor, 0);
    }
}

function makerOf(handle: string): string {
    return handle.slice(0, handle.indexOf("/"));
}
