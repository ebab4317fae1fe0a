/**
 * CPU time of control operations and of the processing of a request.
 */
import * as clocks from "../src/common/Clock";
import * as configurations from "../src/common/Configuration";
import * as logs from "../src/common/Log";
import * as messages from "../src/common/Messages";
import * as randoms from "../src/common/Random";
import * as frames from "../src/connection/FrameCodec";
import * as instanceLists from "../src/process/adapters/InstanceListService";
import * as choices from "../src/process/choice/UpstreamChoice";
import * as replicas from "../src/process/configuration/ConfigurationReplica";
import * as watcherChoices from "../src/process/configuration/WatcherChoice";
import * as memberships from "../src/process/membership/Membership";
import * as deltas from "../src/version/ConfigurationDelta";
import * as digests from "../src/version/ContentDigest";
import * as placements from "../src/version/Placement";
import * as slopes from "./Slope";
import * as samples from "./SlopeSamples";

const BODY_SIZES = [128, 4_096, 32_768];
const SLOT_COUNTS = [120, 1_200, 6_000, 12_000];
const ROW_COUNTS = [130, 1_300, 12_900];
const CANDIDATE_COUNTS = [4, 8, 16, 32];
const SERVICE = "service-1";
/** Total work of the measured deltas; each costs the number of slots of its configuration plus a fixed part. */
const TOTAL_DELTA_WORK_SLOTS = 250_000;
const FIXED_DELTA_WORK_SLOTS = 500;
const SEED = 7;

function createRoundTrip(message: messages.Message): () => void {
    const decoder = new frames.FrameDecoder();
    return () => void decoder.push(frames.encodeFrame({ version: 1, message }));
}

function createReplica(slots: number): replicas.ConfigurationReplica {
    const replica = new replicas.ConfigurationReplica({ clock: clocks.systemClock, log: logs.silentLog });
    replica.offer(samples.createConfiguration(1, slots), "bench");
    return replica;
}

/** Measures a replica's application of a delta with one edit, with its validation and digest. */
function measureDelta(slots: number): number {
    const first = createReplica(slots).current!.configuration;
    const deltaMessages = createDeltas(first, Math.ceil(TOTAL_DELTA_WORK_SLOTS / (slots + FIXED_DELTA_WORK_SLOTS)));
    applyDeltas(createReplica(slots), deltaMessages);
    const replica = createReplica(slots);
    const start = process.cpuUsage();
    applyDeltas(replica, deltaMessages);
    const { user, system } = process.cpuUsage(start);
    return (user + system) / deltaMessages.length;
}

function applyDeltas(replica: replicas.ConfigurationReplica, deltaMessages: readonly messages.Delta[]): void {
    for (const message of deltaMessages) {
        replica.observe({ version: message.to, message }, () => true, "peer");
    }
}

function createDeltas(first: configurations.Configuration, count: number): messages.Delta[] {
    const contentDigest = new digests.ContentDigest();
    const deltaMessages: messages.Delta[] = [];
    let from = first;
    for (let index = 0; index < count; index++) {
        const to = samples.toggleSlotState(from);
        const edits = deltas.diff(from, to);
        const { digest } = contentDigest.summarize(to);
        deltaMessages.push({ kind: "delta", from: from.version, to: to.version, digest, edits });
        from = to;
    }
    return deltaMessages;
}

/** Measures the reading of a full document, with its validation, digest and comparison with the version in force. */
function measureDocument(slots: number): number {
    const replica = createReplica(slots);
    return slopes.measureCpuMicros(() => {
        replica.offer(samples.toggleSlotState(replica.current!.configuration), "bench");
    });
}

function measureUpstreamChoice(candidates: number): number {
    const random = randoms.createRandom(SEED);
    const options = { clock: clocks.systemClock, random, failureDomain: "domain-1", region: "region-1" };
    const choice = new choices.UpstreamChoice(options);
    const request = {
        service: SERVICE,
        operation: "run",
        model: "model-1",
        avoidInstances: new Set<string>(),
        avoidDomains: new Set<string>(),
        candidates: Array.from({ length: candidates }, (_, index) => ({
            instance: `engine-${index}`,
            failureDomain: `domain-${index % 4}`,
            region: "region-1",
            load: samples.createLoad(4),
            pending: 0,
        })),
    };
    return slopes.measureCpuMicros(() => repeat(100, () => choice.choose(request))) / 100;
}

