/**
 * Decides which entries get the list of all entries. Designed for a fleet whose members seldom change: a changed list
 * reaches all others within some rounds, and an unchanged one is repeated at a rate in bytes that doesn't grow with the
 * number of entries, for those that have forgotten an entry which others still reach.
 */
import * as clocks from "../../common/Clock";

/** Share of the others that get a changed list in each round. */
const ROUND_SHARE = 1 / 8;
/** Size of one entry in an encoded list. */
const ENTRY_BYTES = 90;
/** Rate at which an unchanged list is repeated. */
const REPEATED_BYTES_PER_SECOND = 1_000;
const MS_PER_SECOND = 1_000;

/** What the lists need from their process. */
export interface EntryListsOptions<Connection extends object> {
    readonly clock: Pick<clocks.Clock, "now">;
    readonly random: () => number;
    /** Connections to the others, one each. */
    readonly connections: () => readonly Connection[];
    /** Number of entries in the list. */
    readonly size: () => number;
    /** Changes with the content of the list. */
    readonly version: () => string;
    readonly send: (connection: Connection) => void;
}

/** The lists that one process sends. */
export class EntryLists<Connection extends object> {
    private readonly sentVersions = new WeakMap<Connection, string>();
    private repeatDueMs = -Infinity;

    constructor(private readonly options: EntryListsOptions<Connection>) {}

    /** Sends the list to one entry at once. */
    send(connection: Connection): void {
        this.sendVersion(connection, this.options.version());
    }

    /** Sends the list to some of the entries that lack it, or repeats it to one; called in regular rounds. */
    sendRound(): void {
        const connections = this.options.connections();
        const version = this.options.version();
        const lacking = connections.filter(connection => this.sentVersions.get(connection) !== version);
        for (let left = Math.ceil(connections.length * ROUND_SHARE); left > 0 && lacking.length > 0; left--) {
            this.sendVersion(lacking.splice(this.pick(lacking.length), 1)[0]!, version);
        }
        if (connections.length > 0 && lacking.length === 0) {
            this.repeat(connections, version);
        }
    }

    private repeat(connections: readonly Connection[], version: string): void {
        const nowMs = this.options.clock.now();
        if (nowMs >= this.repeatDueMs) {
            this.repeatDueMs = nowMs
                + this.options.size() * ENTRY_BYTES / REPEATED_BYTES_PER_SECOND * MS_PER_SECOND;
            this.sendVersion(connections[this.pick(connections.length)]!, version);
        }
    }

    private sendVersion(connection: Connection, version: string): void {
        this.sentVersions.set(connection, version);
        this.options.send(connection);
    }

    private pick(count: number): number {
        return Math.floor(this.options.random() * count);
    }
}
