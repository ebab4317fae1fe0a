import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as entryMessages from "../../common/EntryMessages";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as positions from "../../common/Position";
import * as entryPeers from "../peers/EntryPeers";
import * as views from "../published/PublishedView";
import * as versionHistories from "../published/VersionHistory";
import * as exchanges from "./StreamOriginExchange";
import * as origins from "./StreamOrigins";

const POSITION: positions.Position = { era: 1, revision: 5 };
const LIFETIME_MS = 30_000;
const STREAM: origins.KnownStream = {
    attempt: "a",
    service: "model",
    softwareVersion: "v1",
    lifetimeMs: LIFETIME_MS,
};
const CALL: exchanges.ResumedCall = { attempt: "a", targets: ["model"], service: "model", lifetimeMs: LIFETIME_MS };
const BOUND: origins.ResumeDecision = {
    kind: "bound",
    origin: { service: "model", softwareVersion: "v1" },
};
const UNKNOWN: origins.ResumeDecision = { kind: "unknown" };

/** State of the entry under test that differs between cases. */
interface Scenario {
    /** Versions of the instances of the service. */
    readonly versions: readonly string[];
    readonly unconfirmedMs?: number;
    /** What the store's history says when it is read; "unreadable" if it can't be; undefined if it was read before. */
    readonly past?: versionHistories.PastVersions | "unreadable";
    readonly failureDomain?: string;
    readonly peers?: readonly {
        readonly position?: positions.Position;
        readonly isOld?: boolean;
        readonly isLost?: boolean;
        readonly failureDomain?: string;
    }[];
}

const NOTHING_LEFT: versionHistories.PastVersions = { versions: [], hasUnknown: false };

function createScenario(
    { versions, unconfirmedMs = 0, past, failureDomain = "a", peers = [] }: Scenario,
) {
    const clock = new clocks.ManualClock();
    const history = new versionHistories.VersionHistory(clock);
    history.markListed();
    const addVersion = (softwareVersion: string): void =>
        history.change(undefined, {
            id: softwareVersion,
            startedMs: 0,
            service: "model",
            softwareVersion,
            address: "10.0.0.1:1",
            failureDomain: "a",
            state: "ready",
            slots: 1,
            coldLeftMs: 0,
        });
    versions.forEach(addVersion);
    if (past === undefined) {
        history.completePast(NOTHING_LEFT);
    }
    const sent: messages.Message[] = [];
    const frames = new emitters.Emitter<entryPeers.PeerFrame>();
    const receivers: number[] = [];
    const knownPeers = peers.map(({ position = POSITION, isOld = false, failureDomain: domain = "a" }, index) => ({
        instance: `peer-${index}`,
        failureDomain: domain,
        position,
        connection: { remote: { knowsStreamOrigins: isOld ? undefined : true } },
    }));
    const exchange = new exchanges.StreamOriginExchange({
        clock,
        log: logs.silentLog,
        view: { position: POSITION, versions: history } as unknown as views.PublishedView,
        peers: {
            knownPeers,
            livePeers: knownPeers.filter((_, index) => peers[index]!.isLost !== true),
            onFrame: frames.event,
            send: (peer: (typeof knownPeers)[number], message: messages.Message) => {
                receivers.push(knownPeers.indexOf(peer));
                return sent.push(message) > 0;
            },
        } as unknown as entryPeers.EntryPeers,
        unconfirmedMs: () => unconfirmedMs,
        completePast: () => {
            if (past !== "unreadable" && past !== undefined) {
                history.completePast(past);
            }
            return Promise.resolve();
        },
        failureDomain,
    });
    /** Delivers a message from a peer. */
    const receive = (message: messages.Message): void => {
        const connection = { send: (answer: messages.Message) => sent.push(answer) > 0 };
        frames.fire({ peer: { instance: "peer-0" }, connection, message } as unknown as entryPeers.PeerFrame);
    };
    return { clock, exchange, sent, receivers, addVersion, receive };
}

vitest.describe("the homes of a stream", () => {
    const domainCases: readonly { readonly name: string; readonly domains: readonly string[]; readonly own: string }[] =
        [
            { name: "one of many in each of three domains", domains: ["a", "a", "a", "a", "b", "c"], own: "a" },
            { name: "in two of four domains", domains: ["a", "b", "b", "b", "b", "c", "d", "d"], own: "d" },
        ];
    const attempts = Array.from({ length: 20 }, (_, index) => `attempt-${index}`);

    vitest.it.each(domainCases)("are in other domains than its entry and each other, $name", ({ domains, own }) => {
        for (const attempt of attempts) {
            const { exchange, receivers } = createScenario({
                versions: ["v1", "v2"],
                peers: domains.map(failureDomain => ({ failureDomain })),
                failureDomain: own,
            });
            exchange.recordFirstEvent({ ...STREAM, attempt });
            const homes = receivers.map(index => domains[index]!);
            vitest.expect(homes).toHaveLength(2);
            vitest.expect(new Set([own, ...homes]).size).toBe(3);
        }
    });

    vitest.it.each(domainCases)("are asked by an entry of any domain, $name", ({ domains, own }) => {
        for (const attempt of attempts) {
            for (const failureDomain of new Set(domains)) {
                const scenario = { versions: ["v1", "v2"], peers: domains.map(domain => ({ failureDomain: domain })) };
                const teller = createScenario({ ...scenario, failureDomain: own });
                teller.exchange.recordFirstEvent({ ...STREAM, attempt });
                const asker = createScenario({ ...scenario, failureDomain });
                void asker.exchange.resolve({ ...CALL, attempt });
                vitest.expect(asker.receivers).toEqual(vitest.expect.arrayContaining(teller.receivers));
            }
        }
    });
});

