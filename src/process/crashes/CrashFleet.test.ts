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
import * as crashEvidence from "./CrashEvidence";
import * as crashExchanges from "./CrashExchange";
import * as crashMonitors from "./CrashMonitor";

const STEP_MS = 10;
const LATENCY_MS = 5;
/** Time from the end of an engine to its next start. */
const DOWN_MS = 3_000;
/** Time from sending a prompt to the start of its answer. */
const READ_MS = 60;
/** Times that a request without a prompt is sent again after an interruption, and the time until then. */
const RESENDS = 1;
const RESEND_MS = 2;
/** Ends from which a part must be known, the time that entries have for it, and most prompts that are sent later. */
const KNOWN_CRASHES = 5;
const KNOWN_REQUEST_CRASHES = 3;
const LEARN_MS = 3_000;
const MAX_LATE_SENDS = 3;

interface Load {
    readonly entries: number;
    readonly engines: number;
    readonly seed: number;
    readonly crashParts: readonly string[];
    /** Requests that end each engine and come again, known by their digests alone. */
    readonly crashRequests?: readonly string[];
    /** Prompts a second, over all entries, with one of these parts. */
    readonly crashRate: number;
    readonly soundRate: number;
    /** Engines that end a second for other reasons, one of them alone and sometimes a tenth of all. */
    readonly otherCrashRate: number;
    /** Entries that are cut off from the others until this time. */
    readonly cutEntries: number;
    readonly cutUntilMs: number;
}

class Engine {
    startedMs = 0;
    upAtMs = 0;
    /** Prompts that it is about to answer. */
    readonly waiting = new Set<Send>();

    constructor(readonly id: string) {}

    get record(): routing.RoutedInstance {
        return { id: this.id, startedMs: this.startedMs, address: this.id } as routing.RoutedInstance;
    }
}

interface Send {
    readonly entry: Entry;
    readonly call: crashMonitors.ObservedCall;
    readonly sentAtMs: number;
    readonly endsEngine: boolean;
    /** Times that the call may still be sent again when it is interrupted. */
    readonly resends: number;
}

/** A call with these parts of its prompt, of which the last is its own. */
function observedCall(prompt: readonly string[]): crashMonitors.ObservedCall {
    const own = prompt.at(-1)!;
    return { attempt: own, promptParts: prompt.map(id => ({ id, tokens: 100 })), requestDigests: () => [own] };
}

class Entry {
    private readonly frames = new emitters.Emitter<entryPeers.PeerFrame>();
    readonly knownPeers: peerEntries.PeerEntry[] = [];
    readonly monitor: crashMonitors.CrashMonitor;
    readonly exchange: crashExchanges.CrashExchange;
    isCut = false;

    constructor(
        readonly name: string,
        shared: Pick<crashExchanges.CrashExchangeOptions, "clock" | "log" | "random">,
        isUp: (address: string) => boolean,
    ) {
        const evidence = new crashEvidence.CrashEvidence(shared.clock);
        const probe = (address: string) => Promise.resolve(isUp(address) ? "listening" as const : "refused" as const);
        this.monitor = new crashMonitors.CrashMonitor({ ...shared, evidence, probe });
        const peers = { knownPeers: this.knownPeers, onFrame: this.frames.event };
        this.exchange = new crashExchanges.CrashExchange({ ...shared, peers, evidence, monitor: this.monitor });
    }

    connect(other: Entry, clock: clocks.Clock): void {
        const peer = peerEntries.createPeerEntry(other.name, "", "", 0);
        const send = (message: messages.Message): boolean => {
            if (!this.isCut && !other.isCut) {
                clock.schedule(LATENCY_MS, () => other.receive(this, message));
            }
            return true;
        };
        peer.connection = { send, remote: { knowsCrashes: true } } as unknown as peerConnections.PeerConnection;
        this.knownPeers.push(peer);
    }

    receive(from: Entry, message: messages.Message): void {
        const peer = this.knownPeers.find(({ instance }) => instance === from.name)!;
        this.frames.fire({ peer, message, connection: peer.connection! });
    }
}

/** Entries, engines and their load in virtual time. */
class CrashFleet {
    private readonly clock = new clocks.ManualClock(0);
    private readonly random: randoms.Random;
    private readonly entries: Entry[];
    private readonly engines: Engine[];
    private nextPrompt = 0;
    readonly crashesAtMs: number[] = [];
    readonly crashSendsAtMs: number[] = [];
    soundCalls = 0;
    heldSoundCalls = 0;

