/**
 * Parses a configuration that shares most of its records with one that passed the schema. Records that are the same
 * objects aren't parsed again.
 */
import * as z from "zod";
import * as configurations from "../common/Configuration";
import * as deltas from "./ConfigurationDelta";

type Entries = Record<string, unknown>;
/** Parses one entry of a record; undefined if it fails the schema. */
type EntryParser<T> = (name: string, value: unknown, before: T | undefined) => T | undefined;

const EMPTY: Entries = {};
const schemas = configurations.configurationSchema.shape;
const serviceSchema = schemas.services.valueType;

/** Parses `content`, fills in defaults and shares records with `base`; undefined if any part fails the schema. */
export function parseChange(
    base: configurations.Configuration,
    content: unknown,
): configurations.Configuration | undefined {
    if (!deltas.isRecord(content)) {
        return undefined;
    }
    const presets = parseRecord(base.presets, content["presets"], createEntryParser(schemas.presets.valueType));
    const failureDomains = parseRecord(
        base.failureDomains,
        content["failureDomains"],
        createEntryParser(schemas.failureDomains.valueType),
    );
    const teams = parseRecord(base.teams, content["teams"], createEntryParser(schemas.teams.valueType));
    const pipelines = parseRecord(base.pipelines, content["pipelines"], createEntryParser(schemas.pipelines.valueType));
    const models = parseRecord(base.models, content["models"], createEntryParser(schemas.models.unwrap().valueType));
    const services = parseRecord(base.services, content["services"], parseService);
    if (!presets || !failureDomains || !teams || !pipelines || !models || !services) {
        return undefined;
    }
    const emptyRecords = { presets: EMPTY, failureDomains: EMPTY, teams: EMPTY, pipelines: EMPTY, models: EMPTY };
    const rest = configurations.configurationSchema.safeParse({ ...content, ...emptyRecords, services: EMPTY });
    return rest.success
        ? { ...rest.data, presets, failureDomains, teams, pipelines, models, services }
        : undefined;
}

/**
 * Parses the entries that aren't the same objects as before. Returns the record itself if parsing doesn't change
 * it, so that later comparisons by identity succeed.
 */
function parseRecord<T>(
    before: Readonly<Record<string, T>>,
    value: unknown,
    parseEntry: EntryParser<T>,
): Record<string, T> | undefined {
    if (value === before) {
        return before;
    }
    if (!deltas.isRecord(value)) {
        return undefined;
    }
    let withDefaults: Entries | undefined;
    for (const name of Object.keys(value)) {
        const previous = Object.hasOwn(before, name) ? before[name] : undefined;
        if (previous !== undefined && value[name] === previous) {
            continue;
        }
        const entry = parseEntry(name, value[name], previous);
        if (entry === undefined) {
            return undefined;
        }
        if (entry !== value[name] && deltas.canonicalize(entry) !== deltas.canonicalize(value[name])) {
            withDefaults ??= { ...value };
            withDefaults[name] = entry;
        }
    }
    return (withDefaults ?? value) as Record<string, T>;
}

function createEntryParser<T>(schema: z.ZodType<T>): EntryParser<T> {
    return (name, value) => {
        const parsed = schema.safeParse(value);
        return parsed.success && isName(name) ? parsed.data : undefined;
    };
}

/** Parses a service. Its slots are compared one by one as well, since there may be thousands. */
function parseService(
    name: string,
    value: unknown,
    before: configurations.UpstreamService | undefined,
): configurations.UpstreamService | undefined {
    if (!deltas.isRecord(value)) {
        return undefined;
    }
    const rest = serviceSchema.safeParse({ ...value, slots: EMPTY });
    const slots = parseRecord(
        before?.slots ?? {},
        value["slots"],
        createEntryParser(serviceSchema.shape.slots.valueType),
    );
    if (!rest.success || slots === undefined || !isName(name)) {
        return undefined;
    }
    const hasAllDefaults = slots === value["slots"] && Object.keys(rest.data).every(key => Object.hasOwn(value, key));
    return hasAllDefaults ? value as unknown as configurations.UpstreamService : { ...rest.data, slots };
}

function isName(name: string): boolean {
    return configurations.nameSchema.safeParse(name).success;
}
