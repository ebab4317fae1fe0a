/**
 * Fingerprints of request bodies that don't depend on the order of object members.
 */
import * as crypto from "node:crypto";

/** The SHA-256 of a JSON-like value with its members sorted, in base64url. */
export function fingerprint(body: unknown): string {
    const text = JSON.stringify(body, sortMembers) ?? "undefined";
    return crypto.createHash("sha256").update(text).digest("base64url");
}

function sortMembers(_name: string, value: unknown): unknown {
    if (typeof value === "bigint") {
        return { bigint: value.toString() };
    }
    if (typeof value !== "object" || !value || Array.isArray(value)) {
        return value;
    }
    return Object.fromEntries(Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1));
}
