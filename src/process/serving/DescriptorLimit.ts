/**
 * How many descriptors a process may open, and how many of them the connections that others open may take.
 */
import * as fs from "node:fs";

const LIMITS_FILE = "/proc/self/limits";
const SOFT_LIMIT_PATTERN = /^Max open files +(\d+)/m;
/** Assumed where neither the operating system nor the settings state a limit. */
const DEFAULT_DESCRIPTORS = 1_024;
/** Descriptors for files and the runtime, but no more than the share below. */
const MAX_FILE_DESCRIPTORS = 200;
const MAX_FILE_SHARE = 0.25;
/** Share of the others for callers: each request needs a connection to an instance too, besides peers and the store. */
const CALLER_SHARE = 0.5;

/** Share of them for other processes: most of what callers leave, since each other entry needs one. */
const PEER_SHARE = 0.375;

/** The limit of the operating system or of the settings, the lower of the two that are stated. */
export function findDescriptorLimit(systemLimit: number | undefined, settingsLimit: number | undefined): number {
    const limits = [systemLimit, settingsLimit].filter(limit => limit !== undefined);
    return limits.length === 0 ? DEFAULT_DESCRIPTORS : Math.min(...limits);
}

/** The operating system's limit for this process; undefined if it states none. */
export function readDescriptorLimit(): number | undefined {
    try {
        const limit = SOFT_LIMIT_PATTERN.exec(fs.readFileSync(LIMITS_FILE, "utf8"))?.[1];
        return limit === undefined ? undefined : Number(limit);
    }
    catch {
        return undefined; // Not an operating system with this file.
    }
}

/** The number of callers' connections that a process with so many descriptors may have at once. */
export function maxCallerConnections(descriptors: number): number {
    return countShare(descriptors, CALLER_SHARE);
}

/** The number of connections that other processes may have opened to one with so many descriptors. */
export function maxPeerConnections(descriptors: number): number {
    return countShare(descriptors, PEER_SHARE);
}

/** The same for this process, whose settings may state fewer descriptors than it has. */
export function readMaxPeerConnections(settingsLimit?: number): number {
    return maxPeerConnections(findDescriptorLimit(readDescriptorLimit(), settingsLimit));
}

function countShare(descriptors: number, share: number): number {
    const files = Math.min(MAX_FILE_DESCRIPTORS, descriptors * MAX_FILE_SHARE);
    return Math.max(1, Math.floor((descriptors - files) * share));
}
