import * as vitest from "vitest";
import * as sources from "./UpdateSource";

function peer(instance: string, revision: number, era = 0): sources.UpdateSource {
    return { instance, position: { era, revision } };
}

vitest.describe("what is asked for an update", () => {
    const cases: readonly {
        readonly name: string;
        readonly peers: readonly sources.UpdateSource[];
        readonly unanswered?: readonly string[];
        /** Revision of the view; 5 if undefined. */
        readonly revision?: number;
        readonly randoms?: readonly number[];
        readonly expected: readonly string[];
    }[] = [
        { name: "is nothing without peers", peers: [], expected: [] },
        { name: "is nothing if no peer is ahead", peers: [peer("a", 5), peer("b", 4)], expected: [] },
        { name: "is the most current peer", peers: [peer("a", 6), peer("b", 7)], expected: ["b"] },
        { name: "is a peer of a later era", peers: [peer("a", 6), peer("b", 2, 1)], expected: ["b"] },
        {
            name: "is any of the most current peers",
            peers: [peer("a", 7), peer("b", 7)],
            randoms: [0.6, 0.4],
            expected: ["b"],
        },
        {
            name: "isn't a peer that hasn't answered",
            peers: [peer("a", 6), peer("b", 7)],
            unanswered: ["b"],
            expected: ["a"],
        },
        {
            name: "is one peer as long as few haven't answered",
            peers: ["a", "b", "c", "d", "e", "f"].map(name => peer(name, 7)),
            unanswered: ["a", "b", "c"],
            expected: ["d"],
        },
        {
            name: "is as many peers as haven't answered",
            peers: ["a", "b", "c", "d", "e", "f", "g", "h", "i"].map(name => peer(name, 7)),
            unanswered: ["a", "b", "c", "d"],
            expected: ["e", "f", "g", "h"],
        },
        {
            name: "is one peer for the complete content",
            peers: ["a", "b", "c", "d", "e", "f"].map(name => peer(name, 7)),
            unanswered: ["a", "b", "c", "d"],
            revision: 0,
            expected: ["e"],
        },
        {
            name: "is 8 peers at most",
            peers: Array.from({ length: 40 }, (_, index) => peer(`p${index}`, 7)),
            unanswered: Array.from({ length: 20 }, (_, index) => `p${index}`),
            expected: ["p20", "p21", "p22", "p23", "p24", "p25", "p26", "p27"],
        },
        {
            name: "is peers that haven't answered if there are no others",
            peers: [peer("a", 6), peer("b", 7), peer("c", 5)],
            unanswered: ["a", "b"],
            expected: ["b"],
        },
    ];
    vitest.it.each(cases)("$name", ({ peers, unanswered, revision, randoms, expected }) => {
        const position = { era: 0, revision: revision ?? 5 };
        const remaining = [...(randoms ?? [])];
        const random = (): number => remaining.shift() ?? 0;
        const chosen = sources.chooseUpdateSources(peers, position, new Set(unanswered), random);
        vitest.expect(chosen.map(({ instance }) => instance)).toEqual(expected);
    });
});
