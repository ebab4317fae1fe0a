/**
 * Recognizes records that the published store has written late: a write of an instance that wasn't answered may be done
 * seconds after later ones, and would revert them, so that an instance which is leaving seems to be ready again.
 */
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";

/** What is remembered of the latest record of an instance that was deleted. */
export type DeletedInstance = Pick<routing.RoutedInstance, "startedMs" | "recordNumber">;

/** What is remembered of a record that is deleted; undefined if it doesn't describe an instance. */
export function deletedInstanceOf(record: routing.PublishedRecord | undefined): DeletedInstance | undefined {
    return record?.kind === "instance"
        ? { startedMs: record.instance.startedMs, recordNumber: record.instance.recordNumber }
        : undefined;
}

/** Logs a record that is ignored. */
export function logLate(log: logs.Log, item: routing.PublishedItem, source: string): void {
    log.info(
        { decision: "late-write", key: item.key, ...positions.positionOf(item), source },
        "the store has written an earlier record of the instance than the one in force; ignoring it",
    );
}

/** Whether the same start of the instance had written `arrived` before the record in force. */
export function isLate(inForce: routing.RoutedInstance, arrived: routing.RoutedInstance): boolean {
    const isSameStart = arrived.startedMs === inForce.startedMs && arrived.address === inForce.address;
    return isSameStart && isNumberedBefore(arrived, inForce);
}

/** The same after the deletion of the record. Without a stated start, a new one can't be told from it. */
export function isLateAfterDeletion(deleted: DeletedInstance, arrived: routing.RoutedInstance): boolean {
    const isSameStart = arrived.startedMs === deleted.startedMs && arrived.startedMs !== routing.UNSTATED_START_MS;
    return isSameStart && isNumberedBefore(arrived, deleted);
}

function isNumberedBefore(a: DeletedInstance, b: DeletedInstance): boolean {
    return a.recordNumber !== undefined && b.recordNumber !== undefined && a.recordNumber < b.recordNumber;
}
