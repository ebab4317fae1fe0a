/**
 * Items of an update that were deleted after they were read. An update of the store, or of another entry, may arrive after a
 * later one that didn't have them any more; no deletion of theirs follows, so that they would stay for good.
 */
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";

/**
 * The items whose keys aren't known although all keys are known up to `position`, which the items precede. Those of an
 * earlier era aren't compared: they are passed on with what holds them back.
 */
export function findOvertaken(
    items: readonly routing.PublishedItem[],
    position: positions.Position,
    isKnown: (key: string) => boolean,
): ReadonlySet<routing.PublishedItem> {
    const isCovered = ({ era, revision }: positions.Position): boolean =>
        era === position.era && revision <= position.revision;
    return new Set(items.filter(item => item.content !== undefined && isCovered(item) && !isKnown(item.key)));
}

/** Logs the items of an update that aren't applied; `position` is that of the view, `update` that of the update. */
export function logOvertaken(
    log: logs.Log,
    overtaken: ReadonlySet<routing.PublishedItem>,
    position: positions.Position,
    update: positions.Position,
    source: string,
): void {
    const [first] = overtaken;
    if (first !== undefined) {
        const fields = { ...position, fromRevision: update.revision, source, items: overtaken.size, key: first.key };
        log.info(
            { decision: "outdated-items", ...fields },
            "an update has items that were deleted before the present position; ignoring them",
        );
    }
}
