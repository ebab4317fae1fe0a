/**
 * Bytes of other entries: frames whose messages have one to three odd fields, after a valid hello or an odd one.
 */
import * as cbor from "cbor-x";
import * as messages from "../src/common/Messages";
import * as randoms from "../src/common/Random";
import * as mutations from "./Mutation";

/** What one entry sends on one connection. */
export interface PeerInput {
    readonly parts: readonly Buffer[];
    readonly end: "half-close" | "reset" | "leave-open";
}

const MAX_FRAMES = 12;
const MAX_CUTS = 4;
const MAX_NAMES = 8;
const PREFIX_BYTES = 4;
/** Size of a number whose decoding takes minutes, and of a list of empty maps that takes all memory. */
const LARGE_CONTENT_BYTES = 3_000_000;

const encoder = new cbor.Encoder({ useRecords: false, mapsAsObjects: true });
const fact = { instance: "odd-1", startedMs: 1_700_000_000_000, ageMs: 10 };
const call = { call: 1, incarnation: 1, request: "r", stage: "s", attempt: 0 };
const load = { limit: 1, active: 0, queued: 0, cold: false, draining: false, expectedMs: 1, models: ["m"] };
const stage = { service: "archive", after: [], pieces: 1, resultBytes: 1_000 };

/** A valid message that says that an entry is there. */
export const PRESENCE = {
    kind: "presence",
    isDraining: false,
    uptimeMs: 5,
    cores: 1,
    hostingMs: 9,
    hostingGroup: 0,
    backlogMs: 1,
    intervalMs: 300,
};
/** A valid message that asks for all that is known of the store. */
export const CONTENT_REQUEST = { kind: "published-fetch", era: 0, revision: 0, acceptsParts: true };

/** A valid message of each kind, and of the same kind with other contents. */
const MESSAGES: readonly Record<string, unknown>[] = [
    {
        kind: "entries",
        entries: [{ instance: "fuzz-9", address: "127.0.0.1:9", failureDomain: "zone-a", silentMs: 0 }],
    },
    PRESENCE,
    CONTENT_REQUEST,
    {
        kind: "published-update",
        era: 0,
        revision: 0,
        isWhole: false,
        items: [{ key: "op/config", era: 0, revision: 0, content: Buffer.from("{}"), parts: Buffer.alloc(16, 1) }],
    },
    { kind: "parts-fetch", request: 1, parts: Buffer.alloc(160, 1) },
    { kind: "parts", request: 1, contents: [Buffer.from("part")] },
    { kind: "stream-origins", streams: [{ attempt: "a", service: "model", softwareVersion: "v1", lifetimeMs: 1_000 }] },
    { kind: "stream-origin-ask", question: 1, attempt: "a", service: "model", lifetimeMs: 1_000 },
    { kind: "stream-origin-answer", question: 1, origins: [], onlyVersion: "v1", hasSeveral: false },
    {
        kind: "stages-run",
        order: 1,
        content: {
            attempt: "fuzz",
            pieceKey: "k",
            stages: [stage, { ...stage, service: "ledger", after: [0] }],
            priority: 1,
            goalMs: 500,
            limitMs: 1_000,
            failureDomain: "zone-a",
            made: [{ stage: 0, piece: 0, handle: "127.0.0.1:9/1", instance: "odd-1", failureDomain: "zone-a" }],
        },
    },
    {
        kind: "stages-made",
        order: 1,
        pieces: [{ stage: 0, piece: 0, handle: "h/1", instance: "i", failureDomain: "z" }],
    },
    { kind: "stages-end", order: 1, handles: ["127.0.0.1:9/1"], code: 1, detail: "d", retryAfterMs: 1 },
    { kind: "stages-cancel", order: 1, keepsResults: false },
    { kind: "stages-release", handles: ["127.0.0.1:9/1", "h", "127.0.0.1:99999/1"] },
    { kind: "instances-leaving", signs: [fact] },
    { kind: "instances-limited", signs: [{ ...fact, perSecond: 5 }] },
    { kind: "instance-speeds", samples: [{ instance: "odd-1", startedMs: 1, logSlowdowns: [0.5] }] },
    {
        kind: "crashes",
        crashes: [{ ...fact, seenAgeMs: 1, parts: ["p"], requests: [{ request: "r", sentAgeMs: 1 }], attempt: "a" }],
        answered: [{ part: "p", ageMs: 1 }],
    },
    { kind: "heartbeat", load, unconfirmedMs: 1, digest: "d" },
    {
        kind: "call",
        ...call,
        team: "t",
        priority: 0,
        remainingMs: 9,
        service: "s",
        operation: "o",
        stream: false,
        offset: 0,
    },
    { kind: "cancel", call: 1 },
    { kind: "query", ...call, ageMs: 1 },
    { kind: "part", call: 1, offset: 0, tokens: ["t"] },
    { kind: "answer", call: 1, code: 1, upstreamMs: 1, queuedMs: 1, tokens: 1, load },
    { kind: "fetch", from: 0 },
    { kind: "delta", from: 0, to: 1, digest: "d", edits: [{ path: ["a"], value: 1 }] },
    { kind: "full", digest: "d", content: {} },
    { kind: "confirm", token: 1, version: 0 },
    { kind: "confirmed", token: 1, slotsVersion: 1 },
];

