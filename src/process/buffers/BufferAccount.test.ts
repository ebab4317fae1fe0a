import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as bufferAccounts from "./BufferAccount";

const MEGABYTE = 1024 * 1024;
const LIMIT_BYTES = 70 * MEGABYTE;
const CHUNK_BYTES = 64 * 1024;
const TURN_MS = 5;
const MAX_TURNS = 200_000;
/** By how much answers may exceed their half: the oldest one, and a chunk of each other one. */
const MAX_EXCESS_BYTES = 16 * MEGABYTE;

/** A process's account, its clock, and the `decision` of each line that it logs. */
function createAccount(limitBytes = LIMIT_BYTES): {
    readonly account: bufferAccounts.BufferAccount;
    readonly clock: clocks.ManualClock;
    readonly decisions: string[];
} {
    const clock = new clocks.ManualClock();
    const decisions: string[] = [];
    const log = logs.createLog(
        "entry-1",
        "info",
        line => decisions.push((JSON.parse(line) as { decision: string }).decision),
    );
    return { account: new bufferAccounts.BufferAccount({ clock, log, limitBytes }), clock, decisions };
}

/** An answer of an instance that sends as fast as it is read. */
class FastAnswer {
    private remainingBytes: number;
    isPaused = false;

    constructor(readonly hold: bufferAccounts.BufferHold, bytes: number) {
        this.remainingBytes = bytes;
    }

    get isComplete(): boolean {
        return this.remainingBytes === 0;
    }

    /** Reads the next chunk, unless the account pauses the answer. */
    readChunk(): void {
        if (this.isPaused || this.isComplete) {
            return;
        }
        const bytes = Math.min(CHUNK_BYTES, this.remainingBytes);
        this.remainingBytes -= bytes;
        this.isPaused = !this.hold.addAnswer(bytes, () => this.isPaused = false);
        if (this.isComplete) {
            this.hold.endRead();
        }
    }
}

vitest.describe("a body", () => {
    vitest.it.each([
        { name: "small, nothing held", heldMegabytes: 0, bytes: 1_000, isAccepted: true },
        { name: "large, nothing held", heldMegabytes: 0, bytes: 4 * MEGABYTE, isAccepted: true },
        { name: "large, up to half of the limit", heldMegabytes: 31, bytes: 4 * MEGABYTE, isAccepted: true },
        { name: "large, beyond half of the limit", heldMegabytes: 32, bytes: 4 * MEGABYTE, isAccepted: false },
        { name: "small, beyond half of the limit", heldMegabytes: 69, bytes: 16 * 1024, isAccepted: true },
        { name: "small, up to the limit", heldMegabytes: 69, bytes: 1_000, isAccepted: true },
        { name: "small, beyond the limit", heldMegabytes: 70, bytes: 1_000, isAccepted: false },
    ])("$name: accepted $isAccepted", ({ heldMegabytes, bytes, isAccepted }) => {
        const { account } = createAccount();
        for (let added = 0; added < heldMegabytes; added++) {
            for (let body = 0; body < 64; body++) {
                account.open("earlier").tryAddBody(MEGABYTE / 64);
            }
        }
        const hold = account.open("1");
        vitest.expect(hold.tryAddBody(bytes)).toBe(isAccepted);
        vitest.expect(account.heldBytes).toBe(heldMegabytes * MEGABYTE + (isAccepted ? bytes : 0));
        vitest.expect(account.rejections).toBe(isAccepted ? 0 : 1);
        hold.releaseBody();
        hold.releaseBody();
        vitest.expect(account.heldBytes).toBe(heldMegabytes * MEGABYTE);
        account.dispose();
    });

    vitest.it("of an unknown length is large once its chunks are", () => {
        const { account } = createAccount();
        account.open("earlier").tryAddBody(35 * MEGABYTE);
        const hold = account.open("1");
        vitest.expect([hold.tryAddBody(16 * 1024), hold.tryAddBody(1)]).toEqual([true, false]);
        account.dispose();
    });
});

vitest.it("bodies and answers don't take each other's room", () => {
    const { account } = createAccount();
    account.open("answered").addAnswer(60 * MEGABYTE, () => undefined);
    vitest.expect(account.open("1").tryAddBody(35 * MEGABYTE)).toBe(true);
    vitest.expect(account.open("2").tryAddBody(4 * MEGABYTE)).toBe(false);
    account.dispose();
});

