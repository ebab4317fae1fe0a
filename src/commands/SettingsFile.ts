/**
 * Reads YAML files with settings or published configurations.
 */
import * as fs from "node:fs";
import * as result from "true-myth/result";
import * as yaml from "yaml";
import * as settings from "../common/Settings";
import * as checks from "../version/ConfigurationCheck";
import * as defaults from "./SettingsDefaults";

/** Largest file read, in bytes. */
const MAX_FILE_BYTES = 4 * 1024 * 1024;

/** Settings that a process can use, although optional ones may be invalid. */
export interface UsableSettings {
    readonly settings: settings.Settings;
    /** What is wrong with optional settings; their defaults are used, or at a reload their former values. */
    readonly problems: readonly checks.Problem[];
    /** Whether there are seeds that aren't known: none of those stated is valid. */
    readonly lacksSeeds: boolean;
}

/** Reads the settings that a process starts with: invalid optional settings don't prevent a start. */
export function readStartSettings(path: string): result.Result<UsableSettings, readonly checks.Problem[]> {
    return readYaml(path).andThen(checkStartSettings);
}

/** Reads the settings anew: optional settings that are invalid keep their former values. */
export function readChangedSettings(
    path: string,
    former: UsableSettings,
): result.Result<UsableSettings, readonly checks.Problem[]> {
    return readYaml(path).andThen(content => checkChangedSettings(content, former));
}

/** Validates the parsed content of a settings file. */
export function checkSettings(content: unknown): result.Result<settings.Settings, readonly checks.Problem[]> {
    const given = defaults.withoutEmpty(content);
    const parsed = settings.settingsSchema.safeParse(given);
    return parsed.success
        ? result.ok(parsed.data)
        : result.err(checks.listSchemaProblems(parsed.error, given));
}

/** Validates the parsed content of a settings file, with defaults in place of invalid optional settings. */
export function checkStartSettings(content: unknown): result.Result<UsableSettings, readonly checks.Problem[]> {
    return checkUsableSettings(content).map(({ usable }) => usable);
}

/**
 * Validates the parsed content of a settings file that is read anew. An optional setting that is invalid keeps its former
 * value as a whole, since parts of two values may make a bound that nobody has stated.
 */
export function checkChangedSettings(
    content: unknown,
    former: UsableSettings,
): result.Result<UsableSettings, readonly checks.Problem[]> {
    return checkUsableSettings(content).andThen(({ usable, invalidNames }) => {
        const { role } = usable.settings;
        if (role !== former.settings.role) {
            return result.err([{ path: "role", value: checks.renderValue(role), expected: former.settings.role }]);
        }
        const kept = Object.entries(former.settings).filter(([name]) => invalidNames.has(name));
        return result.ok({
            settings: { ...usable.settings, ...Object.fromEntries(kept) },
            problems: usable.problems,
            lacksSeeds: usable.lacksSeeds && former.lacksSeeds,
        });
    });
}

interface CheckedSettings {
    readonly usable: UsableSettings;
    /** The optional settings that have their defaults since they are invalid. */
    readonly invalidNames: ReadonlySet<string>;
}

function checkUsableSettings(content: unknown): result.Result<CheckedSettings, readonly checks.Problem[]> {
    const given = defaults.withoutEmpty(content);
    const parsed = settings.settingsSchema.safeParse(given);
    if (parsed.success) {
        const usable = { settings: parsed.data, problems: [], lacksSeeds: false };
        return result.ok({ usable, invalidNames: new Set() });
    }
    const problems = checks.listSchemaProblems(parsed.error, given);
    const valid = settings.settingsSchema.safeParse(defaults.withoutInvalid(given, parsed.error));
    if (!valid.success) {
        return result.err(problems);
    }
    const invalidNames = defaults.listInvalid(given, parsed.error);
    return result.ok({
        usable: { settings: valid.data, problems, lacksSeeds: invalidNames.has("seeds") },
        invalidNames,
    });
}

/** Reads a YAML file that holds a single document. */
export function readYaml(path: string): result.Result<unknown, readonly checks.Problem[]> {
    return readText(path).andThen(parseYaml);
}

function readText(path: string): result.Result<string, readonly checks.Problem[]> {
    try {
        const { size } = fs.statSync(path);
        return size > MAX_FILE_BYTES
            ? fail(`${size} bytes`, `at most ${MAX_FILE_BYTES} bytes`)
            : result.ok(fs.readFileSync(path, "utf8"));
    }
    catch (error) {
        return fail(String(error), "a readable file");
    }
}

function parseYaml(text: string): result.Result<unknown, readonly checks.Problem[]> {
    try {
        const content: unknown = yaml.parse(text);
        JSON.stringify(content); // Throws for a document that contains itself, through an alias.
        return result.ok(content);
    }
    catch (error) {
        return fail(String(error).split("\n")[0]!, "a single YAML document");
    }
}

function fail<T>(value: string, expected: string): result.Result<T, readonly checks.Problem[]> {
    return result.err([{ path: "", value: checks.renderValue(value), expected }]);
}
