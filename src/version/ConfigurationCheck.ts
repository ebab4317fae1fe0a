/**
 * Validates a published configuration against its schema and checks the references between its parts. The result
 * depends only on the content, so that all processes accept or reject the same versions.
 */
import * as result from "true-myth/result";
import * as z from "zod";
import * as configurations from "../common/Configuration";
import * as changes from "./ConfigurationChange";

/** Largest configuration accepted, in bytes of its JSON encoding. */
export const MAX_CONFIGURATION_BYTES = 1_048_576;
/** Maximum length of a value in a problem, in characters. */
const MAX_RENDERED_LENGTH = 80;
/** Maximum number of problems listed for one document. */
const MAX_PROBLEMS = 100;

/** One reason why a document is rejected. */
export interface Problem {
    /** Names from the root to the value, joined by dots; empty for the document itself. */
    readonly path: string;
    /** The value found, as truncated JSON. */
    readonly value: string;
    /** Describes the values that would be accepted. */
    readonly expected: string;
}

/** Validates `content` and returns it with defaults filled in, or the problems found. */
export function checkConfiguration(
    content: unknown,
): result.Result<configurations.Configuration, readonly Problem[]> {
    const parsed = configurations.configurationSchema.safeParse(content);
    if (!parsed.success) {
        return result.err(listSchemaProblems(parsed.error, content));
    }
    const problems = [...checkSize(parsed.data), ...checkReferences(parsed.data)];
    return problems.length === 0 ? result.ok(parsed.data) : result.err(problems.slice(0, MAX_PROBLEMS));
}

/**
 * Validates `content` with the same result as `checkConfiguration`, but processes only what differs from `base`,
 * which has passed the checks; records that are the same objects as in `base` are skipped. `length` is the length
 * of the content's canonical JSON.
 */
export function checkChange(
    base: configurations.Configuration,
    content: unknown,
    length: number,
): result.Result<configurations.Configuration, readonly Problem[]> {
    const changed = changes.parseChange(base, content);
    const isValid = changed !== undefined && length <= MAX_CONFIGURATION_BYTES
        && checkReferences(changed, base).length === 0;
    return isValid ? result.ok(changed) : checkConfiguration(content);
}

/** Converts the issues of a failed schema validation of `content` to problems. */
export function listSchemaProblems(error: z.ZodError, content: unknown): readonly Problem[] {
    return error.issues.slice(0, MAX_PROBLEMS).flatMap(issue => {
        const names = issue.code === "unrecognized_keys" ? issue.keys.map(key => [key]) : [[]];
        return names.map(name => {
            const path = [...issue.path, ...name];
            return problem(path.map(String), valueAt(content, path), issue.message);
        });
    });
}

/** Renders a value as JSON in one line of limited length. */
export function renderValue(value: unknown): string {
    const text = render(value);
    return text.length <= MAX_RENDERED_LENGTH ? text : `${text.slice(0, MAX_RENDERED_LENGTH - 3)}...`;
}

function render(value: unknown): string {
    try {
        return JSON.stringify(value) ?? "nothing";
    }
    catch {
        return typeof value;
    }
}

function problem(path: readonly string[], value: unknown, expected: string): Problem {
    return { path: path.join("."), value: renderValue(value), expected };
}

function valueAt(content: unknown, path: readonly PropertyKey[]): unknown {
    let value = content;
    for (const name of path) {
        if (typeof value !== "object" || !value || !Object.hasOwn(value, name)) {
            return undefined;
        }
        value = (value as Record<PropertyKey, unknown>)[name];
    }
    return value;
}

function checkSize(configuration: configurations.Configuration): Problem[] {
    const bytes = Buffer.byteLength(JSON.stringify(configuration));
    return bytes <= MAX_CONFIGURATION_BYTES
        ? []
        : [problem([], `${bytes} bytes`, `at most ${MAX_CONFIGURATION_BYTES} bytes`)];
}

/** With unchanged failure domains, skips services that are the same objects as in `base`, which passed the checks. */
function checkReferences(
    configuration: configurations.Configuration,
    base?: configurations.Configuration,
): Problem[] {
    const hasSameDomains = configuration.failureDomains === base?.failureDomains;
    const services = Object.entries(configuration.services).filter(([name, service]) =>
        !hasSameDomains || service !== base?.services[name]
    );
    return [
        ...checkNames(configuration, services),
        ...requireName(configuration.presets, ["preset"], configuration.preset, "a name under presets"),
        ...Object.entries(configuration.presets).flatMap(([name, preset]) => checkPreset(configuration, name, preset)),
        ...services.flatMap(([name, service]) => checkService(configuration, name, service)),
        ...Object.entries(configuration.pipelines).flatMap(([name, pipeline]) =>
            checkPipeline(configuration, name, pipeline)
        ),
    ];
}

