/**
 * Entries tell each other which software version began a stream, since a caller may come back at any of them. A stream
 * has a few homes among the entries, chosen by its attempt; they are told when its first event is forwarded, but only
 * while its service may have instances of several versions. An entry that doesn't know a stream asks its homes.
 */
import * as backgroundTasks from "../../common/BackgroundTask";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as entryMessages from "../../common/EntryMessages";
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as rendezvous from "../../common/RendezvousHash";
import * as peerConnections from "../../connection/PeerConnection";
import * as entryPeers from "../peers/EntryPeers";
import * as peerEntries from "../peers/PeerEntry";
import * as views from "../published/PublishedView";
import * as origins from "./StreamOrigins";

/** Number of entries that are told of a stream: with the one that began it, three know it. */
const HOME_COUNT = 2;
/** Number of entries that are asked: more than are told, since their order changes as entries come and go. */
const ASKED_COUNT = 4;
/** Streams whose attempt has a longer name aren't remembered. */
const MAX_ATTEMPT_LENGTH = 200;
/** Time for the answers of the entries that are asked. */
const ANSWER_TIMEOUT_MS = 250;
/** A view that the store confirmed within this time counts as current. */
const MAX_UNCONFIRMED_MS = 3_000;

/** What the exchange needs from its process. */
export interface StreamOriginExchangeOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly peers: entryPeers.EntryPeers;
    readonly view: views.PublishedView;
    /** Failure domain of this entry. */
    readonly failureDomain: string;
    /** Time since the store last confirmed the view; undefined before the first time. */
    readonly unconfirmedMs: () => number | undefined;
    /** Learns which versions there were before this process listed the store, as far as the store still knows. */
    readonly completePast: () => Promise<void>;
}

/** A call that resumes a stream. */
export interface ResumedCall {
    /** The attempt that brought the stream's first event; undefined if the caller doesn't state it. */
    readonly attempt: string | undefined;
    readonly targets: readonly string[];
    readonly service: string;
    /** Longest time since the stream can have begun. */
    readonly lifetimeMs: number;
}

/** A decision on a resumed call. */
export interface ResumeOutcome {
    readonly decision: origins.ResumeDecision;
    /** `memory`, `only-version`, or the name of the peer that knew it; undefined if none did. */
    readonly learntFrom: string | undefined;
}

interface Question {
    readonly asked: number;
    readonly answers: OriginAnswer[];
    readonly settle: () => void;
}

/** What one entry knows of the versions that a service has had. */
type KnownVersions = Pick<entryMessages.StreamOriginAnswer, "onlyVersion" | "hasSeveral">;

/** What one entry knows of a stream and its service. */
interface OriginAnswer extends KnownVersions {
    readonly origins: readonly origins.StreamOrigin[];
    /** The entry. */
    readonly from: string;
}

/** What is known after asking. */
interface LearntOrigin {
    readonly origins: readonly origins.StreamOrigin[];
    readonly onlyVersion: string | undefined;
    readonly from: string | undefined;
}

/** Remembers the origins of streams, tells them to other entries and asks for them. */
export class StreamOriginExchange implements clocks.Disposable {
    private readonly memory = new origins.StreamOrigins();
    private readonly subscriptions = new emitters.DisposableStore();
    private readonly questions = new Map<number, Question>();
    private nextQuestionId = 1;

    constructor(private readonly options: StreamOriginExchangeOptions) {
        this.subscriptions.add(options.peers.onFrame(frame => this.handleFrame(frame)));
        this.subscriptions.add(options.view.versions.onNewVersion(service => this.tellStreamsOf(service)));
    }

    dispose(): void {
        this.subscriptions.dispose();
    }

    /** Remembers which version sent the first event of a stream; called before the event is forwarded. */
    recordFirstEvent(stream: origins.KnownStream): void {
        const isNew = stream.attempt.length <= MAX_ATTEMPT_LENGTH
            && this.memory.add(stream, this.options.clock.now());
        if (isNew && this.findOnlyVersion(stream.service, stream.lifetimeMs) === undefined) {
            this.tell([stream]);
        }
    }

