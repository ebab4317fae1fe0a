/**
 * Stand-in of the platform's store: lists and watches with revisions, and the faults that readers must tolerate.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as listeners from "../../src/connection/Listener";

interface StoredItem {
    readonly Key: string;
    readonly Value: string;
    readonly Rev: number;
    readonly Created: number;
    readonly Lease: number;
}

type StoreEvent = StoredItem | { readonly Key: string; readonly Rev: number; readonly Deleted: true };

/** Faults; each stays in effect until it is cleared. */
export interface StoreFaults {
    /** Status of every answer. */
    status?: number | undefined;
    /** Whether calls are read and never answered. */
    silent?: boolean | undefined;
    /** Rate of each answer; undefined for no limit. */
    bytesPerSecond?: number | undefined;
    /** Number of bytes of an answer after which nothing more is sent; undefined if all is. */
    stopsAfterBytes?: number | undefined;
}

/** The content of the store at one time. */
export interface StoreBackup {
    readonly revision: number;
    readonly compactedRevision: number;
    readonly items: ReadonlyMap<string, StoredItem>;
    readonly events: readonly StoreEvent[];
}

const MAX_ITEMS_PER_PAGE = 3;
/** Interval of the writes of an answer whose rate is limited. */
const WRITE_INTERVAL_MS = 20;

/** Simulates the store with an HTTP server on 127.0.0.1. */
export class PlatformStoreStandIn {
    faults: StoreFaults = {};
    /** Number of calls received. */
    calls = 0;
    private revision = 1;
    private era = 1;
    private readonly items = new Map<string, StoredItem>();
    /** The content last written to each key, also if it was lost; undefined for a deletion. */
    private readonly lastWrites = new Map<string, string | undefined>();
    private events: StoreEvent[] = [];
    /** Events up to this revision have been discarded. */
    private compactedRevision = 0;
    private readonly wakeCallbacks = new Set<() => void>();
    private listener: listeners.Listener | undefined;

    /** IP address and port. */
    get address(): string {
        return this.listener!.address;
    }

    async listen(): Promise<void> {
        const server = http.createServer((request, response) => void this.handle(request, response));
        server.on("connection", (socket: net.Socket) => socket.setNoDelay(true));
        this.listener = await listeners.listen(server, "127.0.0.1:0");
    }

    dispose(): void {
        this.listener?.dispose();
    }

    /** Stores a value under `key`, encoded as JSON unless it is a Buffer. */
    put(key: string, value: unknown): void {
        const content = Buffer.isBuffer(value) ? value : Buffer.from(JSON.stringify(value));
        const Rev = ++this.revision;
        const Created = this.items.get(key)?.Created ?? Rev;
        const item = { Key: key, Value: content.toString("base64"), Rev, Created, Lease: 0 };
        this.items.set(key, item);
        this.lastWrites.set(key, item.Value);
        this.appendEvent(item);
    }

    delete(key: string): void {
        this.items.delete(key);
        this.lastWrites.set(key, undefined);
        this.appendEvent({ Key: key, Rev: ++this.revision, Deleted: true });
    }

    /** Discards all events up to the current revision. */
    compact(): void {
        this.compactedRevision = this.revision;
        this.events = [];
        this.wakeCallbacks.forEach(wake => wake());
    }

    /** Backs up the content. */
    backUp(): StoreBackup {
        const { revision, compactedRevision } = this;
        return { revision, compactedRevision, items: new Map(this.items), events: [...this.events] };
    }

    /** Restores a backup, which starts a new era: later writes are lost, and their revisions are given out again. */
    restore(backup: StoreBackup): void {
        this.items.clear();
        backup.items.forEach((item, key) => this.items.set(key, item));
        this.events = [...backup.events];
        this.revision = backup.revision;
        this.compactedRevision = backup.compactedRevision;
        this.era++;
        this.wakeCallbacks.forEach(wake => wake());
    }