vitest.describe("a resumed stream that this entry doesn't know", () => {
    const agrees = { origins: [], onlyVersion: "v1" };
    const doesNotKnow = { origins: [] };
    const four = [{}, {}, {}, {}];
    const cases: readonly {
        readonly name: string;
        readonly scenario: Scenario;
        /** What the peers answer that are asked. */
        readonly answers?: readonly Partial<entryMessages.StreamOriginAnswer>[];
        readonly decision: unknown;
    }[] = [
        { name: "has the only version there has been", scenario: { versions: ["v1"] }, decision: BOUND },
        { name: "isn't guessed with two versions", scenario: { versions: ["v1", "v2"] }, decision: UNKNOWN },
        {
            name: "isn't guessed when another version left before all entries were killed",
            scenario: {
                versions: ["v2"],
                past: { versions: [{ service: "model", softwareVersion: "v1" }], hasUnknown: false },
            },
            decision: UNKNOWN,
        },
        {
            name: "has the only version there has been by the store's history",
            scenario: { versions: ["v1"], past: NOTHING_LEFT },
            decision: BOUND,
        },
        {
            name: "isn't guessed while the store's history can't be read",
            scenario: { versions: ["v2"], past: "unreadable" },
            decision: UNKNOWN,
        },
        {
            name: "isn't guessed while the store hasn't confirmed the view",
            scenario: { versions: ["v1"], unconfirmedMs: 4_000 },
            decision: UNKNOWN,
        },
        {
            name: "isn't guessed while the store can't be reached and a known entry is lost",
            scenario: { versions: ["v1"], unconfirmedMs: 4_000, peers: [{}, { isLost: true }] },
            decision: UNKNOWN,
        },
        {
            name: "has the only version there has been while all entries are cut off from the store",
            scenario: { versions: ["v1"], unconfirmedMs: 4_000, peers: [{}, {}] },
            answers: [agrees, agrees],
            decision: BOUND,
        },
        // Guards against streams of a new version that go on at an old one, at an entry that is out of step.
        {
            name: "isn't guessed by an entry that may be out of step and reaches no other",
            scenario: { versions: ["v1"], peers: four },
            decision: UNKNOWN,
        },
        {
            name: "isn't guessed by an entry that is out of step while another one knows of several versions",
            scenario: { versions: ["v1"], peers: four },
            answers: [agrees, { origins: [], hasSeveral: true }, agrees, agrees],
            decision: UNKNOWN,
        },
        {
            name: "is bound to the new version that another entry knows, by an entry that is out of step",
            scenario: { versions: ["v1"], peers: four },
            answers: [agrees, { origins: [{ service: "model", softwareVersion: "v2" }] }],
            decision: { kind: "bound", origin: { service: "model", softwareVersion: "v2" } },
        },
        {
            name: "isn't guessed when another entry has known another version only",
            scenario: { versions: ["v1"], peers: four },
            answers: [agrees, { origins: [], onlyVersion: "v2" }, agrees, agrees],
            decision: UNKNOWN,
        },
        {
            name: "has the only version when as many agree as are told of a stream",
            scenario: { versions: ["v1"], peers: four },
            answers: [agrees, doesNotKnow],
            decision: BOUND,
        },
        {
            name: "isn't guessed when fewer have answered",
            scenario: { versions: ["v1"], peers: four },
            answers: [agrees],
            decision: UNKNOWN,
        },
        {
            name: "has the only version that another entry knows",
            scenario: { versions: ["v1"], past: "unreadable", peers: [{}, {}] },
            answers: [doesNotKnow, agrees],
            decision: BOUND,
        },
        {
            name: "isn't guessed while another entry has a later view",
            scenario: { versions: ["v1"], peers: [{ position: { era: 1, revision: 6 } }] },
            decision: UNKNOWN,
        },
        {
            name: "isn't guessed while another entry has a view of a later era",
            scenario: { versions: ["v1"], peers: [{ position: { era: 2, revision: 1 } }] },
            decision: UNKNOWN,
        },
    ];
    vitest.it.each(cases)("$name", async ({ scenario, answers = [], decision }) => {
        const { clock, exchange, sent, receive } = createScenario(scenario);
        const resolving = exchange.resolve(CALL);
        await vitest.vi.waitFor(() => vitest.expect(sent.length).toBeGreaterThanOrEqual(Math.min(1, answers.length)));
        for (const answer of answers) {
            const { question } = sent[0] as { readonly question: number };
            receive({ kind: "stream-origin-answer", question, origins: [], hasSeveral: false, ...answer });
        }
        clock.advance(250);
        const outcome = await resolving;
        vitest.expect(outcome.decision).toEqual(decision);
        vitest.expect(outcome.learntFrom === undefined).toBe(decision === UNKNOWN);
    });

    vitest.it("is asked for, and bound by the first answer that knows it", async () => {
        const { exchange, sent, receive } = createScenario({ versions: ["v1", "v2"], peers: [{}, {}] });
        const resolving = exchange.resolve(CALL);
        vitest.expect(sent).toHaveLength(2);
        vitest.expect(sent[0]).toMatchObject({ kind: "stream-origin-ask", attempt: "a", service: "model" });
        const { question } = sent[0] as { readonly question: number };
        const answer = { kind: "stream-origin-answer" as const, question, hasSeveral: true };
        receive({ ...answer, origins: [] });
        receive({ ...answer, origins: [{ service: "model", softwareVersion: "v1" }] });
        vitest.expect(await resolving).toEqual({ decision: BOUND, learntFrom: "peer-0" });
        vitest.expect(await exchange.resolve(CALL)).toEqual({ decision: BOUND, learntFrom: "memory" });
    });

    vitest.it("is unknown as soon as all that were asked don't know it", async () => {
        const { exchange, sent, receive } = createScenario({ versions: ["v1", "v2"], peers: [{}] });
        const resolving = exchange.resolve(CALL);
        const { question } = sent[0] as { readonly question: number };
        receive({ kind: "stream-origin-answer", question, origins: [], hasSeveral: true });
        vitest.expect((await resolving).decision).toEqual(UNKNOWN);
    });

    vitest.it("isn't asked for at peers that would disconnect at the message", async () => {
        const { exchange, sent } = createScenario({ versions: ["v1", "v2"], peers: [{ isOld: true }] });
        vitest.expect((await exchange.resolve(CALL)).decision).toEqual(UNKNOWN);
        vitest.expect(sent).toEqual([]);
    });

    vitest.it("isn't asked for by a name that is too long for the message", async () => {
        const { clock, exchange, sent } = createScenario({ versions: ["v1", "v2"], peers: [{}] });
        const resolving = exchange.resolve({ ...CALL, attempt: "a".repeat(201) });
        clock.advance(250);
        vitest.expect((await resolving).decision).toEqual(UNKNOWN);
        vitest.expect(sent[0]).not.toHaveProperty("attempt", "a".repeat(201));
    });
});