    /**
     * Decides what a resumed call may be sent to. An entry that doesn't know the stream asks others, even if it knows one
     * version only: it may be out of step, while instances of another version have joined and begun the stream.
     */
    async resolve(call: ResumedCall): Promise<ResumeOutcome> {
        const { targets, service, lifetimeMs } = call;
        const attempt = (call.attempt?.length ?? Infinity) > MAX_ATTEMPT_LENGTH ? undefined : call.attempt;
        const known = attempt === undefined ? [] : this.memory.find(attempt, this.options.clock.now());
        if (known.length > 0) {
            const decision = origins.decideResume({ origins: known, targets, service, onlyVersion: undefined });
            return { decision, learntFrom: "memory" };
        }
        if (this.needsPast(lifetimeMs)) {
            await this.options.completePast();
        }
        const own = this.describeVersions(service, lifetimeMs);
        const learnt = this.options.peers.knownPeers.length === 0
            ? { origins: [], onlyVersion: own.onlyVersion, from: undefined }
            : combineAnswers(own, await this.ask(attempt, service, lifetimeMs));
        if (attempt !== undefined) {
            this.remember(attempt, learnt.origins, lifetimeMs);
        }
        const isOwn = learnt.onlyVersion !== undefined && own.onlyVersion !== undefined;
        return {
            decision: origins.decideResume({ ...learnt, targets, service }),
            learntFrom: isOwn ? "only-version" : learnt.from,
        };
    }

    private remember(attempt: string, known: readonly origins.StreamOrigin[], lifetimeMs: number): void {
        known.forEach(origin => this.memory.add({ attempt, ...origin, lifetimeMs }, this.options.clock.now()));
    }

    /** The only version that the service has had for `lifetimeMs`; undefined if there were several, or may have been. */
    private findOnlyVersion(service: string, lifetimeMs: number): string | undefined {
        const { view, peers, clock } = this.options;
        const isConfirmed = (this.options.unconfirmedMs() ?? Infinity) <= MAX_UNCONFIRMED_MS;
        const isBehind = peers.livePeers.some(peer => positions.isAfter(peer.position, view.position));
        const { length: knownCount } = peers.knownPeers;
        const seesAllEntries = knownCount > 0 && peers.livePeers.length === knownCount;
        const isCurrent = !isBehind && (isConfirmed || seesAllEntries);
        return isCurrent ? view.versions.findOnlyVersion(service, clock.now() - lifetimeMs) : undefined;
    }

    private describeVersions(service: string, lifetimeMs: number): KnownVersions {
        const { view, clock } = this.options;
        return {
            onlyVersion: this.findOnlyVersion(service, lifetimeMs),
            hasSeveral: view.versions.hasSeveral(service, clock.now() - lifetimeMs),
        };
    }

    /** Whether the only version in `lifetimeMs` depends on the time before the first listing, of which nothing is known. */
    private needsPast(lifetimeMs: number): boolean {
        const { versions } = this.options.view;
        return !versions.isPastKnown && versions.reachesPast(this.options.clock.now() - lifetimeMs);
    }

    /** Tells the streams of a service that now has several versions. */
    private tellStreamsOf(service: string): void {
        if (this.findOnlyVersion(service, 0) !== undefined) {
            return;
        }
        const streams = this.memory.streamsOf(service, this.options.clock.now());
        if (streams.length > 0) {
            this.options.log.info(
                { decision: "stream-origins", service, streams: streams.length },
                "another software version appeared; telling other entries of the streams in memory",
            );
            this.tell(streams);
        }
    }

    private tell(streams: readonly origins.KnownStream[]): void {
        const streamsByPeer = new Map<peerEntries.PeerEntry, origins.KnownStream[]>();
        for (const stream of streams) {
            for (const peer of this.findHomes(stream.attempt)) {
                streamsByPeer.set(peer, [...streamsByPeer.get(peer) ?? [], stream]);
            }
        }
        for (const [peer, told] of streamsByPeer) {
            for (let start = 0; start < told.length; start += entryMessages.MAX_TOLD_STREAMS) {
                const batch = told.slice(start, start + entryMessages.MAX_TOLD_STREAMS);
                this.options.peers.send(peer, { kind: "stream-origins", streams: batch });
            }
        }
    }

    /** Resolves to the answers of those who answered in time, and the number of entries that were asked. */
    private ask(
        attempt: string | undefined,
        service: string,
        lifetimeMs: number,
    ): Promise<{ readonly answers: readonly OriginAnswer[]; readonly asked: number }> {
        const question = this.nextQuestionId++;
        const message = { kind: "stream-origin-ask" as const, question, attempt, service, lifetimeMs };
        const receivers = this.rankPeers(attempt ?? "").slice(0, ASKED_COUNT);
        const asked = receivers.filter(peer => this.options.peers.send(peer, message)).length;
        const answers: OriginAnswer[] = [];
        if (asked === 0) {
            return Promise.resolve({ answers, asked });
        }
        return new Promise(resolve => {
            const settle = (): void => {
                timer.dispose();
                this.questions.delete(question);
                resolve({ answers, asked });
            };
            const timer = this.options.clock.schedule(ANSWER_TIMEOUT_MS, settle);
            this.questions.set(question, { asked, answers, settle });
        });
    }

