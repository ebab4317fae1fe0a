import * as fc from "fast-check";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as configurations from "../../common/Configuration";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as digests from "../../version/ContentDigest";
import * as samples from "../../version/SampleConfiguration";
import * as replicas from "./ConfigurationReplica";
import * as rejectedVersions from "./RejectedVersions";

const { describe, expect, it } = vitest;

const SEED = 13;

function createContent(version: number, weight = version): configurations.Configuration {
    const configuration = samples.sampleConfiguration(version);
    configuration.teams["team-a"]!.weight = weight;
    return configuration;
}

function createReplica(clock: clocks.Clock = new clocks.ManualClock()): replicas.ConfigurationReplica {
    return new replicas.ConfigurationReplica({ clock, log: logs.silentLog });
}

function createHeartbeat(replica: replicas.ConfigurationReplica): messages.Envelope {
    const digest = replica.current?.digest;
    return {
        version: replica.version,
        message: { kind: "heartbeat", unconfirmedMs: replica.unconfirmedMs, digest },
    };
}

/** Delivers a frame of `from` to `to`, then the answers in both directions until there are no more. */
function exchange(
    from: replicas.ConfigurationReplica,
    to: replicas.ConfigurationReplica,
    first: messages.Envelope = createHeartbeat(from),
): messages.Message[] {
    const sent: messages.Message[] = [];
    const deliver = (
        target: replicas.ConfigurationReplica,
        origin: replicas.ConfigurationReplica,
        envelope: messages.Envelope,
    ) => target.observe(envelope, message => {
        sent.push(message);
        deliver(origin, target, { version: target.version, message });
        return true;
    }, "peer");
    deliver(to, from, first);
    return sent;
}

describe("ConfigurationReplica.offer", () => {
    const invalid = { ...createContent(4), preset: "ghost" };
    const cases: [string, unknown[], (string | number)[], number][] = [
        ["accepts a higher version", [createContent(1), createContent(3)], ["applied", "applied"], 3],
        ["accepts the same content again", [createContent(2), createContent(2)], ["applied", "same"], 2],
        ["ignores a lower version", [createContent(5), createContent(4)], ["applied", 501], 5],
        ["ignores a lower invalid version", [createContent(5), invalid], ["applied", 501], 5],
        ["keeps its content in a conflict", [createContent(2, 1), createContent(2, 9)], ["applied", 502], 2],
        ["treats invalid content of its version as a conflict", [createContent(4), invalid], ["applied", 502], 4],
        ["rejects invalid content completely", [createContent(3), invalid], ["applied", 500], 3],
        ["accepts valid content after invalid", [invalid, createContent(4)], [500, "applied"], 4],
        ["rejects values that aren't documents", [undefined, 5, "x", []], [500, 500, 500, 500], 0],
    ];
    it.each(cases)("%s", (_name, contents, outcomes, version) => {
        const replica = createReplica();
        const results = contents.map(content => {
            const offered = replica.offer(content, "service");
            return offered.isOk ? offered.value : offered.error.code.code;
        });
        expect(results).toEqual(outcomes);
        expect(replica.version).toBe(version);
    });

    it("raises one alarm for each conflict and each rejected version", () => {
        const replica = createReplica();
        const alarms: codes.Failure[] = [];
        replica.onAlarm(alarm => alarms.push(alarm));
        for (const content of [createContent(1, 1), createContent(1, 2), createContent(1, 2), invalid, invalid]) {
            replica.offer(content, "service");
        }
        expect(alarms.map(({ code }) => code.code)).toEqual([502, 500]);
        expect(replica.rejected.map(rejected => rejected.version)).toEqual([4]);
    });
});

