/**
 * The entry's side of a connection to an agent: numbers the calls and matches parts and answers to them. Parts and
 * answers that don't belong to a pending call of this connection are dropped.
 */
import * as clocks from "../common/Clock";
import * as emitters from "../common/Emitter";
import * as messages from "../common/Messages";
import * as peers from "./PeerConnection";

/** A call without the fields that the connection adds. */
export type CallContent = Omit<messages.Call, "kind" | "call" | "incarnation">;
/** A query without the fields that the connection adds. */
export type QueryContent = Omit<messages.Query, "kind" | "call" | "incarnation">;

/** A call or query that has been sent. */
export interface PendingCall {
    /** The agent's answer; undefined if the call is cancelled or the connection closes first. */
    readonly answer: Promise<messages.Answer | undefined>;
    /** Asks the agent to cancel the work; an answer that still arrives is dropped. */
    cancel(): void;
}

interface Waiter {
    readonly settle: (answer: messages.Answer | undefined) => void;
    readonly onPart: ((part: messages.Part) => void) | undefined;
}

/** One connection to one incarnation of an agent. */
export class AgentClient implements clocks.Disposable {
    private readonly waiters = new Map<number, Waiter>();
    private readonly loadEmitter = new emitters.Emitter<messages.Load>();
    private nextCallNumber = 1;
    private sentSinceLoad = 0;
    private droppedCount = 0;
    private lastLoad: messages.Load | undefined;

    /** Fires for each load report of the agent. */
    readonly onLoad = this.loadEmitter.event;

    constructor(private readonly connection: peers.PeerConnection) {
        connection.onClose(() => this.failPendingCalls());
    }

    /** Instance name of the agent. */
    get instance(): string {
        return this.connection.remote.instance;
    }

    /** Incarnation of the connected agent. */
    get incarnation(): number {
        return this.connection.remote.incarnation;
    }

    /** Whether the connection is closed. */
    get isClosed(): boolean {
        return this.connection.isClosed;
    }

    /** The latest load report of the agent. */
    get load(): messages.Load | undefined {
        return this.lastLoad;
    }

    /** Number of calls sent since the latest load report, which doesn't include them yet. */
    get callsSinceLoad(): number {
        return this.sentSinceLoad;
    }

    /** Number of calls and queries that await an answer. */
    get pendingCount(): number {
        return this.waiters.size;
    }

    /** Number of parts and answers that matched no pending call. */
    get dropped(): number {
        return this.droppedCount;
    }

    /** Sends a call; `onPart` receives the tokens of a stream. */
    call(content: CallContent, onPart?: (part: messages.Part) => void): PendingCall {
        const call = this.nextCallNumber++;
        this.sentSinceLoad++;
        const message: messages.Call = {
            kind: "call",
            call,
            incarnation: this.incarnation,
            request: content.request,
            stage: content.stage,
            attempt: content.attempt,
            team: content.team,
            priority: content.priority,
            remainingMs: content.remainingMs,
            service: content.service,
            operation: content.operation,
            model: content.model,
            key: content.key,
            stream: content.stream,
            offset: content.offset,
            body: content.body,
        };
        return this.sendAndWait(call, message, onPart);
    }

    /** Requests the outcome of an attempt that was sent to this incarnation on an earlier connection. */
    query(content: QueryContent): PendingCall {
        const call = this.nextCallNumber++;
        return this.sendAndWait(call, { kind: "query", call, incarnation: this.incarnation, ...content }, undefined);
    }

    /** Processes a message from the agent. */
    handle(message: messages.Message): void {
        if (message.kind === "heartbeat") {
            this.updateLoad(message.load);
        }
        else if (message.kind === "part") {
            this.handlePart(message);
        }
        else if (message.kind === "answer") {
            this.updateLoad(message.load);
            this.settle(message.call, message);
        }
    }

    dispose(): void {
        this.loadEmitter.dispose();
        this.connection.dispose();
    }

    private sendAndWait(call: number, message: messages.Message, onPart: Waiter["onPart"]): PendingCall {
        const answer = new Promise<messages.Answer | undefined>(resolve => {
            this.waiters.set(call, { settle: resolve, onPart });
        });
        if (!this.connection.send(message)) {
            this.settle(call, undefined);
        }
        return { answer, cancel: () => this.cancel(call) };
    }

    private cancel(call: number): void {
        const waiter = this.waiters.get(call);
        if (waiter !== undefined) {
            this.waiters.delete(call);
            this.connection.send({ kind: "cancel", call });
            waiter.settle(undefined);
        }
    }

    private handlePart(part: messages.Part): void {
        const waiter = this.waiters.get(part.call);
        if (waiter?.onPart === undefined) {
            this.droppedCount++;
            return;
        }
        waiter.onPart(part);
    }

    private settle(call: number, answer: messages.Answer | undefined): void {
        const waiter = this.waiters.get(call);
        if (waiter === undefined) {
            this.droppedCount++;
            return;
        }
        this.waiters.delete(call);
        waiter.settle(answer);
    }

    private updateLoad(load: messages.Load | undefined): void {
        if (load !== undefined) {
            this.lastLoad = load;
            this.sentSinceLoad = 0;
            this.loadEmitter.fire(load);
        }
    }

    private failPendingCalls(): void {
        for (const call of [...this.waiters.keys()]) {
            this.settle(call, undefined);
        }
    }
}