    constructor(private readonly load: Load) {
        this.random = randoms.createRandom(load.seed);
        this.engines = Array.from({ length: load.engines }, (_, index) => new Engine(`engine-${index}`));
        const isUp = (address: string): boolean =>
            this.engines.some(({ id, upAtMs }) => id === address && upAtMs <= this.clock.now());
        const shared = { clock: this.clock, log: logs.silentLog, random: this.random };
        this.entries = Array.from({ length: load.entries }, (_, index) => new Entry(`entry-${index}`, shared, isUp));
        for (const entry of this.entries) {
            this.entries.filter(other => other !== entry).forEach(other => entry.connect(other, this.clock));
        }
        this.entries.slice(0, load.cutEntries).forEach(entry => entry.isCut = true);
    }

    async run(durationMs: number): Promise<void> {
        while (this.clock.now() < durationMs) {
            this.step();
            this.clock.advance(STEP_MS);
            await new Promise(resolve => setImmediate(resolve));
        }
        this.entries.forEach(({ exchange, monitor }) => {
            exchange.dispose();
            monitor.dispose();
        });
    }

    private step(): void {
        const { crashParts, crashRate, soundRate, otherCrashRate, cutUntilMs } = this.load;
        if (this.clock.now() >= cutUntilMs) {
            this.entries.forEach(entry => entry.isCut = false);
        }
        if (crashParts.length > 0) {
            this.repeat(crashRate, () => this.send(this.pick(crashParts)));
        }
        const { crashRequests = [] } = this.load;
        if (crashRequests.length > 0) {
            this.repeat(crashRate, () => this.sendRequest(this.pick(crashRequests), true));
            this.repeat(soundRate, () => this.sendRequest(`status-${Math.floor(this.random() * 40)}`, false));
        }
        this.repeat(soundRate, () => this.send(undefined));
        this.repeat(otherCrashRate, () => {
            const count = this.random() < 0.3 ? Math.ceil(this.engines.length / 10) : 1;
            Array.from({ length: count }, () => this.crash(this.pick(this.engines)));
        });
    }

    private repeat(perSecond: number, action: () => void): void {
        const mean = perSecond * STEP_MS / 1_000;
        for (let left = mean; left > 0 && this.random() < left; left--) {
            action();
        }
    }

    private pick<T>(items: readonly T[]): T {
        return items[Math.floor(this.random() * items.length)]!;
    }

    /** Sends a prompt through a random entry; `crashPart` is undefined for a sound one, which shares all else. */
    private send(crashPart: string | undefined): void {
        const session = `session-${Math.floor(this.random() * 200)}`;
        const prompt = ["system", crashPart ?? this.pick(["common", session]), `own-${this.nextPrompt++}`];
        this.sendCall(this.pick(this.entries), observedCall(prompt), crashPart !== undefined, 0);
    }

    /** Sends a request without a prompt, which others may equal; entries send it again when it is interrupted. */
    private sendRequest(digest: string, endsEngine: boolean): void {
        const call = { attempt: `own-${this.nextPrompt++}`, promptParts: [], requestDigests: () => [digest] };
        this.sendCall(this.pick(this.entries), call, endsEngine, RESENDS);
    }

    private sendCall(entry: Entry, call: crashMonitors.ObservedCall, endsEngine: boolean, resends: number): void {
        const isHeld = entry.monitor.findHeld(call) !== undefined;
        this.soundCalls += endsEngine ? 0 : 1;
        this.heldSoundCalls += !endsEngine && isHeld ? 1 : 0;
        const engine = this.pick(this.engines.filter(({ upAtMs }) => upAtMs <= this.clock.now()));
        if (isHeld || engine === undefined) {
            return;
        }
        const send = { entry, call, sentAtMs: this.clock.now(), endsEngine, resends };
        engine.waiting.add(send);
        if (endsEngine && !entry.isCut) {
            this.crashSendsAtMs.push(this.clock.now());
        }
        this.clock.schedule(READ_MS * (0.5 + this.random()), () => {
            if (!engine.waiting.delete(send)) {
                return;
            }
            if (!endsEngine) {
                entry.monitor.observeAnswer(call);
                return;
            }
            engine.waiting.add(send);
            this.crashesAtMs.push(this.clock.now());
            this.crash(engine);
        });
    }

    private crash(engine: Engine): void {
        if (engine.upAtMs > this.clock.now()) {
            return;
        }
        const record = engine.record;
        engine.upAtMs = this.clock.now() + DOWN_MS;
        engine.startedMs = engine.upAtMs;
        for (const { entry, call, sentAtMs, endsEngine, resends } of engine.waiting) {
            entry.monitor.observeInterruption(record, call, sentAtMs);
            if (resends > 0) {
                this.clock.schedule(RESEND_MS, () => this.sendCall(entry, call, endsEngine, resends - 1));
            }
        }
        engine.waiting.clear();
    }
}