vitest.describe("answers of a burst of calls", () => {
    // Guards against a process that ends since it holds the answers of all calls at once.
    vitest.it.each([
        { name: "that callers read at once", count: 200, answerMegabytes: 3, readAfterMs: 0 },
        { name: "that callers read late", count: 200, answerMegabytes: 3, readAfterMs: 1_500 },
        { name: "that callers never read", count: 100, answerMegabytes: 3, readAfterMs: Infinity },
        { name: "of the largest size, never read", count: 30, answerMegabytes: 16, readAfterMs: Infinity },
    ])("$name end within the limit, and all end", ({ count, answerMegabytes, readAfterMs }) => {
        const { account, clock, decisions } = createAccount();
        const answers = Array.from(
            { length: count },
            (_, index) => new FastAnswer(account.open(String(index)), answerMegabytes * MEGABYTE),
        );
        const isWritten = new Set<FastAnswer>();
        let peakBytes = 0;
        let brokenOff = 0;
        const hasEnded = (): boolean =>
            isWritten.size === count && (readAfterMs === Infinity || account.heldBytes === 0);
        for (let turn = 0; turn < MAX_TURNS && !hasEnded(); turn++) {
            clock.advance(TURN_MS);
            answers.forEach(answer => {
                answer.readChunk();
                peakBytes = Math.max(peakBytes, account.heldBytes);
            });
            for (const answer of answers.filter(other => other.isComplete && !isWritten.has(other))) {
                isWritten.add(answer);
                const release = (): void => answer.hold.releaseAnswer();
                answer.hold.beginWrite(() => {
                    brokenOff++;
                    release();
                });
                if (readAfterMs < Infinity) {
                    clock.schedule(readAfterMs, release);
                }
            }
        }
        vitest.expect(hasEnded()).toBe(true);
        vitest.expect(peakBytes).toBeLessThanOrEqual(LIMIT_BYTES / 2 + MAX_EXCESS_BYTES + count * CHUNK_BYTES);
        vitest.expect(brokenOff > 0).toBe(readAfterMs === Infinity);
        vitest.expect(decisions.filter(decision => decision === "answer-unread")).toHaveLength(brokenOff);
        account.dispose();
    });

    vitest.it("pause when there is no room, and are logged once", () => {
        const { account, decisions } = createAccount(1 * MEGABYTE);
        account.open("earlier").addAnswer(1 * MEGABYTE, () => undefined);
        const [first, second] = [1, 2].map(id => new FastAnswer(account.open(String(id)), 2 * MEGABYTE));
        for (let turn = 0; turn < 10; turn++) {
            second!.readChunk();
            first!.readChunk();
        }
        vitest.expect([first!.isPaused, second!.isPaused]).toEqual([true, true]); // The earlier one is still read.
        vitest.expect(decisions).toEqual(["answer-paused", "answer-paused"]);
        vitest.expect(account.pausedCount).toBe(2);
        account.dispose();
    });

    vitest.it("that are small don't pause, whatever is held", () => {
        const { account } = createAccount(1 * MEGABYTE);
        account.open("earlier").addAnswer(9 * MEGABYTE, () => undefined);
        const answer = new FastAnswer(account.open("1"), 800);
        answer.readChunk();
        vitest.expect(answer).toMatchObject({ isComplete: true, isPaused: false });
        account.dispose();
    });
});

vitest.describe("an answer that its caller doesn't read", () => {
    const ANSWER_BYTES = 3 * MEGABYTE;

    vitest.it.each([
        { name: "stays while there is room", heldMegabytes: 31, afterMs: 3_600_000, isBrokenOff: false },
        { name: "stays for a while when there is no room", heldMegabytes: 40, afterMs: 4_900, isBrokenOff: false },
        { name: "is broken off then", heldMegabytes: 40, afterMs: 5_500, isBrokenOff: true },
    ])("$name", ({ heldMegabytes, afterMs, isBrokenOff }) => {
        const { account, clock, decisions } = createAccount();
        const hold = account.open("1");
        hold.addAnswer(ANSWER_BYTES, () => undefined);
        hold.endRead();
        const breakOff = vitest.vi.fn();
        hold.beginWrite(breakOff);
        account.open("other").addAnswer(heldMegabytes * MEGABYTE, () => undefined);
        clock.advance(afterMs);
        vitest.expect(breakOff).toHaveBeenCalledTimes(isBrokenOff ? 1 : 0);
        vitest.expect(decisions.includes("answer-unread")).toBe(isBrokenOff);
        account.dispose();
    });
});

vitest.describe("incomplete events of streams", () => {
    vitest.it.each([
        { name: "large, nothing held", streams: 0, bytes: MEGABYTE, hasRoom: true },
        { name: "large, up to the share", streams: 16, bytes: MEGABYTE, hasRoom: true },
        { name: "large, beyond the share", streams: 18, bytes: MEGABYTE, hasRoom: false },
        { name: "small, beyond the share", streams: 18, bytes: 16 * 1024, hasRoom: true },
    ])("$name: room $hasRoom", ({ streams, bytes, hasRoom }) => {
        const { account } = createAccount();
        const earlier = Array.from({ length: streams }, (_, index) => account.open(String(index)));
        earlier.forEach(hold => hold.holdEvent(MEGABYTE));
        const hold = account.open("1");
        vitest.expect(hold.holdEvent(bytes)).toBe(hasRoom);
        vitest.expect(account.heldBytes).toBe(streams * MEGABYTE + bytes);
        vitest.expect(hold.holdEvent(bytes)).toBe(true); // It hasn't grown.
        [hold, ...earlier].forEach(each => each.holdEvent(0));
        vitest.expect(account.heldBytes).toBe(0);
        account.dispose();
    });
});
