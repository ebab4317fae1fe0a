/**
 * The settings of each process, from a YAML file. Types are inferred from the schemas.
 */
import * as z from "zod";
import * as configurations from "./Configuration";

/** An IPv4 number and a port. */
const addressSchema = z.string().regex(
    /^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/,
    "expected an IP number and a port, as 10.0.0.1:7000",
);

const commonShape = {
    instance: configurations.nameSchema,
    failureDomain: configurations.nameSchema,
    region: configurations.nameSchema,
    /** Where other processes of the system connect. */
    peerListen: addressSchema,
    /** Health, readiness, metrics and status by HTTP. */
    adminListen: addressSchema,
    configurationService: addressSchema,
    instanceList: addressSchema,
    logLevel: z.enum(["trace", "debug", "info", "warn", "error", "silent"]).default("info"),
    /** Longest time a planned stop waits for work under way. */
    stopLimitMs: z.int().min(0).default(600_000),
};

/** Settings of an entry. */
export const entrySettingsSchema = z.strictObject({
    role: z.literal("entry"),
    ...commonShape,
    /** Where callers connect. */
    callerListen: addressSchema,
    maxBodyBytes: z.int().min(1).max(4_000_000).default(1_000_000),
    /** Longest time a caller may take to send a request. */
    requestTimeoutMs: z.int().min(1).default(10_000),
});

/** Settings of an agent. */
export const agentSettingsSchema = z.strictObject({
    role: z.literal("agent"),
    ...commonShape,
    service: configurations.nameSchema,
    /** The upstream that this agent stands beside. */
    upstream: addressSchema,
    weightStore: addressSchema.optional(),
    /** Most entries that the at-most-once ledger holds. */
    ledgerCapacity: z.int().min(1).default(100_000),
});

/** Settings of an entry that serves routed calls. */
export const routeEntrySettingsSchema = z.strictObject({
    role: z.literal("route-entry"),
    instance: configurations.nameSchema,
    failureDomain: configurations.nameSchema,
    region: configurations.nameSchema,
    /** Where callers connect. */
    callerListen: addressSchema,
    /** Where the balancer asks whether the process is ready, and the path that it asks for. */
    readyListen: addressSchema,
    readyPath: z.string().startsWith("/").default("/readyz"),
    /** Where this process listens for other entries. */
    peerListen: addressSchema,
    /** Where other entries connect, when that isn't `peerListen` itself. */
    peerAddress: addressSchema.optional(),
    /** Health, readiness, metrics and status by HTTP. */
    adminListen: addressSchema,
    /** The published store. */
    store: addressSchema,
    /** Peer addresses of some entries, perhaps stale. */
    seeds: z.array(addressSchema).max(100),
    logLevel: z.enum(["trace", "debug", "info", "warn", "error", "silent"]).default("info"),
    /** Processor time that the process has, in cores; entries with more of it do common work. */
    cores: z.number().positive().default(1),
    /** Longest time that a planned stop may take. */
    stopLimitSeconds: z.number().min(1),
    /** Bound on repeated calls at a service, for all entries together. */
    repeats: z.strictObject({
        windowSeconds: z.number().positive(),
        ratio: z.number().min(0),
        slack: z.number().min(0),
    }),
    /** How far above its published rate a cold instance may be driven, for all entries together. */
    coldRate: z.strictObject({ factor: z.number().min(0), extra: z.number().min(0) }),
});

/** Settings of each role, told apart by `role`. */
export const settingsSchema = z.discriminatedUnion("role", [
    entrySettingsSchema,
    agentSettingsSchema,
    routeEntrySettingsSchema,
]);

/** Checked settings of an entry. */
export type EntrySettings = z.infer<typeof entrySettingsSchema>;
/** Checked settings of an agent. */
export type AgentSettings = z.infer<typeof agentSettingsSchema>;
/** Checked settings of an entry that serves routed calls. */
export type RouteEntrySettings = z.infer<typeof routeEntrySettingsSchema>;
/** Checked settings of any role. */
export type Settings = z.infer<typeof settingsSchema>;
