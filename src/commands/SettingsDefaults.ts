/**
 * Leaves out settings without a value or with an invalid one, so that their defaults apply.
 */
import * as z from "zod";

/** Returns the content without the settings whose value is null or empty, as a template leaves those it has none for. */
export function withoutEmpty(content: unknown): unknown {
    return copyExcept(content, [], (_path, value) => (value ?? "") === "");
}

/** Returns the content without the values that a failed schema validation of it names. */
export function withoutInvalid(content: unknown, error: z.ZodError): unknown {
    const invalidPaths = new Set(error.issues.flatMap(listPaths).map(toKey));
    return copyExcept(content, [], path => invalidPaths.has(toKey(path)));
}

/**
 * Lists the settings of the content of which a failed schema validation leaves nothing as it is stated: those with an
 * invalid value or part, but not lists with some valid members, and not settings that are unknown.
 */
export function listInvalid(content: unknown, error: z.ZodError): ReadonlySet<string> {
    const paths = error.issues.flatMap(issue => issue.code === "unrecognized_keys" ? [] : [issue.path]);
    const names = new Set(paths.flatMap(([name]) => name === undefined ? [] : [String(name)]));
    return new Set([...names].filter(name => !hasValidMembers(content, name, paths)));
}

/** Whether the setting is a list of which the paths of invalid values name some members, but not all. */
function hasValidMembers(content: unknown, name: string, invalidPaths: readonly Path[]): boolean {
    const value = (content as Record<string, unknown> | undefined)?.[name];
    const own = invalidPaths.filter(([first]) => first === name);
    const invalidMembers = new Set(own.map(([, member]) => member));
    return Array.isArray(value) && !invalidMembers.has(undefined) && invalidMembers.size < value.length;
}

type Path = readonly PropertyKey[];

function listPaths(issue: z.core.$ZodIssue): Path[] {
    return issue.code === "unrecognized_keys" ? issue.keys.map(key => [...issue.path, key]) : [issue.path];
}

function toKey(path: Path): string {
    return JSON.stringify(path);
}

/** Copies the objects and arrays in `value` without the members that `isOmitted` selects. */
function copyExcept(value: unknown, path: Path, isOmitted: (path: Path, value: unknown) => boolean): unknown {
    if (typeof value !== "object" || !value) {
        return value;
    }
    const keys = Array.isArray(value) ? [...value.keys()] : Object.keys(value);
    const members = keys.map(key => [key, (value as Record<PropertyKey, unknown>)[key]] as const)
        .filter(([key, member]) => !isOmitted([...path, key], member))
        .map(([key, member]) => [key, copyExcept(member, [...path, key], isOmitted)] as const);
    return Array.isArray(value) ? members.map(([, member]) => member) : Object.fromEntries(members);
}
