import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as messages from "../../common/Messages";
import * as entryPeers from "../peers/EntryPeers";
import * as instanceSpeeds from "./InstanceSpeed";
import * as speedExchanges from "./SpeedExchange";

const INCARNATION = { instance: "engine", startedMs: 1 };
const TOLD = { kind: "instance-speeds", samples: [{ ...INCARNATION, logSlowdowns: [Math.log(2)] }] };

/** An entry with a number of peers that read the messages, and one of before that doesn't. */
function createEntry(readerCount: number) {
    const clock = new clocks.ManualClock();
    const speed = new instanceSpeeds.InstanceSpeed(clock);
    const frames = new emitters.Emitter<entryPeers.PeerFrame>();
    const sent: { readonly peer: number; readonly message: messages.Message }[] = [];
    const knownPeers = Array.from({ length: readerCount + 1 }, (_, peer) => ({
        connection: {
            remote: { knowsSpeeds: peer < readerCount ? true : undefined },
            send: (message: messages.Message) => sent.push({ peer, message }) > 0,
        },
    }));
    const exchange = new speedExchanges.SpeedExchange({
        clock,
        random: () => 0.5,
        peers: { knownPeers, onFrame: frames.event } as unknown as entryPeers.EntryPeers,
        pool: {
            speeds: () => [[INCARNATION, speed]],
            findSpeed: ({ startedMs }) => startedMs === INCARNATION.startedMs ? speed : undefined,
        },
    });
    const receive = (message: unknown): void => frames.fire({ message } as unknown as entryPeers.PeerFrame);
    return { clock, speed, sent, receive, exchange };
}

vitest.describe("the exchange of stated speeds", () => {
    vitest.it.each([
        { name: "all readers of few", readers: 3, told: 3 },
        { name: "eight of many", readers: 300, told: 8 },
    ])("tells $name once what was stated", ({ readers, told }) => {
        const { clock, speed, sent } = createEntry(readers);
        speed.state(2);
        clock.advance(1_000);
        vitest.expect(sent.map(({ message }) => message)).toEqual(new Array(told).fill(TOLD));
        vitest.expect(new Set(sent.map(({ peer }) => peer)).size).toBe(told);
        vitest.expect(sent.every(({ peer }) => peer < readers)).toBe(true);
        clock.advance(5_000);
        vitest.expect(sent).toHaveLength(told);
    });

    vitest.it("takes in what another entry tells, without telling it further", () => {
        const { clock, speed, sent, receive } = createEntry(3);
        receive(TOLD);
        vitest.expect(speed.currentSlowness).toBeCloseTo(2);
        clock.advance(1_000);
        vitest.expect(sent).toEqual([]);
    });

    vitest.it("ignores what is told of an earlier start of an instance", () => {
        const { speed, receive } = createEntry(1);
        receive({ ...TOLD, samples: [{ ...TOLD.samples[0], startedMs: 0 }] });
        vitest.expect(speed.isStated).toBe(false);
    });
});