describe("ConfigurationReplica.observe", () => {
    it.each([[0, "full"], [1, "delta"], [2, "delta"]])("updates a peer at version %i by a %s message", (base, kind) => {
        const [ahead, behind] = [createReplica(), createReplica()];
        [1, 2, 3, 4].forEach(version => ahead.offer(createContent(version), "service"));
        behind.offer(createContent(base), "service");
        expect(exchange(ahead, behind).map(message => message.kind)).toEqual(["fetch", kind]);
        expect(behind.current?.digest).toBe(ahead.current?.digest);
    });

    it("sends edits to a peer whose version the sender has skipped", () => {
        const [ahead, behind] = [createReplica(), createReplica()];
        [1, 3].forEach(version => ahead.offer(createContent(version), "service"));
        behind.offer(createContent(2), "service");
        expect(exchange(ahead, behind).map(message => message.kind)).toEqual(["fetch", "delta"]);
        expect(behind.version).toBe(3);
    });

    it("fetches the full content after a delta that doesn't apply", () => {
        const [ahead, behind] = [createReplica(), createReplica()];
        [1, 2].forEach(version => ahead.offer(createContent(version), "service"));
        behind.offer({ ...createContent(1), keyLifetimeMs: 5_000 }, "service");
        expect(exchange(ahead, behind).map(message => message.kind)).toEqual(["fetch", "delta", "fetch", "full"]);
        expect(behind.current?.digest).toBe(ahead.current?.digest);
        expect(behind.counters.gaps).toBe(1);
    });

    it("sends no second fetch before the time-out of the first", () => {
        const clock = new clocks.ManualClock();
        const replica = createReplica(clock);
        let sent = 0;
        const observeHeartbeat = () =>
            replica.observe({ version: 5, message: { kind: "heartbeat" } }, () => ++sent > 0, "peer");
        observeHeartbeat();
        observeHeartbeat();
        expect(sent).toBe(1);
        clock.advance(replicas.FETCH_TIMEOUT_MS);
        observeHeartbeat();
        expect(sent).toBe(2);
    });

    it("doesn't fetch a rejected version before the retry time", () => {
        const clock = new clocks.ManualClock();
        const replica = createReplica(clock);
        replica.offer({ ...createContent(5), preset: "ghost" }, "service");
        let sent = 0;
        const observeHeartbeat = () =>
            replica.observe({ version: 5, message: { kind: "heartbeat" } }, () => ++sent > 0, "peer");
        observeHeartbeat();
        expect(sent).toBe(0);
        clock.advance(rejectedVersions.REJECTED_RETRY_MS);
        observeHeartbeat();
        expect(sent).toBe(1);
    });

    it("accepts confirmations only for its own version and digest, and none younger than the peer's", () => {
        const clock = new clocks.ManualClock();
        const [left, right, other] = [createReplica(clock), createReplica(clock), createReplica(clock)];
        left.offer(createContent(2), "service");
        right.offer(createContent(2), "service");
        other.offer(createContent(2, 9), "service");
        left.confirm(0);
        clock.advance(700);
        exchange(left, other);
        expect(other.unconfirmedMs).toBeUndefined();
        expect(other.counters.conflicts).toBe(1);
        exchange(left, right);
        expect(right.unconfirmedMs).toBe(700 + replicas.HOP_AGE_MS);
        right.confirm(900);
        expect(right.unconfirmedMs).toBe(700 + replicas.HOP_AGE_MS);
    });

    it.each([0, 5, 40])("never makes a confirmation younger at a hop between peers, %i ms per hop", delayMs => {
        const clock = new clocks.ManualClock();
        const group = [createReplica(clock), createReplica(clock), createReplica(clock)];
        group.forEach(replica => replica.offer(createContent(2), "service"));
        group[0]!.confirm(0);
        for (let hop = 0; hop < 300; hop++) {
            const envelope = createHeartbeat(group[hop % 3]!);
            clock.advance(delayMs);
            group[(hop + 1) % 3]!.observe(envelope, () => true, "peer");
        }
        group.forEach(replica => expect(replica.unconfirmedMs).toBeGreaterThanOrEqual(300 * delayMs));
    });

    it("ignores confirmations that were waiting during a pause", () => {
        const clock = new clocks.ManualClock();
        const [left, right] = [createReplica(clock), createReplica(clock)];
        [left, right].forEach(replica => replica.offer(createContent(2), "service"));
        left.confirm(0);
        exchange(left, right);
        const waiting = [createHeartbeat(left), createHeartbeat(left)];
        clock.advance(30_000);
        waiting.forEach(envelope => right.observe(envelope, () => true, "peer"));
        expect(right.unconfirmedMs).toBe(30_000 + replicas.HOP_AGE_MS);
        left.confirm(0);
        clock.advance(1_000);
        exchange(left, right);
        expect(right.unconfirmedMs).toBe(1_000 + replicas.HOP_AGE_MS);
    });
});

describe("a group of replicas", () => {
    const SIZE = 4;
    /** For "gossip", `version` is the index of the replica that sends the first frame. */
    const step = fc.oneof(
        fc.record({ kind: fc.constant("publish"), at: fc.nat(SIZE - 1), version: fc.integer({ min: 1, max: 30 }) }),
        fc.record({ kind: fc.constant("restart"), at: fc.nat(SIZE - 1), version: fc.constant(0) }),
        fc.record({ kind: fc.constant("gossip"), at: fc.nat(SIZE - 1), version: fc.nat(SIZE - 1) }),
    );

    it("never lowers a version, and converges once all have exchanged frames", () => {
        fc.assert(
            fc.property(fc.array(step, { maxLength: 60 }), steps => {
                const clock = new clocks.ManualClock();
                const group = Array.from({ length: SIZE }, () => createReplica(clock));
                for (const { kind, at, version } of steps) {
                    const before = group[at]!.version;
                    clock.advance(replicas.FETCH_TIMEOUT_MS);
                    if (kind === "restart") {
                        group[at] = createReplica(clock);
                    }
                    else if (kind === "publish") {
                        group[at]!.offer(createContent(version), "service");
                    }
                    else if (version !== at) {
                        exchange(group[version]!, group[at]!);
                    }
                    expect(kind === "restart" || group[at]!.version >= before).toBe(true);
                }
                const highest = Math.max(...group.map(replica => replica.version));
                for (let round = 0; round < SIZE; round++) {
                    clock.advance(replicas.FETCH_TIMEOUT_MS);
                    group.forEach((replica, index) => exchange(group[(index + 1) % SIZE]!, replica));
                }
                for (const replica of group) {
                    expect(replica.version).toBe(highest);
                    expect(replica.current?.digest).toBe(
                        highest === 0
                            ? undefined
                            : new digests.ContentDigest().summarize(createContent(highest)).digest,
                    );
                }
            }),
            { seed: SEED, numRuns: 300 },
        );
    });
});