    /** The entries that are told of a stream, in other failure domains than this one and each other where there are any. */
    private findHomes(attempt: string): peerEntries.PeerEntry[] {
        const ranked = this.rankPeers(attempt);
        const isElsewhere = (peer: peerEntries.PeerEntry): boolean =>
            peer.failureDomain !== this.options.failureDomain
            && ranked.find(other => other.failureDomain === peer.failureDomain) === peer;
        const preferred = ranked.filter(isElsewhere).slice(0, HOME_COUNT);
        const others = ranked.filter(peer => !preferred.includes(peer));
        return [...preferred, ...others].slice(0, HOME_COUNT);
    }

    /**
     * Connected entries that know these messages, in the order in which they are asked for a stream: the first of each
     * failure domain, then the others. An entry that is asked may be in any domain, also in that of the stream's first
     * entry.
     */
    private rankPeers(attempt: string): peerEntries.PeerEntry[] {
        const peers = this.options.peers.livePeers.filter(peer => peer.connection?.remote.knowsStreamOrigins === true);
        if (peers.length <= HOME_COUNT) {
            return peers;
        }
        const scored = peers.map(peer => ({ peer, score: rendezvous.score(attempt, peer.instance) }));
        const sorted = scored.sort((left, right) => right.score - left.score).map(({ peer }) => peer);
        const firstByDomain = new Map<string, peerEntries.PeerEntry>();
        sorted.forEach(peer => firstByDomain.has(peer.failureDomain) || firstByDomain.set(peer.failureDomain, peer));
        const firsts = [...firstByDomain.values()];
        return [...firsts, ...sorted.filter(peer => !firsts.includes(peer))];
    }

    private handleFrame(frame: entryPeers.PeerFrame): void {
        const { message } = frame;
        if (message.kind === "stream-origins") {
            const nowMs = this.options.clock.now();
            message.streams.forEach(stream => this.memory.add(stream, nowMs));
        }
        if (message.kind === "stream-origin-ask") {
            const answer = (): Promise<void> => this.answer(message, frame.connection);
            backgroundTasks.runInBackground(this.options.log, "stream-origin-answer", answer);
        }
        if (message.kind === "stream-origin-answer") {
            this.handleAnswer(message, frame.peer.instance);
        }
    }

    private async answer(
        { question, attempt, service, lifetimeMs }: entryMessages.StreamOriginAsk,
        connection: peerConnections.PeerConnection,
    ): Promise<void> {
        const known = attempt === undefined ? [] : this.memory.find(attempt, this.options.clock.now());
        if (known.length === 0 && this.needsPast(lifetimeMs)) {
            await this.options.completePast();
        }
        connection.send({
            kind: "stream-origin-answer",
            question,
            origins: [...known],
            ...this.describeVersions(service, lifetimeMs),
        });
    }

    private handleAnswer(answer: entryMessages.StreamOriginAnswer, from: string): void {
        const question = this.questions.get(answer.question);
        if (question === undefined) {
            return;
        }
        question.answers.push({ ...answer, from });
        if (answer.origins.length > 0 || question.answers.length === question.asked) {
            question.settle();
        }
    }
}

/**
 * Joins what this entry and others know. Without an origin, the only version counts if nobody knows of several and
 * enough have answered: those that may have been told of the stream are among the ones that are asked.
 */
function combineAnswers(
    own: KnownVersions,
    { answers, asked }: { readonly answers: readonly OriginAnswer[]; readonly asked: number },
): LearntOrigin {
    const known = answers.find(answer => answer.origins.length > 0);
    if (known !== undefined) {
        return { origins: known.origins, onlyVersion: undefined, from: known.from };
    }
    const stated = [own, ...answers].filter(({ onlyVersion }) => onlyVersion !== undefined);
    const isContradicted = [own, ...answers].some(({ hasSeveral }) => hasSeveral)
        || new Set(stated.map(({ onlyVersion }) => onlyVersion)).size > 1;
    const isEnough = answers.length > 0 && answers.length >= Math.min(HOME_COUNT, asked);
    const onlyVersion = isEnough && !isContradicted ? stated[0]?.onlyVersion : undefined;
    const from = onlyVersion === undefined
        ? undefined
        : answers.find(answer => answer.onlyVersion === onlyVersion)?.from;
    return { origins: [], onlyVersion, from };
}
