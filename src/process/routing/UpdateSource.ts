/**
 * Decides which peers an entry asks for the changes that its view of the published store lacks: one at first. A peer can
 * be silent in one direction while its messages arrive, so one that was asked and hasn't answered is asked again only
 * after all others. After some time the number that is asked at once doubles, so that some way is found soon in a large
 * fleet; not for the complete content, whose answers take long on slow links. Peers that are equally current share the
 * requests.
 */
import * as positions from "../../common/Position";

/** Number of peers that are asked one after the other. */
const ASKED_SINGLY = 4;
/** Most peers that are asked at once. */
const MAX_ASKED_AT_ONCE = 8;

/** A peer, as far as it concerns the choice. */
export interface UpdateSource {
    readonly instance: string;
    /** Position up to which it knows the published store. */
    readonly position: positions.Position;
}

/**
 * The peers to ask; none if none is ahead of `position`. `unanswered` has the peers that were asked at that position and
 * haven't answered.
 */
export function chooseUpdateSources<T extends UpdateSource>(
    peers: readonly T[],
    position: positions.Position,
    unanswered: ReadonlySet<string>,
    random: () => number,
): T[] {
    const ahead = peers.filter(peer => positions.isAfter(peer.position, position));
    const notAsked = ahead.filter(peer => !unanswered.has(peer.instance));
    const isSingle = position.revision === 0 || unanswered.size < ASKED_SINGLY;
    const count = isSingle ? 1 : Math.min(MAX_ASKED_AT_ONCE, unanswered.size);
    return (notAsked.length > 0 ? notAsked : ahead)
        .map(peer => ({ peer, order: random() }))
        .sort((a, b) => positions.compare(b.peer.position, a.peer.position) || a.order - b.order)
        .slice(0, count)
        .map(({ peer }) => peer);
}
