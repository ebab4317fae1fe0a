/**
 * Tells other entries what instances state of their speed, since each of many entries sends an instance a call only now
 * and then. A few entries, picked at random, are told each time: what an entry sends and reads doesn't grow with their
 * number. Each statement is told at most once to each of them, so that nothing counts twice.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as entryMessages from "../../common/EntryMessages";
import * as peerConnections from "../../connection/PeerConnection";
import * as entryPeers from "../peers/EntryPeers";
import * as instanceSpeeds from "./InstanceSpeed";

const TELL_INTERVAL_MS = 1_000;
/** Number of entries that are told at a time. */
const TOLD_ENTRIES = 8;

/** What the exchange needs from its process. */
export interface SpeedExchangeOptions {
    readonly clock: clocks.Clock;
    readonly random: () => number;
    readonly peers: Pick<entryPeers.EntryPeers, "knownPeers" | "onFrame">;
    readonly pool: SpeedSource;
}

/** The speeds that a process knows. */
export interface SpeedSource {
    /** The speeds of all incarnations that this process sends to. */
    speeds(): Iterable<readonly [Incarnation, instanceSpeeds.InstanceSpeed]>;
    /** The speed of an incarnation; undefined if it isn't listed. */
    findSpeed(incarnation: Incarnation): instanceSpeeds.InstanceSpeed | undefined;
}

/** One start of an instance. */
export interface Incarnation {
    readonly instance: string;
    readonly startedMs: number;
}

/** Tells and takes in statements. */
export class SpeedExchange implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();

    constructor(private readonly options: SpeedExchangeOptions) {
        this.disposables.add(clocks.every(options.clock, TELL_INTERVAL_MS, () => this.tell()));
        this.disposables.add(options.peers.onFrame(frame => this.handleFrame(frame)));
    }

    dispose(): void {
        this.disposables.dispose();
    }

    private tell(): void {
        const samples: entryMessages.ToldSpeed[] = [];
        for (const [incarnation, speed] of this.options.pool.speeds()) {
            const logSlowdowns = samples.length < entryMessages.MAX_TOLD_SPEEDS ? speed.takeUntold() : [];
            if (logSlowdowns.length > 0) {
                samples.push({ ...incarnation, logSlowdowns: [...logSlowdowns] });
            }
        }
        if (samples.length > 0) {
            this.pickConnections().forEach(connection => connection.send({ kind: "instance-speeds", samples }));
        }
    }

    /** Connections to different entries, picked at random. */
    private pickConnections(): peerConnections.PeerConnection[] {
        const { peers, random } = this.options;
        const readers = peers.knownPeers.flatMap(({ connection }) =>
            connection?.remote.knowsSpeeds === true ? connection : []
        );
        const count = Math.min(TOLD_ENTRIES, readers.length);
        for (let index = 0; index < count; index++) {
            const other = index + Math.floor(random() * (readers.length - index));
            [readers[index], readers[other]] = [readers[other]!, readers[index]!];
        }
        return readers.slice(0, count);
    }

    private handleFrame({ message }: entryPeers.PeerFrame): void {
        if (message.kind === "instance-speeds") {
            message.samples.forEach(sample => this.options.pool.findSpeed(sample)?.add(sample.logSlowdowns));
        }
    }
}
