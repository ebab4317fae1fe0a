/**
 * Differences between two configurations as edits of record entries, and the canonical text of a configuration.
 */
import * as crypto from "node:crypto";
import * as configurations from "../common/Configuration";
import * as messages from "../common/Messages";

/** Length of a digest in hexadecimal digits. */
const DIGEST_LENGTH = 32;
/** Maximum number of names in the path of an edit; deeper records are replaced as a unit. */
const MAX_PATH_LENGTH = 8;
/** Assigning this name would change an object's prototype. */
const PROTOTYPE_NAME = "__proto__";

type Entries = Record<string, unknown>;

/** The digest of a canonical text: a prefix of its SHA-256 in hexadecimal. */
export function digestText(text: string): string {
    return crypto.createHash("sha256").update(text).digest("hex").slice(0, DIGEST_LENGTH);
}

/** JSON with the names of every record sorted and undefined entries left out. */
export function canonicalize(value: unknown): string {
    if (Array.isArray(value)) {
        return `[${value.map(canonicalize).join(",")}]`;
    }
    if (!isRecord(value)) {
        return JSON.stringify(value) ?? "{}";
    }
    const entries = Object.keys(value)
        .filter(name => value[name] !== undefined)
        .sort()
        .map(name => `${JSON.stringify(name)}:${canonicalize(value[name])}`);
    return `{${entries.join(",")}}`;
}

/** A copy with the names of every record sorted, so that sorting them again is cheap. */
export function sortNames<T>(value: T): T {
    if (!isRecord(value)) {
        return value;
    }
    const names = Object.keys(value).sort();
    return Object.fromEntries(names.map(name => [name, sortNames(value[name])])) as T;
}

/** The edits that turn `from` into `to`. Arrays are replaced as a unit. */
export function diff(from: configurations.Configuration, to: configurations.Configuration): messages.Edit[] {
    const edits: messages.Edit[] = [];
    collectEdits(from, to, [], edits);
    return edits;
}

/** Applies `edits` to a copy of `base`, which shares the unchanged records with it. */
export function apply(base: unknown, edits: readonly messages.Edit[]): unknown {
    const copies = new Set<object>();
    const root = { content: base } as Entries;
    copies.add(root);
    for (const edit of edits) {
        if (!edit.path.includes(PROTOTYPE_NAME)) {
            applyEdit(root, ["content", ...edit.path], edit.value, copies);
        }
    }
    return root["content"];
}

/** Whether a value is a record, not an array or a primitive. */
export function isRecord(value: unknown): value is Entries {
    return typeof value === "object" && !!value && !Array.isArray(value);
}

function collectEdits(from: Entries, to: Entries, path: readonly string[], edits: messages.Edit[]): void {
    for (const name of Object.keys(from)) {
        if (from[name] !== undefined && readOwn(to, name) === undefined) {
            edits.push({ path: [...path, name], value: undefined });
        }
    }
    for (const name of Object.keys(to)) {
        const before = readOwn(from, name);
        const after = to[name];
        if (before === after) {
            continue;
        }
        if (isRecord(before) && isRecord(after) && path.length + 1 < MAX_PATH_LENGTH) {
            collectEdits(before, after, [...path, name], edits);
        }
        else if (after !== undefined && (before === undefined || canonicalize(before) !== canonicalize(after))) {
            edits.push({ path: [...path, name], value: after });
        }
    }
}

function readOwn(record: Entries, name: string): unknown {
    return Object.hasOwn(record, name) ? record[name] : undefined;
}

/** Sets or removes one entry below `root`; copies each record on the path, unless `copies` contains it already. */
function applyEdit(root: Entries, path: readonly string[], value: unknown, copies: Set<object>): void {
    let record = root;
    for (const name of path.slice(0, -1)) {
        const child = readOwn(record, name);
        if (isRecord(child) && copies.has(child)) {
            record = child;
            continue;
        }
        const copy: Entries = isRecord(child) ? { ...child } : {};
        copies.add(copy);
        record[name] = copy;
        record = copy;
    }
    const last = path[path.length - 1]!;
    if (value === undefined) {
        delete record[last];
    }
    else {
        record[last] = value;
    }
}
