import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as positions from "../../common/Position";
import * as viewLags from "./ViewLag";

const MAX_MS = 400;

vitest.describe("a view", () => {
    const cases: readonly {
        readonly name: string;
        readonly own: positions.Position;
        readonly peers: readonly positions.Position[];
        /** When this process knows what its peers know. */
        readonly caughtUpMs: number;
        readonly isCurrent: boolean;
        readonly waitedMs: number;
    }[] = [
        {
            name: "without peers",
            own: { era: 0, revision: 5 },
            peers: [],
            caughtUpMs: Infinity,
            isCurrent: true,
            waitedMs: 0,
        },
        {
            name: "as new as those of the peers",
            own: { era: 0, revision: 5 },
            peers: [{ era: 0, revision: 4 }, { era: 0, revision: 5 }],
            caughtUpMs: Infinity,
            isCurrent: true,
            waitedMs: 0,
        },
        {
            name: "that catches up in time",
            own: { era: 0, revision: 5 },
            peers: [{ era: 0, revision: 6 }],
            caughtUpMs: 200,
            isCurrent: true,
            waitedMs: 200,
        },
        {
            name: "that doesn't catch up",
            own: { era: 0, revision: 5 },
            peers: [{ era: 0, revision: 6 }],
            caughtUpMs: Infinity,
            isCurrent: false,
            waitedMs: MAX_MS,
        },
        {
            name: "of an earlier era",
            own: { era: 0, revision: 50 },
            peers: [{ era: 1, revision: 6 }],
            caughtUpMs: Infinity,
            isCurrent: false,
            waitedMs: MAX_MS,
        },
    ];
    vitest.it.each(cases)("$name", async ({ own, peers, caughtUpMs, isCurrent, waitedMs }) => {
        const clock = new clocks.ManualClock(0);
        const lag = new viewLags.ViewLag({
            clock,
            position: () => clock.now() >= caughtUpMs ? peers.reduce(positions.latest) : own,
            peerPositions: () => peers,
        });
        let endedMs: number | undefined;
        const ended = lag.catchUp(MAX_MS, new AbortController().signal).then(result => {
            endedMs = clock.now();
            return result;
        });
        for (let steps = 0; steps < 100; steps++) {
            await new Promise(resolve => setImmediate(resolve));
            if (endedMs !== undefined) {
                break;
            }
            clock.advance(5);
        }
        vitest.expect(await ended).toBe(isCurrent);
        vitest.expect(endedMs).toBe(waitedMs);
    });
});
