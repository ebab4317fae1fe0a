/**
 * Fixture: entries that follow one published store in virtual time, each with its reader and its exchange with the
 * others, and a store that loses answers for a time.
 */
import * as result from "true-myth/result";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as ports from "../../common/Ports";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as frames from "../../connection/FrameCodec";
import * as pacedStores from "../published/PacedStore";
import * as views from "../published/PublishedView";
import * as fleetFixtures from "../shares/FleetFixture";
import * as fleetPaces from "../shares/FleetPace";
import * as peers from "./EntryPeers";
import * as links from "./LinkSimulation";
import * as peerEntries from "./PeerEntry";
import * as paces from "./PresencePace";
import * as exchanges from "./PublishedExchange";
import * as replications from "./PublishedReplication";

const STEP_MS = 10;
const LATENCY_MS = 5;
/** Time beyond its wait after which a watch counts as lost. */
const WATCH_MARGIN_MS = 600;
const GIVE_UP_MS = 60_000;
/** Calls that the store allows all entries. */
const STORE_CALLS_PER_SECOND = 2_000;

/** A time in which the store loses answers or rejects calls. */
export interface StoreFault {
    readonly fromMs: number;
    readonly toMs: number;
    /** Whether calls are rejected at once; otherwise their answers are lost. */
    readonly isRejecting?: boolean;
    /** The entries concerned, by index; all if undefined. */
    readonly isAffected?: (entry: number) => boolean;
    /** The calls concerned, by their number; all if undefined. */
    readonly isLost?: (call: number) => boolean;
}

/** A fleet to simulate. */
export interface FleetOptions {
    readonly entries: number;
    readonly seed: number;
    readonly faults: readonly StoreFault[];
    /** Whether messages from one entry to another are lost, by index. */
    readonly lostLinks?: ((from: number, to: number) => boolean) | undefined;
    /** Rate of an entry's link, by index; unlimited if undefined. */
    readonly linkBytesPerMs?: (entry: number) => number;
}

/** A message with no content, in bytes. */
const MESSAGE_BYTES = 60;
/** Size of a content in an answer of the store, relative to its own. */
const STORE_ENCODING = 4 / 3;

interface WaitingWatch {
    readonly entry: number;
    readonly call: number;
    readonly revision: number;
    isLost: boolean;
    readonly answer: () => void;
    readonly reject: () => void;
}

interface SimulatedEntry {
    readonly view: views.PublishedView;
    readonly replication: replications.PublishedReplication;
    readonly mesh: SimulatedPeers;
    /** Undefined if the rate of its link isn't limited. */
    readonly link: links.SimulatedLink | undefined;
}

type Frame = peers.PeerFrame;

/** The other entries, as one entry sees them. */
class SimulatedPeers implements exchanges.ExchangePeers {
    private readonly frameEmitter = new emitters.Emitter<Frame>();
    readonly onFrame = this.frameEmitter.event;
    /** The entries by index. */
    readonly peers = new Map<number, peerEntries.PeerEntry>();

    constructor(private readonly deliver: (peer: peerEntries.PeerEntry, message: messages.Message) => void) {}

    get livePeers(): peerEntries.PeerEntry[] {
        return [...this.peers.values()];
    }

    send(peer: peerEntries.PeerEntry, message: messages.Message): boolean {
        this.deliver(peer, message);
        return true;
    }

    receive(frame: Frame): void {
        this.frameEmitter.fire(frame);
    }
}

/** A pseudo-random number generator (mulberry32). */
function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
}

/** The entries and their store. */
export class Fleet implements clocks.Disposable {
    private readonly clock = new clocks.ManualClock(0);
    private readonly random: () => number;
    private readonly entries: SimulatedEntry[] = [];
    private readonly timers: clocks.Disposable[] = [];
    private items: routing.PublishedItem[] = [];
    private waiting: WaitingWatch[] = [];
    private revision = 1;
    /** Number of calls on the store. */
    calls = 0;

    constructor(private readonly options: FleetOptions) {
        this.random = createRandom(options.seed);
        for (let index = 0; index < options.entries; index++) {
            this.entries.push(this.createEntry(index));
        }
        this.entries.forEach((entry, index) => this.connect(entry, index));
        for (const fault of options.faults) {
            this.timers.push(this.clock.schedule(fault.fromMs, () => this.loseWaiting(fault)));
        }
        this.entries.forEach(entry => entry.replication.start());
    }