/** Rejects names that every JavaScript object inherits, since a lookup would find the inherited member. */
function checkNames(
    configuration: configurations.Configuration,
    services: readonly [string, configurations.UpstreamService][],
): Problem[] {
    const records: [string[], object][] = [
        [["presets"], configuration.presets],
        [["failureDomains"], configuration.failureDomains],
        [["teams"], configuration.teams],
        [["services"], configuration.services],
        [["pipelines"], configuration.pipelines],
        [["models"], configuration.models],
    ];
    for (const [name, service] of services) {
        records.push([["services", name, "operations"], service.operations]);
        records.push([["services", name, "slots"], service.slots]);
    }
    return records.flatMap(([path, record]) =>
        Object.keys(record)
            .filter(name => name in Object.prototype)
            .map(name => problem([...path, name], name, "a name that isn't reserved"))
    );
}

function requireName(record: object, path: readonly string[], name: string, expected: string): Problem[] {
    return Object.hasOwn(record, name) ? [] : [problem(path, name, expected)];
}

function checkPreset(
    configuration: configurations.Configuration,
    name: string,
    preset: configurations.Preset,
): Problem[] {
    const teams = Object.keys(preset.teamWeights).flatMap(team =>
        requireName(configuration.teams, ["presets", name, "teamWeights", team], team, "a name under teams")
    );
    const models = Object.keys(preset.modelShare).flatMap(model =>
        requireName(configuration.models, ["presets", name, "modelShare", model], model, "a name under models")
    );
    return [...teams, ...models];
}

function checkService(
    configuration: configurations.Configuration,
    name: string,
    service: configurations.UpstreamService,
): Problem[] {
    const path = ["services", name];
    const problems = Object.entries(service.slots)
        .filter(([, { failureDomain }]) => !Object.hasOwn(configuration.failureDomains, failureDomain))
        .map(([slot, { failureDomain }]) =>
            problem([...path, "slots", slot, "failureDomain"], failureDomain, "a name under failureDomains")
        );
    if (service.coldConcurrency > service.warmConcurrency) {
        const expected = `at most warmConcurrency, ${service.warmConcurrency}`;
        problems.push(problem([...path, "coldConcurrency"], service.coldConcurrency, expected));
    }
    return problems;
}

function checkPipeline(
    configuration: configurations.Configuration,
    name: string,
    pipeline: configurations.Pipeline,
): Problem[] {
    const names = new Set<string>();
    return pipeline.stages.flatMap((stage, index) => {
        const path = ["pipelines", name, "stages", String(index)];
        const problems = checkStage(configuration, path, stage, index === pipeline.stages.length - 1);
        if (names.has(stage.name)) {
            problems.push(problem([...path, "name"], stage.name, "a name that no earlier stage has"));
        }
        names.add(stage.name);
        return problems;
    });
}

/** Stages may be retried, so they must be idempotent. Only the last may stream: the others need complete input. */
function checkStage(
    configuration: configurations.Configuration,
    path: readonly string[],
    stage: configurations.Stage,
    isLast: boolean,
): Problem[] {
    if (!Object.hasOwn(configuration.services, stage.service)) {
        return [problem([...path, "service"], stage.service, "a name under services")];
    }
    const service = configuration.services[stage.service]!;
    const problems = checkModel(configuration, path, stage, service);
    if (!Object.hasOwn(service.operations, stage.operation)) {
        return [...problems, problem([...path, "operation"], stage.operation, "an operation of the service")];
    }
    const operation = service.operations[stage.operation]!;
    if (!operation.idempotent) {
        problems.push(problem([...path, "operation"], stage.operation, "an idempotent operation"));
    }
    if (operation.streams && !isLast) {
        problems.push(problem([...path, "operation"], stage.operation, "streaming operations in the last stage only"));
    }
    return problems;
}

function checkModel(
    configuration: configurations.Configuration,
    path: readonly string[],
    stage: configurations.Stage,
    service: configurations.UpstreamService,
): Problem[] {
    if (stage.model === undefined) {
        return [];
    }
    const problems = requireName(configuration.models, [...path, "model"], stage.model, "a name under models");
    if (service.kind !== "engine") {
        problems.push(problem([...path, "model"], stage.model, "no model, since the service has no engines"));
    }
    return problems;
}
