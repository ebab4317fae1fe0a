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

/** Settings that a process can start with. */
export interface StartSettings {
    readonly settings: settings.Settings;
    /** What is wrong with optional settings; their defaults are used. */
    readonly problems: readonly checks.Problem[];
}

/** Reads and validates the settings of a process. */
export function readSettings(path: string): result.Result<settings.Settings, readonly checks.Problem[]> {
    return readYaml(path).andThen(checkSettings);
}

/** Reads the settings that a process starts with: invalid optional settings don't prevent a start. */
export function readStartSettings(path: string): result.Result<StartSettings, readonly checks.Problem[]> {
    return readYaml(path).andThen(checkStartSettings);
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
export function checkStartSettings(content: unknown): result.Result<StartSettings, readonly checks.Problem[]> {
    const given = defaults.withoutEmpty(content);
    const parsed = settings.settingsSchema.safeParse(given);
    if (parsed.success) {
        return result.ok({ settings: parsed.data, problems: [] });
    }
    const problems = checks.listSchemaProblems(parsed.error, given);
    const valid = settings.settingsSchema.safeParse(defaults.withoutInvalid(given, parsed.error));
    return valid.success ? result.ok({ settings: valid.data, problems }) : result.err(problems);
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
