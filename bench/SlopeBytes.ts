/**
 * Sizes of the frames between processes, and of the documents that they read.
 */
import * as messages from "../src/common/Messages";
import * as frames from "../src/connection/FrameCodec";
import * as deltas from "../src/version/ConfigurationDelta";
import * as slopes from "./Slope";
import * as samples from "./SlopeSamples";

const VERSION = 1_000_000;
const BODY_SIZES = [128, 512, 4_096, 32_768];
const SLOT_COUNTS = [120, 1_200, 6_000, 12_000];
const ROW_COUNTS = [130, 1_300, 12_900];

function measureFrameBytes(message: messages.Message): number {
    return frames.encodeFrame({ version: VERSION, message }).length;
}

function createDelta(edits: number): messages.Delta {
    const edit = { path: ["services", "service-1", "slots", "engine-1-100", "state"], value: "out" };
    const digest = "0123456789abcdef0123456789abcdef";
    return { kind: "delta", from: VERSION - 1, to: VERSION, digest, edits: Array<messages.Edit>(edits).fill(edit) };
}

export function measureAll(): slopes.Slope[] {
    const createSlope = slopes.createSlopesIn("B");
    return [
        createSlope(
            "b_beat",
            "heartbeat of an agent",
            "model held",
            [0, 4, 12, 36],
            models => measureFrameBytes(samples.createHeartbeat(models)),
        ),
        createSlope(
            "b_beat_entry",
            "heartbeat of an entry",
            "(constant)",
            [0, 1, 2],
            () => measureFrameBytes(samples.createHeartbeat(undefined)),
        ),
        createSlope(
            "b_call",
            "frame of a call",
            "body byte",
            BODY_SIZES,
            size => measureFrameBytes(samples.createCall(size)),
        ),
        createSlope(
            "b_answer",
            "frame of an answer",
            "body byte",
            BODY_SIZES,
            size => measureFrameBytes(samples.createAnswer(size)),
        ),
        createSlope(
            "b_part",
            "frame of a stream's part",
            "token",
            [1, 4, 16, 64],
            size => measureFrameBytes(samples.createPart(size)),
        ),
        createSlope(
            "b_delta",
            "frame of a delta",
            "edit",
            [1, 4, 16, 64],
            size => measureFrameBytes(createDelta(size)),
        ),
        createSlope(
            "b_fetch",
            "frame of a fetch",
            "(constant)",
            [1, 1_000, 100_000],
            from => measureFrameBytes({ kind: "fetch", from: VERSION - from }),
        ),
        createSlope(
            "b_config",
            "configuration as JSON",
            "slot",
            SLOT_COUNTS,
            size => deltas.canonicalize(samples.createConfiguration(VERSION, size)).length,
        ),
        createSlope(
            "b_full",
            "frame of a full content",
            "slot",
            SLOT_COUNTS,
            size =>
                measureFrameBytes({ kind: "full", digest: "", content: samples.createConfiguration(VERSION, size) }),
        ),
        createSlope(
            "b_list",
            "instance list as JSON",
            "row",
            ROW_COUNTS,
            size => JSON.stringify(samples.createRows(size)).length,
        ),
    ];
}
