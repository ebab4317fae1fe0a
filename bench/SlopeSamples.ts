/**
 * Messages and documents of variable size for the measurement of slopes.
 */
import * as configurations from "../src/common/Configuration";
import * as messages from "../src/common/Messages";
import * as ports from "../src/common/Ports";

const FAILURE_DOMAINS = 25;
const REGIONS = 11;
const TEAMS = 240;
const MODELS = 36;
const PIPELINES = 10;
const STAGES = 5;
const SERVICES = 12;

/** Creates the load report of an agent whose engine holds `models` models. */
export function createLoad(models: number): messages.Load {
    const names = Array.from({ length: models }, (_, index) => `model-${index + 1}`);
    return {
        limit: 16,
        active: 11,
        queued: 3,
        cold: false,
        draining: false,
        expectedMs: 412.53125,
        models: names,
    };
}

/** Creates an agent's heartbeat, or, if `models` is undefined, an entry's, which has no load report. */
export function createHeartbeat(models: number | undefined): messages.Heartbeat {
    const load = models === undefined ? undefined : createLoad(models);
    return { kind: "heartbeat", load, unconfirmedMs: 1_234.5678, digest: "0123456789abcdef0123456789abcdef" };
}

/** Creates a call with a text body of `bytes` bytes. */
export function createCall(bytes: number): messages.Call {
    return {
        kind: "call",
        call: 123_456,
        incarnation: 1_796_000_000_000_000,
        request: "00000000-0000-4000-8000-000000000000",
        stage: "generate",
        attempt: 0,
        team: "team-123",
        priority: 5,
        remainingMs: 3_456.789,
        service: "language-models",
        operation: "generate",
        model: "model-17",
        stream: false,
        offset: 0,
        body: { text: "x".repeat(bytes) },
    };
}

/** Creates an answer with a text body of `bytes` bytes. */
export function createAnswer(bytes: number): messages.Answer {
    return {
        kind: "answer",
        call: 123_456,
        code: 1_000,
        body: { text: "x".repeat(bytes) },
        upstreamMs: 123.456,
        queuedMs: 12.345,
        tokens: 100,
        load: createLoad(4),
    };
}

/** Creates a part of a stream with tokens of six characters. */
export function createPart(tokens: number): messages.Part {
    const texts = Array.from({ length: tokens }, (_, index) => ` tok${index % 90 + 10}`);
    return { kind: "part", call: 123_456, offset: 1_000, tokens: texts };
}

/** Creates a configuration of the target scale, with `slots` upstreams distributed over all services. */
export function createConfiguration(version: number, slots: number): configurations.Configuration {
    const createRecord = <T>(prefix: string, count: number, createValue: (index: number) => T): Record<string, T> =>
        Object.fromEntries(Array.from({ length: count }, (_, index) => [`${prefix}-${index + 1}`, createValue(index)]));
    const modelShare = createRecord("model", MODELS, () => 0.05);
    const preset = { retryRatio: 0.1, hedgeRatio: 0.05, shedBelowPriority: 0, teamWeights: {}, modelShare };
    const stages = Array.from({ length: STAGES }, (_, index) => ({
        name: `stage-${index + 1}`,
        service: `service-${index + 1}`,
        operation: "run",
        model: `model-${index + 1}`,
    }));
    return {
        version,
        preset: "ordinary",
        presets: { ordinary: preset, peak: preset, maintenance: preset },
        failureDomains: createRecord("domain", FAILURE_DOMAINS, index => {
            return { region: `region-${index % REGIONS + 1}`, state: "in" as const };
        }),
        teams: createRecord("team", TEAMS, index => ({ weight: 1 + index % 5 })),
        services: createRecord("service", SERVICES, service => ({
            kind: "engine" as const,
            checksFencing: true,
            operations: { run: { idempotent: true, streams: false } },
            warmConcurrency: 16,
            coldConcurrency: 2,
            slots: createSlots(service, Math.ceil(slots / SERVICES)),
        })),
        pipelines: createRecord("pipeline", PIPELINES, () => ({ deadlineMs: 4_000, stages })),
        models: createRecord("model", MODELS, () => ({ weightReads: 4 })),
        keyLifetimeMs: 600_000,
    };
}

/** Returns the next version of the configuration, with one slot taken out of service or put back into service. */
export function toggleSlotState(from: configurations.Configuration): configurations.Configuration {
    const service = from.services["service-1"]!;
    const name = Object.keys(service.slots)[0]!;
    const slot = service.slots[name]!;
    const slots = { ...service.slots, [name]: { ...slot, state: slot.state === "in" ? "out" : "in" } as typeof slot };
    const services = { ...from.services, "service-1": { ...service, slots } };
    return { ...from, version: from.version + 1, services };
}

/** Creates rows of the platform's instance list. */
export function createRows(count: number): ports.ListedInstance[] {
    return Array.from({ length: count }, (_, index) => ({
        instance: `instance-${index + 1}`,
        role: "agent" as const,
        service: `service-${index % SERVICES + 1}`,
        failureDomain: `domain-${index % FAILURE_DOMAINS + 1}`,
        address: `10.${index >> 16 & 255}.${index >> 8 & 255}.${index & 255}:7000`,
        state: "live" as const,
    }));
}

function createSlots(service: number, count: number): configurations.UpstreamService["slots"] {
    return Object.fromEntries(Array.from({ length: count }, (_, index) => {
        const failureDomain = `domain-${index % FAILURE_DOMAINS + 1}`;
        return [`engine-${service + 1}-${index + 1}`, { failureDomain, state: "in" as const }];
    }));
}