function measurePlacement(slots: number): number {
    const configuration = samples.createConfiguration(1, slots);
    const names = Object.keys(configuration.services[SERVICE]!.slots);
    const live = new Set(names.slice(0, 9));
    const held = new Set(["model-1", "model-2"]);
    const inputs = { configuration, service: SERVICE, slot: names[0]!, live, held };
    return slopes.measureCpuMicros(() => placements.findWantedModels(inputs));
}

function createMembership(): memberships.Membership {
    const options = { clock: clocks.systemClock, self: "self", failureDomain: "domain-1", region: "region-1" };
    return new memberships.Membership(options);
}

/** Measures one read of an unchanged instance list: parsing, schema validation and update of the membership. */
function measureInstanceListRead(rows: number): number {
    const text = JSON.stringify(samples.createRows(rows));
    const membership = createMembership();
    return slopes.measureCpuMicros(() => {
        membership.updateList(instanceLists.listSchema.parse(JSON.parse(text)));
    });
}

/** Measures the new selection of the subsets after the view has changed. */
function measureSubsetSelection(rows: number): number {
    const membership = createMembership();
    membership.updateList(samples.createRows(rows));
    let incarnation = 1;
    return slopes.measureCpuMicros(() => {
        const hello = { kind: "hello" as const, protocol: 1, role: "agent" as const, instance: "instance-1" };
        const agentFields = { failureDomain: "domain-1", incarnation: incarnation++, service: SERVICE };
        membership.noteConnected({ ...hello, ...agentFields });
        membership.agents(SERVICE);
        membership.peers(4);
    });
}

function measureWatcherChoice(instances: number): number {
    const names = samples.createRows(instances).map(row => row.instance);
    const choice = new watcherChoices.WatcherChoice("self", 8);
    let epoch = 0;
    return slopes.measureCpuMicros(() => choice.isChosen(names, epoch++));
}

/** Measures one heartbeat: encoding, decoding and comparison of the digests. */
function measureHeartbeat(models: number): number {
    const replica = createReplica(120);
    const digest = replica.current!.digest;
    const message = { ...samples.createHeartbeat(models), digest };
    const decoder = new frames.FrameDecoder();
    return slopes.measureCpuMicros(() => {
        decoder.push(frames.encodeFrame({ version: 1, message }));
        replica.observe({ version: 1, message }, () => true, "peer");
    });
}

function repeat(count: number, work: () => void): void {
    for (let index = 0; index < count; index++) {
        work();
    }
}

export function measureAll(): slopes.Slope[] {
    const createSlope = slopes.createSlopesIn("us");
    const measureRoundTrip = (message: messages.Message): number => slopes.measureCpuMicros(createRoundTrip(message));
    return [
        createSlope("t_choice", "routing decision", "candidate", CANDIDATE_COUNTS, measureUpstreamChoice),
        createSlope(
            "t_call",
            "encoding and decoding a call",
            "body byte",
            BODY_SIZES,
            size => measureRoundTrip(samples.createCall(size)),
        ),
        createSlope(
            "t_answer",
            "encoding and decoding an answer",
            "body byte",
            BODY_SIZES,
            size => measureRoundTrip(samples.createAnswer(size)),
        ),
        createSlope(
            "t_part",
            "encoding and decoding a stream's part",
            "token",
            [1, 4, 16, 64],
            size => measureRoundTrip(samples.createPart(size)),
        ),
        createSlope("t_beat", "heartbeat, both sides", "model held", [0, 4, 12, 36], measureHeartbeat),
        createSlope("t_delta", "delta of one edit applied", "slot", SLOT_COUNTS, measureDelta),
        createSlope("t_document", "document read from the service", "slot", SLOT_COUNTS, measureDocument),
        createSlope("t_list", "instance list read, unchanged", "row", ROW_COUNTS, measureInstanceListRead),
        createSlope("t_subset", "subsets after a change of the view", "row", ROW_COUNTS, measureSubsetSelection),
        createSlope("t_watcher", "choice of the watchers, once an epoch", "instance", ROW_COUNTS, measureWatcherChoice),
        createSlope("t_place", "placement of one engine", "slot", SLOT_COUNTS, measurePlacement),
    ];
}
