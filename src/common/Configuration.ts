/**
 * The document that operators publish. Shapes are zod schemas; types are inferred from them.
 * Source: the platform's configuration service, or another process of the system.
 */
import * as z from "zod";

const NAME_MAX_LENGTH = 128;

/** Names of instances, failure domains, teams, services and so on. */
export const nameSchema = z.string().min(1).max(NAME_MAX_LENGTH).regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/);

const serviceStateSchema = z.enum(["in", "out"]);

const presetSchema = z.strictObject({
    /** Share of requests that may be retried, 0 to 1. */
    retryRatio: z.number().min(0).max(1),
    /** Share of requests that may be hedged, 0 to 1; 0 turns hedging off. */
    hedgeRatio: z.number().min(0).max(1),
    /** Requests below this priority are refused under overload. */
    shedBelowPriority: z.int().min(0).max(9),
    /** Multiplies each team's weight; teams not named keep 1. */
    teamWeights: z.record(nameSchema, z.number().positive()).default({}),
    /** Share of each engine service's slots that hold each model, 0 to 1. */
    modelShare: z.record(nameSchema, z.number().min(0).max(1)).default({}),
});

const failureDomainSchema = z.strictObject({
    region: nameSchema,
    state: serviceStateSchema.default("in"),
});

const slotSchema = z.strictObject({
    failureDomain: nameSchema,
    state: serviceStateSchema.default("in"),
});

const operationSchema = z.strictObject({
    /** Whether running a call twice has the effect of running it once. */
    idempotent: z.boolean(),
    /** Whether the answer is a stream of tokens. */
    streams: z.boolean().default(false),
});

const upstreamServiceSchema = z.strictObject({
    kind: z.enum(["engine", "plain"]),
    /** Whether the upstreams refuse orders with an old fencing number. */
    checksFencing: z.boolean().default(false),
    operations: z.record(nameSchema, operationSchema),
    /** Concurrency that a warm upstream bears. */
    warmConcurrency: z.int().min(1).max(100_000),
    /** Concurrency that an upstream bears right after its start. */
    coldConcurrency: z.int().min(1).max(100_000),
    /** Calls that an upstream completes after its start before it bears more; undefined for the default. */
    coldCalls: z.int().min(0).max(100_000).optional(),
    /** The upstreams of the service by instance name. */
    slots: z.record(nameSchema, slotSchema),
});

const stageSchema = z.strictObject({
    name: nameSchema,
    service: nameSchema,
    operation: nameSchema,
    /** Model that an engine must hold. */
    model: nameSchema.optional(),
});

const pipelineSchema = z.strictObject({
    deadlineMs: z.int().min(1).max(600_000),
    stages: z.array(stageSchema).min(1).max(16),
});

const teamSchema = z.strictObject({ weight: z.number().positive().max(1_000_000) });

/** The whole published document. */
export const configurationSchema = z.strictObject({
    version: z.int().min(1),
    /** Name of the preset in force. */
    preset: nameSchema,
    presets: z.record(nameSchema, presetSchema),
    failureDomains: z.record(nameSchema, failureDomainSchema),
    teams: z.record(nameSchema, teamSchema),
    services: z.record(nameSchema, upstreamServiceSchema),
    pipelines: z.record(nameSchema, pipelineSchema),
    /** Models by name, with the number of reads their weights take from the weight store. */
    models: z.record(nameSchema, z.strictObject({ weightReads: z.int().min(1) })).default({}),
    /** How long a caller may retry with the same idempotency key. */
    keyLifetimeMs: z.int().min(1_000).max(86_400_000).default(600_000),
});

/** A published document with its defaults filled in. */
export type Configuration = z.infer<typeof configurationSchema>;
/** Shares, budgets and weights that operators switch as one. */
export type Preset = z.infer<typeof presetSchema>;
/** A service: its operations, the concurrency its upstreams bear, and its slots. */
export type UpstreamService = z.infer<typeof upstreamServiceSchema>;
/** One operation of a service. */
export type Operation = z.infer<typeof operationSchema>;
/** Stages under one deadline, in milliseconds. */
export type Pipeline = z.infer<typeof pipelineSchema>;
/** One step of a pipeline. */
export type Stage = z.infer<typeof stageSchema>;

/** Why the upstream instance takes no work under this configuration; undefined when it does. */
export function findOutOfService(
    configuration: Configuration,
    service: string,
    slot: string,
): "upstream" | "failure-domain" | undefined {
    const entry = configuration.services[service]?.slots[slot];
    if (entry === undefined || entry.state === "out") {
        return "upstream";
    }
    return configuration.failureDomains[entry.failureDomain]?.state === "in" ? undefined : "failure-domain";
}

/** Finds a published operation; undefined when the service or the operation has no such name. */
export function findOperation(
    configuration: Configuration | undefined,
    service: string,
    operation: string,
): Operation | undefined {
    const services = configuration?.services ?? {};
    const operations = Object.hasOwn(services, service) ? services[service]!.operations : {};
    return Object.hasOwn(operations, operation) ? operations[operation] : undefined;
}

/** The preset in force. */
export function findPreset(
    configuration: Configuration | undefined,
): Preset | undefined {
    return configuration?.presets[configuration.preset];
}

/** The weight of a team under the preset in force. */
export function findWeight(configuration: Configuration | undefined, team: string): number {
    const weight = configuration?.teams[team]?.weight ?? 1;
    return weight * (findPreset(configuration)?.teamWeights[team] ?? 1);
}