    /** Advances to a time after the start. */
    async run(toMs: number): Promise<void> {
        while (this.clock.now() < toMs) {
            this.clock.advance(Math.min(STEP_MS, toMs - this.clock.now()));
            await new Promise(resolve => setImmediate(resolve));
        }
    }

    /** Writes a key of the store, a new one by default, and returns the new revision. */
    change(key = `key-${this.revision + 1}`, content: Buffer = Buffer.from("x")): number {
        this.revision++;
        this.items = this.items.filter(item => item.key !== key);
        this.items.push({ key, era: 0, revision: this.revision, content });
        this.waiting.forEach(watch => watch.answer());
        return this.revision;
    }

    /** Number of bytes that an entry has received, and that are under way to it. */
    traffic(entry: number): { readonly receivedBytes: number; readonly queuedBytes: number } {
        const { receivedBytes, queuedBytes } = this.entries[entry]!.link!;
        return { receivedBytes, queuedBytes };
    }

    /** Whether all entries know a revision. */
    isKnown(revision: number): boolean {
        return this.entries.every(entry => entry.view.position.revision >= revision);
    }

    /** Advances until all entries know a revision and returns the time. */
    async waitUntilKnown(revision: number): Promise<number> {
        while (!this.isKnown(revision)) {
            if (this.clock.now() > GIVE_UP_MS) {
                return Infinity;
            }
            await this.run(this.clock.now() + STEP_MS);
        }
        return this.clock.now();
    }

    dispose(): void {
        this.timers.forEach(timer => timer.dispose());
        this.entries.forEach(({ replication, view, link }) => {
            link?.dispose();
            replication.dispose();
            view.dispose();
        });
    }

    private createEntry(index: number): SimulatedEntry {
        const { clock, random } = this;
        const shared = { clock, random, log: logs.silentLog };
        const store = this.createStore(index);
        const view = new views.PublishedView({ ...shared, decode: item => store.decode(item) });
        const mesh = new SimulatedPeers((peer, message) => this.deliver(index, Number(peer.instance), message));
        const replication = new replications.PublishedReplication({
            ...shared,
            store,
            view,
            instance: String(index),
            peers: mesh,
            pace: this.createPace(index),
        });
        const { linkBytesPerMs } = this.options;
        const link = linkBytesPerMs && new links.SimulatedLink(clock, linkBytesPerMs(index));
        return { view, replication, mesh, link };
    }

    private createPace(index: number): fleetPaces.FleetPace {
        const names = Array.from({ length: this.options.entries }, (_, other) => String(other));
        const fleet = fleetFixtures.knownFleet(names, String(index));
        return pacedStores.createPace(this.clock, fleet, () => STORE_CALLS_PER_SECOND);
    }

    /** Connects an entry to all others, to which it states its position at the interval of presence messages. */
    private connect({ mesh }: SimulatedEntry, index: number): void {
        const others = this.entries.map((_, other) => other).filter(other => other !== index);
        others.forEach(other => mesh.peers.set(other, peerEntries.createPeerEntry(String(other), "", "", 0)));
        const intervalMs = paces.ordinaryIntervalMs(others.length);
        this.timers.push(this.clock.schedule(this.random() * intervalMs, () => {
            this.timers.push(clocks.every(this.clock, intervalMs, () => this.tellPosition(index, others)));
        }));
    }

    private tellPosition(from: number, others: readonly number[]): void {
        const { position } = this.entries[from]!.view;
        const reached = others.filter(to => this.options.lostLinks?.(from, to) !== true);
        this.clock.schedule(LATENCY_MS, () => {
            for (const to of reached) {
                const { mesh } = this.entries[to]!;
                this.transfer(to, String(from), MESSAGE_BYTES, () => mesh.peers.get(from)!.position = position);
            }
        });
    }

    private deliver(from: number, to: number, message: messages.Message): void {
        if (this.options.lostLinks?.(from, to) === true) {
            return;
        }
        const { position } = this.entries[from]!.view;
        const isLimited = this.options.linkBytesPerMs !== undefined;
        const bytes = isLimited ? frames.encodeFrame({ version: position.revision, message }).length : 0;
        this.clock.schedule(LATENCY_MS, () => this.transfer(to, String(from), bytes, () => receive(this.entries[to]!)));
        const receive = ({ mesh }: SimulatedEntry): void => {
            const peer = mesh.peers.get(from)!;
            peer.position = position;
            const connection = { send: (reply: messages.Message) => this.deliver(to, from, reply) };
            mesh.receive({ peer, message, connection: connection as unknown as Frame["connection"] });
        };
    }

