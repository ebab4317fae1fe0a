/**
 * Replays the load that a limit has to handle: an instance names a small limit for all entries together, while every
 * entry has more calls for it than that, some learn of the others late, and some are cut off or start again.
 */
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as randoms from "../../common/Random";
import * as routing from "../../common/Routing";
import * as peerConnections from "../../connection/PeerConnection";
import * as entryPeers from "../peers/EntryPeers";
import * as peerEntries from "../peers/PeerEntry";
import * as views from "../published/PublishedView";
import * as fleetFixtures from "../shares/FleetFixture";
import * as fleetSizes from "../shares/FleetSize";
import * as instanceLimits from "./InstanceLimits";
import * as limitExchanges from "./LimitExchange";

const STEP_MS = 20;
const LATENCY_MS = 5;
const CALL_MS = 60;
/** The instance names its limit in this period. */
const NAMED_FROM_MS = 3_000;
const NAMED_UNTIL_MS = 23_000;
const END_MS = 30_000;
/** Time that the entries have to learn the limit, the window of the bound, and what it allows beside the limit. */
const LEARN_MS = 3_000;
const WINDOW_MS = 4_000;
const FACTOR = 1.5;
const EXTRA = 5;
/** An entry that has just started knows few others for this time, and some more of them for the next one. */
const DISCOVERY_MS = 1_500;

interface Load {
    readonly entries: number;
    readonly perSecond: number;
    /** Calls a second that all entries have for the instance. */
    readonly demand: number;
    readonly seed: number;
    /** Entries that are cut off from the others, but not from the instance, from 8 to 16 s. */
    readonly cut: number;
    /** Entries that start again, one after the other from 6 s on. */
    readonly restarts: number;
}

const instance = { id: "i-1", startedMs: 1, service: "model" } as routing.RoutedInstance;

class Entry {
    private readonly frames = new emitters.Emitter<entryPeers.PeerFrame>();
    readonly knownPeers: peerEntries.PeerEntry[] = [];
    readonly limits: instanceLimits.InstanceLimits;
    readonly exchange: limitExchanges.LimitExchange;
    private readonly startedMs: number;
    isCut = false;

    constructor(
        readonly name: string,
        private readonly clock: clocks.ManualClock,
        random: () => number,
        private readonly fleetNames: readonly string[],
        isRestart: boolean,
    ) {
        this.startedMs = isRestart ? clock.now() : -Infinity;
        const view = { find: () => undefined, table: undefined } as unknown as views.PublishedView;
        this.limits = new instanceLimits.InstanceLimits({
            clock,
            view,
            fleet: isRestart ? this.createFleet() : fleetFixtures.knownFleet(fleetNames, name),
        });
        this.exchange = new limitExchanges.LimitExchange({
            clock,
            random,
            log: logs.silentLog,
            peers: { knownPeers: this.knownPeers, onFrame: this.frames.event },
            limits: this.limits,
            isInUse: () => true,
        });
    }

    /** The fleet as it becomes known: a few at first, all later. */
    private createFleet(): fleetSizes.Fleet {
        const fleet = new fleetSizes.FleetSize({
            clock: this.clock,
            self: { name: this.name, failureDomain: "a" },
            others: () =>
                this.knownNames.filter(name => name !== this.name)
                    .map(name => ({ name, failureDomain: "a", isConnected: true })),
            failureDomains: () => [],
            hasOthers: () => true,
            hasCompleteList: () => this.knownNames.length === this.fleetNames.length,
            isFirstStart: false,
        });
        fleet.recordListening();
        return fleet;
    }

    private get knownNames(): readonly string[] {
        const phase = Math.floor((this.clock.now() - this.startedMs) / DISCOVERY_MS);
        const count = [4, 4 + Math.floor((this.fleetNames.length - 4) / 2)][phase] ?? this.fleetNames.length;
        return this.fleetNames.slice(0, count);
    }

    connect(other: Entry): void {
        const peer = peerEntries.createPeerEntry(other.name, "", "", 0);
        const send = (message: messages.Message): boolean => {
            if (!this.isCut && !other.isCut) {
                this.clock.schedule(LATENCY_MS, () => other.receive(this, message));
            }
            return true;
        };
        peer.connection = { send, remote: { knowsLimits: true } } as unknown as peerConnections.PeerConnection;
        this.knownPeers.push(peer);
    }

    receive(from: Entry, message: messages.Message): void {
        const peer = this.knownPeers.find(({ instance: name }) => name === from.name);
        if (peer !== undefined) {
            this.frames.fire({ peer, message, connection: peer.connection! });
        }
    }
}

interface Arrival {
    readonly atMs: number;
    readonly entry: Entry;
}

/** Entries before one instance, in virtual time. */
class LimitFleet {
    private readonly clock = new clocks.ManualClock(0);
    private readonly random: randoms.Random;
    private readonly names: string[];
    private readonly entries: Entry[];
    private readonly toldAtMs = new Map<Entry, number>();
    readonly arrivals: Arrival[] = [];

    constructor(private readonly load: Load) {
        this.random = randoms.createRandom(load.seed);
        this.names = Array.from({ length: load.entries }, (_, index) => `entry-${index}`);
        this.entries = this.names.map(name => new Entry(name, this.clock, this.random, this.names, false));
        this.entries.forEach(entry =>
            this.entries.filter(other => other !== entry).forEach(other => entry.connect(other))
        );
    }

