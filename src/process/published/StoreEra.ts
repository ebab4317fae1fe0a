/**
 * Decides what a process does with an item of the published store, given what it knows of the item's key. A store that
 * was restored from a backup has lost its latest changes. Until their writers have written them again, what this
 * process knows of them stays in force for a limited time; then the store decides.
 */
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";
import * as lateWrites from "./LateWrite";

/** An instance that the restored backup lacks, and that hasn't registered again after this long, is gone. */
export const MISSING_INSTANCE_MS = 2_000;
/** Time for which a failure domain stays in or out of service against the restored backup. */
export const SERVICE_STATE_MS = 10_000;
/** Time for which an instance that left isn't used again; an instance that is lost meanwhile expires in the store. */
export const LEFT_INSTANCE_MS = 30_000;

/** What a process knows of a key. */
export interface KnownKey {
    /** Position of the latest item, whether in force or held back. */
    readonly position: positions.Position;
    /** The record in force; undefined if the key has been deleted. */
    readonly record: routing.PublishedRecord | undefined;
    /** Whether the key was deleted, or will be after a delay; not if it is only missing in a restored backup. */
    readonly isDeleted: boolean;
    /** The instance that was deleted; undefined if it isn't known. */
    readonly deletedInstance: lateWrites.DeletedInstance | undefined;
}

/** An item to decide on. */
export interface ArrivedItem {
    readonly position: positions.Position;
    /** Undefined for a deletion. */
    readonly record: routing.PublishedRecord | undefined;
    /** Whether a restored backup has it, or lacks its key, so that the item may be outdated. */
    readonly isFromBackup: boolean;
}

/**
 * What to do with an item: nothing, also since it was written late, only note its position, or put it in force after a
 * delay.
 */
export type Decision =
    | { readonly kind: "ignore" }
    | { readonly kind: "late" }
    | { readonly kind: "keep" }
    | { readonly kind: "apply"; readonly delayMs: number }
    | { readonly kind: "remove"; readonly delayMs: number };

const apply: Decision = { kind: "apply", delayMs: 0 };

/** Decides on an item. `graceMs` delays the deletion of instances outside of a change of era. */
export function decide(known: KnownKey, item: ArrivedItem, graceMs: number): Decision {
    if (known.record?.kind === "configuration") {
        return decideConfiguration(known.record.configuration, item);
    }
    if (!positions.isAfter(item.position, known.position)) {
        return { kind: "ignore" };
    }
    const isOutdated = item.isFromBackup && known.position.era < item.position.era;
    if (item.record === undefined) {
        return { kind: "remove", delayMs: removalDelayMs(known.record, isOutdated, graceMs) };
    }
    if (isOutdated) {
        return decideBackup(known, item.record);
    }
    return isLateWrite(known, item.record) ? { kind: "late" } : apply;
}

function isLateWrite({ record, deletedInstance }: KnownKey, arrived: routing.PublishedRecord): boolean {
    if (arrived.kind !== "instance") {
        return false;
    }
    return record?.kind === "instance"
        ? lateWrites.isLate(record.instance, arrived.instance)
        : deletedInstance !== undefined && lateWrites.isLateAfterDeletion(deletedInstance, arrived.instance);
}

/** A configuration gives way only to a higher version, whatever the era. */
function decideConfiguration(inForce: routing.RoutingConfiguration, item: ArrivedItem): Decision {
    const { record } = item;
    return record?.kind === "configuration" && record.configuration.version > inForce.version
        ? apply
        : { kind: "keep" };
}

function removalDelayMs(record: routing.PublishedRecord | undefined, isOutdated: boolean, graceMs: number): number {
    if (record?.kind === "instance") {
        return isOutdated ? Math.max(graceMs, MISSING_INSTANCE_MS) : graceMs;
    }
    return record?.kind === "out-of-service" && isOutdated ? SERVICE_STATE_MS : 0;
}

/** Decides on a record of a restored backup for a key that was known before. */
function decideBackup(known: KnownKey, record: routing.PublishedRecord): Decision {
    if (record.kind === "out-of-service") {
        return known.isDeleted ? { kind: "apply", delayMs: SERVICE_STATE_MS } : apply;
    }
    return record.kind === "instance" ? decideBackupInstance(known, record.instance) : apply;
}

function decideBackupInstance(known: KnownKey, backedUp: routing.RoutedInstance): Decision {
    const inForce = known.record?.kind === "instance" ? known.record.instance : undefined;
    const knownStartedMs = inForce?.startedMs ?? known.deletedInstance?.startedMs;
    if (knownStartedMs !== undefined && backedUp.startedMs < knownStartedMs) {
        return { kind: "remove", delayMs: MISSING_INSTANCE_MS }; // Its successor is the one that the backup lacks.
    }
    const isSameStart = knownStartedMs === undefined || backedUp.startedMs === knownStartedMs;
    const hasLeft = known.isDeleted || (inForce?.state === "draining" && backedUp.state !== "draining");
    return hasLeft && isSameStart ? { kind: "apply", delayMs: LEFT_INSTANCE_MS } : apply;
}