    /** Lets bytes arrive over an entry's link, if its rate is limited. */
    private transfer(to: number, connection: string, bytes: number, receive: () => void): void {
        const { link } = this.entries[to]!;
        if (link === undefined) {
            receive();
            return;
        }
        link.send(connection, bytes, receive);
    }

    private createStore(entry: number): routingPorts.PublishedStore {
        return {
            list: (_, signal) =>
                this.call(entry, 0, 1_500, signal, () => ({ ...this.content(0), nextAfter: undefined })),
            watch: (revision, waitMs, signal) =>
                this.call(entry, waitMs, waitMs + WATCH_MARGIN_MS, signal, () => ({
                    ...this.content(revision),
                    isHistoryLost: false,
                }), revision),
            readPosition: signal => this.call(entry, 0, WATCH_MARGIN_MS, signal, () => ({ ...this.content(Infinity) })),
            decode: item => ({ kind: "out-of-service", failureDomain: item.key }),
        };
    }

    private content(since: number): { items: routing.PublishedItem[]; era: number; revision: number } {
        return { items: this.items.filter(item => item.revision > since), era: 0, revision: this.revision };
    }

    /** One call: answered after `waitMs` or at a change after `revision`, if its answer isn't lost. */
    private call<T extends { readonly items: readonly routing.PublishedItem[] }>(
        entry: number,
        waitMs: number,
        timeoutMs: number,
        signal: AbortSignal,
        answer: () => T,
        revision = Infinity,
    ): ports.Reply<T> {
        const call = ++this.calls;
        const { clock } = this;
        return new Promise(resolve => {
            const settle = (reply: result.Result<T, codes.Failure>): void => {
                timers.forEach(timer => timer.dispose());
                this.waiting = this.waiting.filter(other => other !== watch);
                signal.removeEventListener("abort", cancel);
                resolve(reply);
            };
            const fail = (code: codes.ResultCode): void => settle(result.err(codes.failure(code, "test")));
            const cancel = (): void => fail(codes.codes.cancelled);
            const fault = this.options.faults.find(other => isLostBy(other, entry, call, clock.now()));
            const watch: WaitingWatch = {
                entry,
                call,
                revision,
                isLost: fault !== undefined,
                reject: () => clock.schedule(LATENCY_MS, () => fail(codes.codes.sourceUnavailable)),
                answer: () => {
                    if (watch.isLost) {
                        return;
                    }
                    this.waiting = this.waiting.filter(other => other !== watch);
                    const content = answer();
                    clock.schedule(LATENCY_MS, () => {
                        timers.forEach(timer => timer.dispose()); // The answer has begun.
                        this.transfer(entry, "store", sizeOf(content), () => settle(result.ok(content)));
                    });
                },
            };
            const timers = [clock.schedule(timeoutMs, () => fail(codes.codes.upstreamTimeout))];
            signal.addEventListener("abort", cancel);
            if (fault?.isRejecting === true) {
                watch.reject();
            }
            else if (this.revision > revision || waitMs === 0) {
                watch.answer();
            }
            else {
                timers.push(clock.schedule(waitMs, () => watch.answer()));
                this.waiting.push(watch);
            }
        });
    }

    private loseWaiting(fault: StoreFault): void {
        for (const watch of this.waiting.filter(({ entry, call }) => isLostBy(fault, entry, call, fault.fromMs))) {
            watch.isLost = true;
            if (fault.isRejecting === true) {
                watch.reject();
            }
        }
    }
}

/** Size of an answer of the store. */
function sizeOf({ items }: { readonly items: readonly routing.PublishedItem[] }): number {
    const contentBytes = items.reduce((sum, item) => sum + (item.content?.length ?? 0), 0);
    return MESSAGE_BYTES + contentBytes * STORE_ENCODING;
}

function isLostBy(fault: StoreFault, entry: number, call: number, nowMs: number): boolean {
    return nowMs >= fault.fromMs && nowMs < fault.toMs
        && (fault.isAffected?.(entry) ?? true) && (fault.isLost?.(call) ?? true);
}
