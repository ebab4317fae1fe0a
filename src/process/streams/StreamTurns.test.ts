import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as streamTurns from "./StreamTurns";

/** Time that an event takes in the load that is replayed. */
const EVENT_MS = 1 / 16;
/** Events of a chunk of a faulty stream, and of a sound one. */
const FAULTY_EVENTS = 2_000;
const SOUND_EVENTS = 5;
/** Longest time in which a stream handles events, which others wait for. */
const MAX_SLICE_MS = 1 + EVENT_MS;
const SLICES_PER_TURN = 4;
const MICROTASKS = 200;

/** Lets all continuations of resolved promises run. */
async function settle(): Promise<void> {
    for (let index = 0; index < MICROTASKS; index++) {
        await Promise.resolve();
    }
}

/** A clock whose turns of the event loop are run one by one. */
class LoopClock extends clocks.ManualClock {
    private readonly callbacks = new Set<() => void>();

    override afterReads(callback: () => void): clocks.Disposable {
        this.callbacks.add(callback);
        return { dispose: () => void this.callbacks.delete(callback) };
    }

    get isIdle(): boolean {
        return this.callbacks.size === 0;
    }

    async runTurn(): Promise<void> {
        const due = [...this.callbacks];
        this.callbacks.clear();
        due.forEach(callback => callback());
        await settle();
    }
}

/** Handles the chunks of a stream; resolves when all events are handled. */
async function handleChunk(clock: LoopClock, slices: streamTurns.StreamSlices, events: number): Promise<void> {
    await slices.begin();
    for (let handled = 0; handled < events; handled++) {
        if (slices.checkSpent()) {
            await slices.next();
        }
        clock.skip(EVENT_MS);
    }
}

vitest.describe("streams with many events at once", () => {
    vitest.it.each([1, 4, 40, 200])("leave the event loop to others: %i of them", async count => {
        const clock = new LoopClock();
        const turns = new streamTurns.StreamTurns(clock);
        let finished = 0;
        for (let index = 0; index < count; index++) {
            void handleChunk(clock, turns.open(), FAULTY_EVENTS).then(() => finished++);
        }
        await settle();
        let longestTurnMs = 0;
        while (!clock.isIdle) {
            const turnStartMs = clock.now();
            await clock.runTurn();
            longestTurnMs = Math.max(longestTurnMs, clock.now() - turnStartMs);
        }
        vitest.expect(finished).toBe(count);
        vitest.expect(turns.waitingCount).toBe(0);
        vitest.expect(longestTurnMs).toBeLessThanOrEqual(SLICES_PER_TURN * MAX_SLICE_MS);
    });

    vitest.it("get their slices in turn", async () => {
        const clock = new LoopClock();
        const turns = new streamTurns.StreamTurns(clock);
        const handled = new Array<number>(10).fill(0);
        handled.forEach((_, index) => {
            const slices = turns.open();
            const handle = async (): Promise<void> => {
                for (; handled[index]! < FAULTY_EVENTS; handled[index]!++) {
                    if (slices.checkSpent()) {
                        await slices.next();
                    }
                    clock.skip(EVENT_MS);
                }
            };
            void handle();
        });
        while (!clock.isIdle) {
            await clock.runTurn();
            const pending = handled.filter(count => count < FAULTY_EVENTS);
            const spread = Math.max(0, ...pending) - Math.min(...pending, FAULTY_EVENTS);
            vitest.expect(spread * EVENT_MS).toBeLessThanOrEqual(2 * MAX_SLICE_MS);
        }
    });

    vitest.it("delay no stream with few events", async () => {
        const clock = new LoopClock();
        const turns = new streamTurns.StreamTurns(clock);
        for (let index = 0; index < 40; index++) {
            void handleChunk(clock, turns.open(), FAULTY_EVENTS);
        }
        await settle();
        const sound = turns.open();
        for (let chunk = 0; chunk < 100; chunk++) {
            const startedMs = clock.now();
            const handling = handleChunk(clock, sound, SOUND_EVENTS);
            vitest.expect(clock.now() - startedMs).toBeLessThanOrEqual(MAX_SLICE_MS);
            await handling;
            await clock.runTurn();
        }
    });

    vitest.it("wait before their next chunk, so that a stream can't begin anew with each chunk", async () => {
        const clock = new LoopClock();
        const turns = new streamTurns.StreamTurns(clock);
        const slices = turns.open();
        const handling = handleChunk(clock, slices, FAULTY_EVENTS);
        await settle();
        while (!clock.isIdle) {
            await clock.runTurn();
        }
        await handling;
        vitest.expect(slices.begin()).toBeInstanceOf(Promise);
        await clock.runTurn();
        vitest.expect(slices.begin()).toBeUndefined();
    });
});