    run(): void {
        for (let nowMs = 0; nowMs < END_MS; nowMs += STEP_MS) {
            this.entries.slice(0, this.load.cut).forEach(entry => entry.isCut = nowMs >= 8_000 && nowMs < 16_000);
            const restarted = (nowMs - 6_000) / 1_000;
            if (Number.isInteger(restarted) && restarted >= 0 && restarted < this.load.restarts) {
                this.restart(this.entries.length - 1 - restarted);
            }
            let calls = this.load.demand * STEP_MS / 1_000;
            for (; calls > 0 && this.random() < calls; calls--) {
                this.call(this.entries[Math.floor(this.random() * this.entries.length)]!);
            }
            this.clock.advance(STEP_MS);
        }
        this.entries.forEach(({ exchange }) => exchange.dispose());
    }

    /** Most arrivals in any window from entries that had been told, later than the time that they have to learn it. */
    get mostTold(): number {
        const told = this.arrivals.filter(({ atMs, entry }) =>
            atMs >= NAMED_FROM_MS + LEARN_MS && atMs < NAMED_UNTIL_MS
            && atMs >= (this.toldAtMs.get(entry) ?? Infinity) + 500
        );
        return Math.max(
            0,
            ...told.map(({ atMs: start }) =>
                told.filter(({ atMs }) => atMs >= start && atMs < start + WINDOW_MS).length
            ),
        );
    }

    countArrivals(fromMs: number, untilMs: number): number {
        return this.arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < untilMs).length;
    }

    private restart(index: number): void {
        const old = this.entries[index]!;
        old.exchange.dispose();
        const entry = new Entry(old.name, this.clock, this.random, this.names, true);
        this.entries[index] = entry;
        for (const other of this.entries.filter(candidate => candidate !== entry)) {
            other.knownPeers.splice(other.knownPeers.findIndex(peer => peer.instance === entry.name), 1);
            entry.connect(other);
            other.connect(entry);
        }
    }

    private call(entry: Entry): void {
        if (entry.limits.waitMs(instance) > 0) {
            return;
        }
        const sentAtMs = this.clock.now();
        entry.limits.obtainRate(routing.incarnationKey(instance)).add(sentAtMs);
        this.arrivals.push({ atMs: sentAtMs, entry });
        this.clock.schedule(CALL_MS, () => {
            const nowMs = this.clock.now();
            const isNamed = nowMs >= NAMED_FROM_MS && nowMs < NAMED_UNTIL_MS;
            const limitPerSecond = isNamed ? this.load.perSecond : undefined;
            if (isNamed && !this.toldAtMs.has(entry)) {
                this.toldAtMs.set(entry, nowMs);
            }
            entry.exchange.observe(
                instance,
                { limitPerSecond, instance: undefined, effect: "ran" } as Parameters<typeof entry.exchange.observe>[1],
                sentAtMs,
            );
        });
    }
}

const base: Load = { entries: 4, perSecond: 1, demand: 20, seed: 1, cut: 0, restarts: 0 };

vitest.describe("a limit for all entries together is kept", { timeout: 120_000 }, () => {
    vitest.it.each([
        { name: "4 entries", load: {} },
        { name: "4 entries, half of them cut off from the others", load: { cut: 2 } },
        { name: "4 entries that start again in turn", load: { restarts: 4 } },
        { name: "4 entries and a limit of 20 a second", load: { perSecond: 20, demand: 60 } },
        { name: "4 entries and a limit below one", load: { perSecond: 0.3 } },
        { name: "30 entries", load: { entries: 30, demand: 60 } },
        { name: "30 entries and a limit of 5", load: { entries: 30, perSecond: 5, demand: 60, cut: 10, restarts: 8 } },
        { name: "100 entries", load: { entries: 100, demand: 100, cut: 30, restarts: 10 } },
        { name: "300 entries", load: { entries: 300, demand: 100 } },
    ])("by $name", ({ load }) => {
        const fleet = new LimitFleet({ ...base, ...load });
        fleet.run();
        const { perSecond } = { ...base, ...load };
        vitest.expect(fleet.mostTold).toBeLessThanOrEqual(FACTOR * perSecond * WINDOW_MS / 1_000 + EXTRA);
        const used = fleet.countArrivals(NAMED_FROM_MS + LEARN_MS, NAMED_UNTIL_MS);
        vitest.expect(used).toBeGreaterThan(0);
    });

    vitest.it.each(Array.from({ length: 20 }, (_, index) => index + 1))("by entries in trouble, seed %i", seed => {
        const random = randoms.createRandom(1_000 + seed);
        const entries = [4, 8, 18][Math.floor(random() * 3)]!;
        const perSecond = [0.5, 1, 3, 12][Math.floor(random() * 4)]!;
        const fleet = new LimitFleet({
            entries,
            perSecond,
            demand: perSecond * (2 + 20 * random()),
            seed,
            cut: Math.floor(random() * entries / 2),
            restarts: Math.floor(random() * 4),
        });
        fleet.run();
        vitest.expect(fleet.mostTold).toBeLessThanOrEqual(FACTOR * perSecond * WINDOW_MS / 1_000 + EXTRA);
    });

    vitest.it("and forgotten soon after the instance names it no more", () => {
        const fleet = new LimitFleet({ ...base, perSecond: 2, demand: 40 });
        fleet.run();
        vitest.expect(fleet.countArrivals(NAMED_UNTIL_MS + 2_000, END_MS)).toBeGreaterThan(0.9 * 40 * 5);
    });
});
