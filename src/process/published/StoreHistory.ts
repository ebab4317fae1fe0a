/**
 * Reads what the store still has of its history before this process listed it. Designed for the loss of all entries at
 * once: those that start afterwards remember nothing, and the listing shows only what is left. An instance that left
 * shortly before it is seen here alone.
 */
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as views from "./PublishedView";
import * as versionHistories from "./VersionHistory";

/** Number of changes that are asked for first. */
const FIRST_DEPTH = 16;
/** Factor between two numbers of changes, until the store has no more. */
const DEPTH_FACTOR = 4;
/** Largest number of changes that are read. */
const MAX_DEPTH = 4_096;
/** Wait of a watch whose changes are there already. */
const WAIT_MS = 1;
/** After a failure the history isn't read again for this long. */
const RETRY_DELAY_MS = 500;

/** What the reader needs from its process. */
export interface StoreHistoryOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly store: Pick<routingPorts.PublishedStore, "watch" | "decode">;
    readonly view: Pick<views.PublishedView, "position" | "versions">;
}

/** Completes the version history of a view from the store's own history, when that is asked for. */
export class StoreHistory implements clocks.Disposable {
    private readonly stop = new AbortController();
    private reading: Promise<void> | undefined;
    private retryAtMs = -Infinity;

    constructor(private readonly options: StoreHistoryOptions) {}

    dispose(): void {
        this.stop.abort();
    }

    /** Reads the history unless that was done; resolves at once while it can't be read. */
    complete(): Promise<void> {
        const { clock, view } = this.options;
        if (view.versions.isPastKnown || clock.now() < this.retryAtMs) {
            return Promise.resolve();
        }
        this.reading ??= this.read().finally(() => this.reading = undefined);
        return this.reading;
    }

    private async read(): Promise<void> {
        const { clock, log, view } = this.options;
        const { position } = view;
        const items = await this.readLongest(position);
        const fields = { decision: "store-history", ...positions.positionOf(position), changes: items?.length };
        if (items === undefined) {
            this.retryAtMs = clock.now() + RETRY_DELAY_MS;
            log.warn(fields, "the store's history before the first listing can't be read");
            return;
        }
        const past = findPastVersions(items, item => this.options.store.decode(item));
        view.versions.completePast(past);
        log.info({ ...fields, versions: past.versions.length, unknown: past.hasUnknown }, "read the store's history");
    }

    /**
     * The longest series of changes up to a position that the store still has, empty if there were none in the time for
     * which it keeps them; undefined if it doesn't answer.
     */
    private async readLongest(until: positions.Position): Promise<readonly routing.PublishedItem[] | undefined> {
        let found: readonly routing.PublishedItem[] = [];
        let available = 0;
        let missing = Math.min(until.revision, MAX_DEPTH) + 1;
        let depth = FIRST_DEPTH;
        while (missing - available > 1) {
            depth = depth < missing ? depth : Math.floor((available + missing) / 2);
            const items = await this.readChanges(until, depth);
            if (items === "failed") {
                return undefined;
            }
            if (items === "missing") {
                missing = depth;
            }
            else {
                found = items;
                available = depth;
            }
            depth = depth * DEPTH_FACTOR;
        }
        return found;
    }

    private async readChanges(
        until: positions.Position,
        depth: number,
    ): Promise<readonly routing.PublishedItem[] | "missing" | "failed"> {
        const answer = await this.options.store.watch(until.revision - depth, WAIT_MS, this.stop.signal);
        if (answer.isErr) {
            return "failed";
        }
        if (answer.value.isHistoryLost) {
            return "missing";
        }
        return answer.value.era === until.era ? answer.value.items : "failed";
    }
}

/** The versions that a series of changes names, and whether instances left of which it doesn't name the version. */
function findPastVersions(
    items: readonly routing.PublishedItem[],
    decode: (item: routing.PublishedItem) => routing.PublishedRecord,
): versionHistories.PastVersions {
    const versions: versionHistories.ServiceVersion[] = [];
    const readableKeys = new Set<string>();
    let hasUnknown = false;
    for (const item of items) {
        const record = decode(item);
        if (record.kind === "instance") {
            versions.push({ service: record.instance.service, softwareVersion: record.instance.softwareVersion });
            readableKeys.add(item.key);
        }
        hasUnknown ||= item.content === undefined && record.kind === "unreadable" && !readableKeys.has(item.key);
    }
    return { versions, hasUnknown };
}