vitest.describe("the origin of a stream", () => {
    const peers = [{}, {}, {}, {}, {}];
    const cases: readonly { readonly name: string; readonly scenario: Scenario; readonly told: number }[] = [
        { name: "isn't told while there is one version", scenario: { versions: ["v1"], peers }, told: 0 },
        { name: "is told to two entries of many", scenario: { versions: ["v1", "v2"], peers }, told: 2 },
        { name: "is told to the only other one", scenario: { versions: ["v1", "v2"], peers: [{}] }, told: 1 },
    ];
    vitest.it.each(cases)("$name", ({ scenario, told }) => {
        const { exchange, sent } = createScenario(scenario);
        exchange.recordFirstEvent(STREAM);
        exchange.recordFirstEvent(STREAM);
        vitest.expect(sent).toEqual(Array(told).fill({ kind: "stream-origins", streams: [STREAM] }));
    });

    vitest.it("is told while the versions before the start aren't known", () => {
        const { exchange, sent } = createScenario({ versions: ["v1"], past: "unreadable", peers: [{}] });
        exchange.recordFirstEvent(STREAM);
        vitest.expect(sent).toEqual([{ kind: "stream-origins", streams: [STREAM] }]);
    });

    vitest.it("is told when another version appears, with the rest of its lifetime", () => {
        const { clock, exchange, sent, addVersion } = createScenario({ versions: ["v1"], peers: [{}] });
        exchange.recordFirstEvent(STREAM);
        clock.advance(10_000);
        addVersion("v2");
        const streams = [{ ...STREAM, lifetimeMs: 20_000 }];
        vitest.expect(sent).toEqual([{ kind: "stream-origins", streams }]);
    });

    vitest.it("that was told by another entry is known, and answered", async () => {
        const { exchange, sent, receive } = createScenario({ versions: ["v1", "v2"], peers: [{}] });
        receive({ kind: "stream-origins", streams: [STREAM] });
        vitest.expect((await exchange.resolve(CALL)).decision).toEqual(BOUND);
        receive({ kind: "stream-origin-ask", question: 7, attempt: "a", service: "model", lifetimeMs: LIFETIME_MS });
        const known = [{ service: "model", softwareVersion: "v1" }];
        vitest.expect(sent).toEqual([
            { kind: "stream-origin-answer", question: 7, origins: known, hasSeveral: true },
        ]);
    });
});