/** Creates what one entry sends. */
export function createPeerInput(random: randoms.Random): PeerInput {
    const hello = createHello(mutations.pickInteger(random, 1, MAX_NAMES));
    const first = random() < 0.2 ? createOddFrame(random, hello) : encodeFrame({ version: 0, era: 0, message: hello });
    const frames = Array.from({ length: mutations.pickInteger(random, 1, MAX_FRAMES) }, () =>
        random() < 0.05
            ? createRawFrame(random)
            : createOddFrame(random, mutations.pick(random, MESSAGES)));
    const bytes = Buffer.concat([first, ...frames]);
    return {
        parts: mutations.splitBytes(random, random() < 0.1 ? mutations.mutateBytes(random, bytes) : bytes, MAX_CUTS),
        end: mutations.pick(random, ["half-close", "reset", "leave-open", "leave-open"]),
    };
}

/** The hello of an entry of this name. */
export function createHello(number: number): Record<string, unknown> {
    return {
        kind: "hello",
        protocol: messages.PROTOCOL_VERSION,
        role: "entry",
        instance: `fuzz-${number}`,
        failureDomain: "zone-a",
        incarnation: 1,
        address: `127.0.0.1:${number}`,
        knowsStreamOrigins: true,
        knowsCrashes: true,
        knowsLimits: true,
        knowsSpeeds: true,
    };
}

/** Encodes any value as a frame. */
export function encodeFrame(value: unknown): Buffer {
    const content = encoder.encode(value);
    const prefix = Buffer.alloc(PREFIX_BYTES);
    prefix.writeUInt32BE(content.length);
    return Buffer.concat([prefix, content]);
}

/** A frame with an odd message. Updates that would be applied are left out, since entries trust each other's content. */
function createOddFrame(random: randoms.Random, message: Record<string, unknown>): Buffer {
    const envelope = mutations.mutateAccepted(
        random,
        { version: 0, era: 0, message },
        changed => messages.envelopeSchema.safeParse(changed).success,
    );
    const parsed = messages.envelopeSchema.safeParse(envelope);
    const isUpdate = parsed.data?.message.kind === "published-update";
    return isUpdate ? encodeFrame({ version: 0, era: 0, message }) : encodeFrame(envelope);
}

/** Frames that no encoder of messages makes: huge claims, big numbers, references to themselves. */
function createRawFrame(random: randoms.Random): Buffer {
    const content = mutations.pick(random, [
        [0x9b, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff],
        [0x9a, 0x06, 0xb9, 0x5d, 0xa0],
        [0xbb, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff],
        [0x5a, 0xff, 0xff, 0xff, 0xff],
        [0xd8, 0x1c, 0x81, 0xd8, 0x1d, 0x00],
        [0xd8, 0x1b, 0x82, 0x66, 0x52, 0x65, 0x67, 0x45, 0x78, 0x70, 0x61, 0x28],
        [0x9f, 0x9f, 0x9f],
        Array.from({ length: 100_000 }, () => 0x81),
        [0xc2, 0x5a, ...toBytes(LARGE_CONTENT_BYTES)],
        [0x9a, ...toBytes(LARGE_CONTENT_BYTES)],
    ]);
    const isLarge = content.slice(-4).join() === toBytes(LARGE_CONTENT_BYTES).join();
    const fill = content[0] === 0x9a ? 0xa0 : 0xff; // Empty maps, or digits.
    const body = Buffer.concat([Buffer.from(content), Buffer.alloc(isLarge ? LARGE_CONTENT_BYTES : 0, fill)]);
    const prefix = Buffer.alloc(PREFIX_BYTES);
    prefix.writeUInt32BE(random() < 0.1 ? 0xffff_ffff : body.length);
    return Buffer.concat([prefix, body]);
}

function toBytes(value: number): number[] {
    const bytes = Buffer.alloc(4);
    bytes.writeUInt32BE(value);
    return [...bytes];
}