const base: Load = {
    entries: 8,
    engines: 30,
    seed: 1,
    crashParts: ["bad"],
    crashRate: 3,
    soundRate: 100,
    otherCrashRate: 0,
    cutEntries: 0,
    cutUntilMs: 0,
};

vitest.describe("a fleet whose engines are crashed by a part of prompts", { timeout: 120_000 }, () => {
    const cases: readonly { readonly name: string; readonly load: Partial<Load>; readonly durationMs?: number }[] = [
        { name: "8 entries", load: {} },
        { name: "8 entries beside other crashes", load: { otherCrashRate: 0.5 } },
        {
            name: "4 entries and few engines, of which 3 in 100 prompts of one kind end one",
            load: { entries: 4, engines: 8, crashRate: 0.25, soundRate: 20 },
        },
        {
            name: "4 entries and few engines, of which 8 in 100 end one",
            load: { entries: 4, engines: 6, crashRate: 1, soundRate: 12 },
        },
        { name: "a third of the entries cut off for 20 s", load: { cutEntries: 3, cutUntilMs: 20_000 } },
        {
            name: "100 entries",
            load: { entries: 100, engines: 200, soundRate: 400, otherCrashRate: 0.5 },
            durationMs: 12_000,
        },
        {
            name: "30 entries and a slow trickle of such prompts",
            load: { entries: 100, engines: 200, crashRate: 0.3 },
        },
    ];
    vitest.it.each(cases)("holds it back in time with $name", async ({ load, durationMs = 60_000 }) => {
        const fleet = new CrashFleet({ ...base, ...load });
        await fleet.run(durationMs);
        const knownFromMs = (fleet.crashesAtMs[KNOWN_CRASHES - 1] ?? Infinity) + LEARN_MS;
        vitest.expect(fleet.crashesAtMs.length).toBeGreaterThanOrEqual(3);
        vitest.expect(fleet.crashSendsAtMs.filter(atMs => atMs > knownFromMs).length).toBeLessThanOrEqual(
            MAX_LATE_SENDS,
        );
        vitest.expect(fleet.heldSoundCalls).toBe(0);
    });

    vitest.it.each([
        { name: "8 entries", load: {} },
        { name: "8 entries and engines that are ended as soon as they are back", load: { engines: 4, crashRate: 8 } },
        { name: "8 entries beside other crashes", load: { otherCrashRate: 0.5 } },
        { name: "a third of the entries cut off for 20 s", load: { cutEntries: 3, cutUntilMs: 20_000 } },
        {
            name: "100 entries and three such requests",
            load: { entries: 100, engines: 200, crashRequests: ["r1", "r2", "r3"], crashRate: 9, otherCrashRate: 0.5 },
        },
    ])("holds a request back that comes again, with $name", async ({ load }) => {
        const fleet = new CrashFleet({ ...base, crashParts: [], crashRequests: ["r1"], ...load });
        await fleet.run(30_000);
        const { length: requests } = load.crashRequests ?? ["r1"];
        const knownFromMs = (fleet.crashesAtMs[KNOWN_REQUEST_CRASHES * requests - 1] ?? Infinity) + LEARN_MS;
        const lateSends = fleet.crashSendsAtMs.filter(atMs => atMs > knownFromMs).length;
        vitest.expect(fleet.crashesAtMs.length).toBeGreaterThanOrEqual(KNOWN_REQUEST_CRASHES * requests);
        vitest.expect(lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS * requests);
        vitest.expect(fleet.heldSoundCalls).toBe(0);
    });

    vitest.it("holds back several such parts", async () => {
        const fleet = new CrashFleet({
            ...base,
            crashParts: ["bad-1", "bad-2", "bad-3"],
            crashRate: 6,
            otherCrashRate: 0.5,
        });
        await fleet.run(60_000);
        vitest.expect(fleet.crashSendsAtMs.filter(atMs => atMs > 30_000).length).toBeLessThanOrEqual(
            3 * MAX_LATE_SENDS,
        );
        vitest.expect(fleet.heldSoundCalls).toBe(0);
    });
});

vitest.describe("a fleet whose engines crash for other reasons", { timeout: 120_000 }, () => {
    vitest.it.each(Array.from({ length: 10 }, (_, index) => index + 1))("holds nothing back, seed %i", async seed => {
        const load = { crashParts: [], crashRequests: ["sound"], crashRate: 0, soundRate: 60, otherCrashRate: 1 };
        const fleet = new CrashFleet({ ...base, seed, ...load });
        await fleet.run(60_000);
        vitest.expect(fleet.soundCalls).toBeGreaterThan(1_000);
        vitest.expect(fleet.heldSoundCalls).toBe(0);
    });
});
