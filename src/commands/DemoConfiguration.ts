/**
 * The published configuration of the demo: two failure domains, a pipeline of four stages, and a plain service
 * with a non-idempotent operation.
 */
import * as crypto from "node:crypto";
import * as clocks from "../common/Clock";
import * as configurations from "../common/Configuration";

const UUID_VERSION_7 = 0x70;
const UUID_VARIANT = 0x80;

function createSlots(prefix: string): Record<string, { failureDomain: string }> {
    return { [`${prefix}-1`]: { failureDomain: "zone-a" }, [`${prefix}-2`]: { failureDomain: "zone-b" } };
}

function createPlainService(prefix: string, operation: string): unknown {
    return {
        kind: "plain",
        operations: { [operation]: { idempotent: true } },
        warmConcurrency: 32,
        coldConcurrency: 8,
        slots: createSlots(prefix),
    };
}

/** The configuration, with the schema's defaults filled in. */
export const demoConfiguration: configurations.Configuration = configurations.configurationSchema.parse({
    version: 1,
    preset: "ordinary",
    presets: {
        ordinary: { retryRatio: 0.2, hedgeRatio: 0, shedBelowPriority: 0 },
        peak: { retryRatio: 0.1, hedgeRatio: 0, shedBelowPriority: 3 },
        maintenance: { retryRatio: 0.2, hedgeRatio: 0, shedBelowPriority: 0 },
    },
    failureDomains: { "zone-a": { region: "local" }, "zone-b": { region: "local" } },
    teams: { bench: { weight: 2 }, office: { weight: 1 } },
    models: { drafting: { weightReads: 1 } },
    services: {
        encoders: createPlainService("encoder", "encode"),
        retrievers: createPlainService("retriever", "retrieve"),
        rerankers: createPlainService("reranker", "rerank"),
        engines: {
            kind: "engine",
            operations: { generate: { idempotent: true, streams: true } },
            warmConcurrency: 16,
            coldConcurrency: 4,
            slots: createSlots("engine"),
        },
        bookings: {
            kind: "plain",
            operations: { book: { idempotent: false }, lookup: { idempotent: true } },
            warmConcurrency: 16,
            coldConcurrency: 4,
            slots: createSlots("booking"),
        },
    },
    pipelines: {
        report: {
            deadlineMs: 4_000,
            stages: [
                { name: "encode", service: "encoders", operation: "encode" },
                { name: "retrieve", service: "retrievers", operation: "retrieve" },
                { name: "rerank", service: "rerankers", operation: "rerank" },
                { name: "generate", service: "engines", operation: "generate", model: "drafting" },
            ],
        },
    },
});

/** Creates an idempotency key that contains its creation time (UUID version 7). */
export function createTimeOrderedKey(): string {
    const bytes = crypto.randomBytes(16);
    bytes.writeUIntBE(Math.floor(clocks.systemClock.wall()), 0, 6);
    bytes[6] = (bytes[6]! & 0x0f) | UUID_VERSION_7;
    bytes[8] = (bytes[8]! & 0x3f) | UUID_VARIANT;
    const hex = bytes.toString("hex");
    return [hex.slice(0, 8), hex.slice(8, 12), hex.slice(12, 16), hex.slice(16, 20), hex.slice(20)].join("-");
}
