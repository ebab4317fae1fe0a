import * as vitest from "vitest";
import * as randoms from "../../common/Random";
import * as entryLists from "./EntryLists";

const ROUND_MS = 1_675;
const MINUTE_MS = 60_000;

/** One entry among `size`, whose list has one version until it changes. */
class Sender {
    readonly connections: { readonly received: string[] }[];
    readonly lists: entryLists.EntryLists<{ readonly received: string[] }>;
    nowMs = 0;
    version = "1";

    constructor(readonly size: number) {
        this.connections = Array.from({ length: size - 1 }, () => ({ received: [] }));
        this.lists = new entryLists.EntryLists({
            clock: { now: () => this.nowMs },
            random: randoms.createRandom(size),
            connections: () => this.connections,
            size: () => size,
            version: () => this.version,
            send: connection => connection.received.push(this.version),
        });
        this.connections.forEach(connection => this.lists.send(connection));
    }

    get sent(): number {
        return this.connections.reduce((sum, { received }) => sum + received.length, 0);
    }

    run(rounds: number): void {
        for (let round = 0; round < rounds; round++) {
            this.nowMs += ROUND_MS;
            this.lists.sendRound();
        }
    }
}

vitest.describe("the lists that an entry sends", () => {
    // Guards against lists that are most of what entries send to each other, though nothing has changed.
    vitest.it.each([3, 24, 68, 300])("among %d entries take at most 1.1 KB a second while nothing changes", size => {
        const sender = new Sender(size);
        const before = sender.sent;
        sender.run(10 * MINUTE_MS / ROUND_MS);
        const bytesPerSecond = (sender.sent - before) * size * 90 / (10 * MINUTE_MS / 1_000);
        vitest.expect(bytesPerSecond).toBeLessThanOrEqual(1_100);
        vitest.expect(sender.sent).toBeGreaterThan(before);
    });

    vitest.it.each([3, 24, 68, 300])("among %d entries reach all others within eight rounds of a change", size => {
        const sender = new Sender(size);
        sender.run(5);
        sender.version = "2";
        sender.run(8);
        vitest.expect(sender.connections.filter(({ received }) => received.at(-1) !== "2")).toEqual([]);
    });

    vitest.it("go to a new connection at once, and to one that was replaced in a later round", () => {
        const sender = new Sender(24);
        sender.run(5);
        const replaced = { received: [] };
        sender.connections[0] = replaced;
        sender.run(1);
        vitest.expect(replaced.received).toEqual(["1"]);
    });
});
