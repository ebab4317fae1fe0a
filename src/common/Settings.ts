/**
 * Schemas of the settings that each process reads from a YAML file. Types are inferred from the schemas.
 */
import * as z from "zod";
import * as configurations from "./Configuration";

/** An IPv4 address and a port. */
const addressSchema = z.string().regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    "an IPv4 address and a port, such as 10.0.0.1:7000",
);

/** Region of an entry whose region isn't stated. */
const UNKNOWN_REGION = "unknown";
/** An unknown number of CPU cores. */
const UNKNOWN_CORES = 0;
/** The time limit of a planned stop, if none is stated. */
const DEFAULT_STOP_LIMIT_SECONDS = 5;
const DEFAULT_MEMORY_MEGABYTES = 256;
const DEFAULT_STORE_READS_PER_SECOND = 2_000;
/** Without a known window, no number of retries is within the bound. */
const NO_RETRIES = { windowSeconds: 10, ratio: 0, slack: 0 };

const repeatsSchema = z.strictObject({
    windowSeconds: z.number().positive().optional(),
    ratio: z.number().min(0).default(0),
    slack: z.number().min(0).default(0),
}).transform(({ windowSeconds, ratio, slack }) =>
    windowSeconds === undefined ? NO_RETRIES : { windowSeconds, ratio, slack }
).prefault({});

/** While parts of the bound aren't known, a cold instance gets its published rate and nothing in addition. */
const coldRateSchema = z.strictObject({
    factor: z.number().min(0).default(1),
    extra: z.number().min(0).default(0),
}).prefault({});

const commonShape = {
    instance: configurations.nameSchema,
    failureDomain: configurations.nameSchema,
    region: configurations.nameSchema,
    /** Listening address for other processes of the system. */
    peerListen: addressSchema,
    /** Listening address for health, readiness, metrics and status by HTTP. */
    adminListen: addressSchema,
    configurationService: addressSchema,
    instanceList: addressSchema,
    logLevel: z.enum(["trace", "debug", "info", "warn", "error", "silent"]).default("info"),
    /** Longest time that a planned stop waits for work in progress. */
    stopLimitMs: z.int().min(0).default(600_000),
};

/** Settings of an entry. */
export const entrySettingsSchema = z.strictObject({
    role: z.literal("entry"),
    ...commonShape,
    /** Listening address for callers. */
    callerListen: addressSchema,
    maxBodyBytes: z.int().min(1).max(4_000_000).default(1_000_000),
    /** Longest time that a caller may take to send a request. */
    requestTimeoutMs: z.int().min(1).default(10_000),
});

/** Settings of an agent. */
export const agentSettingsSchema = z.strictObject({
    role: z.literal("agent"),
    ...commonShape,
    service: configurations.nameSchema,
    /** The upstream that this agent serves. */
    upstream: addressSchema,
    weightStore: addressSchema.optional(),
    /** Maximum number of entries in the at-most-once ledger. */
    ledgerCapacity: z.int().min(1).default(100_000),
});

/** Settings of an entry that serves routed calls. */
export const routeEntrySettingsSchema = z.strictObject({
    role: z.literal("route-entry"),
    instance: configurations.nameSchema,
    failureDomain: configurations.nameSchema,
    region: configurations.nameSchema.default(UNKNOWN_REGION),
    /** Listening address for callers. */
    callerListen: addressSchema,
    /** Listening address and path of the load balancer's readiness check. */
    readyListen: addressSchema,
    readyPath: z.string().startsWith("/").default("/readyz"),
    /** Listening address for other entries. */
    peerListen: addressSchema,
    /** Address that other entries connect to, if it differs from `peerListen`. */
    peerAddress: addressSchema.optional(),
    /** Listening address for health, readiness, metrics and status by HTTP. */
    adminListen: addressSchema,
    /** The published store. */
    store: addressSchema,
    /** Peer addresses of some entries, used to find the others; some may be out of date. */
    seeds: z.array(addressSchema).max(100).default([]),
    /** Failure domains in which entries run; those without a known entry are assumed to have some. */
    failureDomains: z.array(configurations.nameSchema).max(1_000).default([]),
    logLevel: z.enum(["trace", "debug", "info", "warn", "error", "silent"]).default("info"),
    /** Whether all entries of the deployment are being started for the first time. */
    isFirstStart: z.boolean().default(false),
    /** CPU cores available to the process; entries with more of them are preferred as stage host. */
    cores: z.number().positive().default(UNKNOWN_CORES),
    /** Longest time that a planned stop may take. */
    stopLimitSeconds: z.number().min(1).default(DEFAULT_STOP_LIMIT_SECONDS),
    /** Limit on retries at a service, from all entries: `ratio` per first call in the window, plus `slack`. */
    repeats: repeatsSchema,
    /** Calls per second to a cold instance, from all entries: `factor` times its published rate, plus `extra`. */
    coldRate: coldRateSchema,
    /** Memory available to the process; the bytes of bodies and answers that it holds at once follow from it. */
    memoryMegabytes: z.number().positive().default(DEFAULT_MEMORY_MEGABYTES),
    /** Descriptors available to the process, if they are fewer than the operating system's limit. */
    maxDescriptors: z.int().positive().optional(),
    /** Reading calls per second that the store allows all entries. */
    storeReadsPerSecond: z.number().positive().default(DEFAULT_STORE_READS_PER_SECOND),
});

/** Settings of any role, discriminated by `role`. */
export const settingsSchema = z.discriminatedUnion("role", [
    entrySettingsSchema,
    agentSettingsSchema,
    routeEntrySettingsSchema,
]);

/** Validated settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Validated settings of an agent. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
/** Validated settings of an entry that serves routed calls. */
export type RouteEntrySettings = z.infer<typeof routeEntrySettingsSchema>;
/** Validated settings of any role. */
export type Settings = z.infer<typeof settingsSchema>;
