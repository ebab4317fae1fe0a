/**
 * Schemas of the configuration that operators publish; types are inferred from them. A process gets it from the
 * platform's configuration service or from another process of the system.
 */
import * as z from "zod";

const NAME_MAX_LENGTH = 128;

/** Names of instances, failure domains, teams, services and so on. */
export const nameSchema = z.string().min(1).max(NAME_MAX_LENGTH).regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/);

/** In service, or out of service and without new work. */
const serviceStateSchema = z.enum(["in", "out"]);

const presetSchema = z.strictObject({
    /** Share of requests that may be retried, 0 to 1. */
    retryRatio: z.number().min(0).max(1),
    /** Share of requests that may be hedged, 0 to 1; 0 disables hedging. */
    hedgeRatio: z.number().min(0).max(1),
    /** Requests below this priority are rejected under overload. */
    shedBelowPriority: z.int().min(0).max(9),
    /** Factors for the teams' weights; 1 for teams not listed. */
    teamWeights: z.record(nameSchema, z.number().positive()).default({}),
    /** Share of each engine service's slots that should hold a model, 0 to 1. */
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
    /** Whether running a call twice has the same effect as running it once. */
    idempotent: z.boolean(),
    /** Whether the answer is a stream of tokens. */
    streams: z.boolean().default(false),
});

const upstreamServiceSchema = z.strictObject({
    kind: z.enum(["engine", "plain"]),
    /** Whether the upstreams reject orders with an outdated fencing token. */
    checksFencing: z.boolean().default(false),
    operations: z.record(nameSchema, operationSchema),
    /** Concurrency that a warm upstream sustains. */
    warmConcurrency: z.int().min(1).max(100_000),
    /** Concurrency that an upstream sustains right after its start. */
    coldConcurrency: z.int().min(1).max(100_000),
    /** Calls that an upstream must complete after its start before its limit rises; undefined for the default. */
    coldCalls: z.int().min(0).max(100_000).optional(),
    /** The upstreams of the service, by instance name. */
    slots: z.record(nameSchema, slotSchema),
});

const stageSchema = z.strictObject({
    name: nameSchema,
    service: nameSchema,
    operation: nameSchema,
    /** Model that the engine must hold. */
    model: nameSchema.optional(),
});

const pipelineSchema = z.strictObject({
    deadlineMs: z.int().min(1).max(600_000),
    stages: z.array(stageSchema).min(1).max(16),
});

const teamSchema = z.strictObject({ weight: z.number().positive().max(1_000_000) });

/** The complete published document. */
export const configurationSchema = z.strictObject({
    version: z.int().min(1),
    /** Name of the preset in force. */
    preset: nameSchema,
    presets: z.record(nameSchema, presetSchema),
    failureDomains: z.record(nameSchema, failureDomainSchema),
    teams: z.record(nameSchema, teamSchema),
    services: z.record(nameSchema, upstreamServiceSchema),
    pipelines: z.record(nameSchema, pipelineSchema),
    /** Models by name; `weightReads` is the number of weight-store reads that loading one takes. */
    models: z.record(nameSchema, z.strictObject({ weightReads: z.int().min(1) })).default({}),
    /** How long a caller may retry with the same idempotency key. */
    keyLifetimeMs: z.int().min(1_000).max(86_400_000).default(600_000),
});

/** A published document with its defaults filled in. */
export type Configuration = z.infer<typeof configurationSchema>;
/** Shares, budgets and weights that operators switch together. */
export type Preset = z.infer<typeof presetSchema>;
/** A service: its operations, the concurrency that its upstreams sustain, and its slots. */
export type UpstreamService = z.infer<typeof upstreamServiceSchema>;
/** One operation of a service. */
export type Operation = z.infer<typeof operationSchema>;
/** Stages that run one after another under a common deadline. */
export type Pipeline = z.infer<typeof pipelineSchema>;
/** One step of a pipeline. */
export type Stage = z.infer<typeof stageSchema>;

/** Which is out of service: the upstream itself (also if unknown) or its failure domain; undefined if neither is. */
export function findOutOfService(
    configuration: Configuration,
    service: string,
    slot: string,
): "upstream" | "failure-domain" | undefined {
    const publishedSlot = configuration.services[service]?.slots[slot];
    if (publishedSlot === undefined || publishedSlot.state === "out") {
        return "upstream";
    }
    return configuration.failureDomains[publishedSlot.failureDomain]?.state === "in" ? undefined : "failure-domain";
}

/** Finds a published operation; undefined if there is no such service or operation. */
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