    /** Writes lost writes again, the last one of each key, as their writers do. */
    writeAgain(isWritten: (key: string) => boolean = () => true): void {
        for (const [key, content] of this.lastWrites) {
            if (this.items.get(key)?.Value === content || !isWritten(key)) {
                continue;
            }
            if (content === undefined) {
                this.delete(key);
            }
            else {
                this.put(key, Buffer.from(content, "base64"));
            }
        }
    }

    private appendEvent(event: StoreEvent): void {
        this.events.push(event);
        this.wakeCallbacks.forEach(wake => wake());
    }

    private async handle(request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
        this.calls++;
        if (this.faults.silent === true) {
            return;
        }
        if (this.faults.status !== undefined) {
            this.startAnswer(response, this.faults.status).end();
            return;
        }
        const { pathname, searchParams } = new URL(request.url ?? "", "http://store");
        const prefix = searchParams.get("Prefix") ?? "";
        if (pathname === "/kv-range") {
            this.list(response, prefix, searchParams.get("After") ?? "");
            return;
        }
        await this.watch(response, prefix, Number(searchParams.get("After")), Number(searchParams.get("WaitMs")));
    }

    private list(response: http.ServerResponse, prefix: string, afterKey: string): void {
        const matchingItems = [...this.items.values()]
            .filter(item => item.Key.startsWith(prefix) && item.Key > afterKey)
            .sort((a, b) => a.Key < b.Key ? -1 : 1);
        const Items = matchingItems.slice(0, MAX_ITEMS_PER_PAGE);
        this.sendJson(response, {
            Items,
            Truncated: matchingItems.length > MAX_ITEMS_PER_PAGE,
            CurrentRev: this.revision,
        });
    }

    private async watch(
        response: http.ServerResponse,
        prefix: string,
        afterRevision: number,
        waitMs: number,
    ): Promise<void> {
        const findEvents = (): StoreEvent[] =>
            this.events.filter(event => event.Rev > afterRevision && event.Key.startsWith(prefix));
        const { era } = this;
        if (afterRevision >= this.compactedRevision && afterRevision <= this.revision && findEvents().length === 0) {
            await this.waitForChange(waitMs);
        }
        if (era !== this.era) {
            response.destroy(); // Calls that wait are cut when the store goes away.
            return;
        }
        if (afterRevision < this.compactedRevision || afterRevision > this.revision) {
            this.startAnswer(response, 410).end();
            return;
        }
        this.sendJson(response, { events: findEvents(), CurrentRev: this.revision });
    }

    private waitForChange(waitMs: number): Promise<void> {
        return new Promise(resolve => {
            const wake = (): void => {
                clearTimeout(timer);
                this.wakeCallbacks.delete(wake);
                resolve();
            };
            const timer = setTimeout(wake, waitMs);
            this.wakeCallbacks.add(wake);
        });
    }

    /** Starts an answer, which states the era. */
    private startAnswer(
        response: http.ServerResponse,
        status: number,
        headers: Record<string, string> = {},
    ): http.ServerResponse {
        return response.writeHead(status, { ...headers, "Store-Era": String(this.era) });
    }

    private sendJson(response: http.ServerResponse, body: unknown): void {
        this.startAnswer(response, 200, { "content-type": "application/json" });
        const { bytesPerSecond = Infinity, stopsAfterBytes = Infinity } = this.faults;
        const content = Buffer.from(JSON.stringify(body));
        if (bytesPerSecond === Infinity && stopsAfterBytes === Infinity) {
            response.end(content);
            return;
        }
        this.writeSlowly(response, content, Math.min(bytesPerSecond * WRITE_INTERVAL_MS / 1_000, stopsAfterBytes));
    }

    /** Writes `sliceBytes` of an answer at a time. */
    private writeSlowly(response: http.ServerResponse, content: Buffer, sliceBytes: number): void {
        const isLast = content.length <= sliceBytes;
        response.write(content.subarray(0, sliceBytes));
        if (this.faults.stopsAfterBytes !== undefined) {
            return;
        }
        if (isLast) {
            response.end();
            return;
        }
        setTimeout(() => this.writeSlowly(response, content.subarray(sliceBytes), sliceBytes), WRITE_INTERVAL_MS);
    }
}
