/**
 * Tells the other entries which instances have ended with which prompts, and which parts instances have answered since.
 * An entry tells all others at once; one that was cut off learns it from any entry that it reaches. An end is identified
 * by its instance's incarnation, so that it counts once, whoever tells it.
 */
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as entryMessages from "../../common/EntryMessages";
import * as logs from "../../common/Log";
import * as entryPeers from "../peers/EntryPeers";
import * as gossips from "../peers/FactGossip";
import * as crashEvidence from "./CrashEvidence";
import * as crashMonitors from "./CrashMonitor";

/** Interval at which new connections are told all, and the others what is new. */
const TELL_INTERVAL_MS = 250;
/** Interval at which the same answered part is told again. */
const ANSWERED_INTERVAL_MS = 1_000;
/** Time after which it is forgotten when a part was told. */
const TOLD_LIFETIME_MS = 10_000;

type ToldCrash = entryMessages.Crashes["crashes"][number];

/** What the exchange needs from its process. */
export interface CrashExchangeOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly random: () => number;
    readonly peers: Pick<entryPeers.EntryPeers, "knownPeers" | "onFrame">;
    readonly evidence: crashEvidence.CrashEvidence;
    readonly monitor: crashMonitors.CrashMonitor;
}

/** Keeps the evidence of this process and of the others alike. */
export class CrashExchange implements clocks.Disposable {
    private readonly disposables = new emitters.DisposableStore();
    private readonly gossip: gossips.FactGossip<crashEvidence.Crash>;
    /** When each part was last told to be answered. */
    private readonly toldAnsweredMs = new Map<string, number>();

    constructor(private readonly options: CrashExchangeOptions) {
        const { clock, peers, monitor } = options;
        this.gossip = this.disposables.add(
            new gossips.FactGossip({
                ...options,
                intervalMs: TELL_INTERVAL_MS,
                isReader: connection => connection.remote.knowsCrashes === true,
                list: withinMs => this.listCrashes(withinMs),
                maxFacts: entryMessages.MAX_TOLD_CRASHES,
                maxRelayed: Infinity,
                encode: crashes => ({
                    kind: "crashes",
                    crashes: crashes.map(crash => this.encodeCrash(crash)),
                    answered: [],
                }),
            }),
        );
        this.disposables.add(clocks.every(clock, TELL_INTERVAL_MS, () => this.tellAnswered()));
        this.disposables.add(peers.onFrame(frame => this.handleFrame(frame)));
        this.disposables.add(monitor.onCrash(crash => this.gossip.tellAll([crash])));
    }

    dispose(): void {
        this.disposables.dispose();
    }

    private handleFrame({ message, peer }: entryPeers.PeerFrame): void {
        if (message.kind !== "crashes") {
            return;
        }
        const { clock, evidence, log, monitor } = this.options;
        const nowMs = clock.now();
        message.answered.forEach(({ part, ageMs }) => evidence.recordAnswer([part], nowMs - ageMs));
        for (const { ageMs, seenAgeMs, parts, requests: sent, ...told } of message.crashes) {
            const requests = new Map(sent.map(({ request, sentAgeMs }) => [request, nowMs - sentAgeMs]));
            const crash = { ...told, atMs: nowMs - ageMs, parts: new Set(parts), requests };
            if (evidence.recordCrash(crash, nowMs - seenAgeMs)) {
                const { instance, startedMs, attempt } = told;
                const names = [...parts, ...requests.keys()];
                const fields = { instance, startedMs, attempt, parts: names, peer: peer.instance };
                log.info(
                    { decision: "crash", ...fields, ageMs: Math.round(ageMs) },
                    "instance ended before its answers",
                );
            }
        }
        monitor.logChanges();
    }

    /** The ends that happened, or whose cause was seen, at most `withinMs` ago. */
    private listCrashes(withinMs: number): crashEvidence.Crash[] {
        const nowMs = this.options.clock.now();
        return this.options.evidence.all.filter(({ atMs, seenAtMs }) => nowMs - Math.max(atMs, seenAtMs) < withinMs);
    }

    private tellAnswered(): void {
        if (this.options.evidence.all.length === 0) {
            return;
        }
        const answered = this.takeAnswered().map(part => this.encodeAnswered(part));
        if (answered.length > 0) {
            this.gossip.connections.forEach(connection => connection.send({ kind: "crashes", crashes: [], answered }));
        }
        this.options.monitor.logChanges();
    }

    /** Parts that matter for what is suspected and that this process has seen answered. */
    private takeAnswered(): string[] {
        const { clock, evidence } = this.options;
        const nowMs = clock.now();
        const doubtful = evidence.listDoubtful().filter(part => {
            const answeredMs = evidence.lastAnsweredMs(part);
            const toldMs = this.toldAnsweredMs.get(part) ?? -Infinity;
            return answeredMs !== undefined && answeredMs > toldMs && nowMs - toldMs >= ANSWERED_INTERVAL_MS;
        });
        const told = doubtful.slice(0, entryMessages.MAX_TOLD_PARTS);
        told.forEach(part => this.toldAnsweredMs.set(part, nowMs));
        for (const [part, toldMs] of this.toldAnsweredMs) {
            if (nowMs - toldMs > TOLD_LIFETIME_MS) {
                this.toldAnsweredMs.delete(part);
            }
        }
        return told;
    }

    private encodeCrash({ atMs, seenAtMs, parts, requests, ...identity }: crashEvidence.Crash): ToldCrash {
        const nowMs = this.options.clock.now();
        const ageOf = (timeMs: number): number => Math.max(0, nowMs - timeMs);
        const sent = [...requests].map(([request, sentAtMs]) => ({ request, sentAgeMs: ageOf(sentAtMs) }));
        return { ...identity, ageMs: ageOf(atMs), seenAgeMs: ageOf(seenAtMs), parts: [...parts], requests: sent };
    }

    private encodeAnswered(part: string): entryMessages.Crashes["answered"][number] {
        const { clock, evidence } = this.options;
        const nowMs = clock.now();
        return { part, ageMs: Math.max(0, nowMs - (evidence.lastAnsweredMs(part) ?? nowMs)) };
    }
}
