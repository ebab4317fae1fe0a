/**
 * Reads the published store in a single task: lists it once, then watches it for changes, and lists it again when the
 * store no longer has the history since the last known revision, or answers in another era than the one it was asked
 * in. Answers of different eras are never combined.
 */
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as views from "./PublishedView";
import * as availabilities from "./StoreAvailability";
import * as paces from "./WatchPace";

/** Wait of the first watch after a failure, which learns soon whether the store is in another era now. */
const FIRST_WATCH_WAIT_MS = 1;
/** Delay before the next watch, per live entry: batches changes, and few entries fetch each batch from the store. */
const WATCH_DELAY_PER_ENTRY_MS = 30;
const MAX_WATCH_DELAY_MS = 2_000;
/** Mean delay between a failure and the next call. */
const RETRY_DELAY_MS = 250;

/** What the reader needs from its owner. */
export interface PublishedReaderOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly store: routingPorts.PublishedStore;
    readonly view: views.PublishedView;
    readonly random: () => number;
    /** Name of this entry. */
    readonly instance: string;
    /** Names of the other live entries. */
    readonly peerNames: () => readonly string[];
}

/** Keeps a view up to date from the store. */
export class PublishedReader implements clocks.Disposable {
    private readonly stop = new AbortController();
    private readonly availability = new availabilities.StoreAvailability();
    private confirmedAtMs: number | undefined;
    /** Whether others may begin a watch when this entry does. */
    private isInStep = true;
    /** Number of calls on the store. */
    storeCalls = 0;

    constructor(private readonly options: PublishedReaderOptions) {}

    /** Time since the store last confirmed the view; undefined before the first time. */
    get unconfirmedMs(): number | undefined {
        return this.confirmedAtMs === undefined ? undefined : this.options.clock.now() - this.confirmedAtMs;
    }

    /** Starts reading; runs until disposed. */
    start(): void {
        void this.runLoop();
    }

    dispose(): void {
        this.stop.abort();
    }

    private async runLoop(): Promise<void> {
        let isListed = false;
        let isLost = false;
        while (!this.stop.signal.aborted) {
            const call = this.nextCall(isListed);
            const failure = await this.tryCall(call);
            if (failure === undefined) {
                isLost &&= !isListed;
                isListed = true;
                continue;
            }
            const relisting = findRelisting(failure, isListed);
            if (relisting !== undefined) {
                const { decision, text } = relisting;
                this.options.log.warn({ decision, ...this.options.view.position, detail: failure.detail }, text);
                isListed = false;
                if (isLost) {
                    await this.sleepBeforeRetry(); // Listing again hasn't helped.
                }
                isLost = true;
                continue;
            }
            if (!this.recordFailure(call, failure)) {
                await this.sleepBeforeRetry();
            }
        }
    }

    private sleepBeforeRetry(): Promise<void> {
        const delayMs = RETRY_DELAY_MS * (0.5 + this.options.random());
        return clocks.sleep(this.options.clock, delayMs, this.stop.signal);
    }

    private nextCall(isListed: boolean): availabilities.StoreCall {
        if (!isListed) {
            return "list";
        }
        return this.availability.isCheckDue ? "check" : "watch";
    }

    /** Makes a call; an exception, which is a defect of this program, doesn't end the reading. */
    private async tryCall(call: availabilities.StoreCall): Promise<codes.Failure | undefined> {
        try {
            switch (call) {
                case "list":
                    return await this.listAll();
                case "watch":
                    return await this.watchOnce();
                case "check":
                    return await this.checkStore();
            }
        }
        catch (error) {
            this.options.log.error({ decision: "exception", err: error }, "reading the published store failed");
            return codes.failure(codes.codes.internalError, String(error));
        }
    }

    /** Reads all pages. The watch starts at the first page's revision, to get changes made in the meantime. */
    private async listAll(): Promise<codes.Failure | undefined> {
        const items: routing.PublishedItem[] = [];
        let position: positions.Position | undefined;
        const pageEnds = new Set<string | undefined>();
        let after: string | undefined;
        do {
            if (pageEnds.has(after)) {
                return codes.failure(codes.codes.sourceUnavailable, "pages that repeat");
            }
            pageEnds.add(after);
            this.storeCalls++;
            const page = await this.options.store.list(after, this.stop.signal);
            if (page.isErr) {
                return page.error;
            }
            position ??= positions.positionOf(page.value);
            const failure = this.checkEra(position.era, page.value.era);
            if (failure !== undefined) {
                return failure;
            }
            page.value.items.forEach(item => items.push(item)); // A page may have more items than a call takes arguments.
            after = page.value.nextAfter;
        }
        while (after !== undefined);
        this.recordAnswer("list");
        this.isInStep = true;
        this.options.view.apply({ items, ...position, isWhole: true }, "store", this.deletionGraceMs());
        return undefined;
    }

    private async watchOnce(): Promise<codes.Failure | undefined> {
        this.storeCalls++;
        const { view, store } = this.options;
        const since = view.position;
        const changes = await store.watch(since.revision, this.watchWaitMs(), this.stop.signal);
        if (changes.isErr) {
            return changes.error;
        }
        if (view.position.era !== since.era) {
            return undefined; // A peer's update has entered another era meanwhile.
        }
        if (changes.value.isHistoryLost) {
            return codes.failure(codes.codes.configurationGap, "history lost");
        }
        const failure = this.checkEra(since.era, changes.value.era);
        if (failure !== undefined) {
            return failure;
        }
        const wasAvailable = this.recordAnswer("watch") === "available";
        const { items } = changes.value;
        const position = positions.positionOf(changes.value);
        view.apply({ items, ...position, isWhole: false }, "store", this.deletionGraceMs());
        this.isInStep = !wasAvailable || items.length > 0;
        const delayMs = Math.min(MAX_WATCH_DELAY_MS, WATCH_DELAY_PER_ENTRY_MS * (this.options.peerNames().length + 1));
        await clocks.sleep(this.options.clock, delayMs, this.stop.signal);
        return undefined;
    }

    /** Asks whether the store answers; what it says is learned from the next watch. */
    private async checkStore(): Promise<codes.Failure | undefined> {
        this.storeCalls++;
        const answer = await this.options.store.readPosition(this.stop.signal);
        if (answer.isErr) {
            return answer.error;
        }
        this.recordAnswer("check");
        return undefined;
    }

    /** The failure of a call that was made in one era and answered in another; undefined if the answer is of use. */
    private checkEra(callEra: number, answerEra: number): codes.Failure | undefined {
        if (answerEra < this.options.view.position.era) {
            return codes.failure(codes.codes.sourceUnavailable, `answer of the earlier era ${answerEra}`);
        }
        return answerEra === callEra
            ? undefined
            : codes.failure(codes.codes.configurationGap, `era ${answerEra} in place of ${callEra}`);
    }

    private watchWaitMs(): number {
        if (this.availability.state !== "available") {
            return FIRST_WATCH_WAIT_MS;
        }
        const { instance, peerNames, view } = this.options;
        const { revision } = view.position;
        return paces.waitMs({ instance, peers: peerNames(), revision, isInStep: this.isInStep });
    }

    private deletionGraceMs(): number {
        return this.availability.deletionGraceMs(this.options.clock.now());
    }

    /** Returns whether the next call is due at once. */
    private recordFailure(call: availabilities.StoreCall, failure: codes.Failure): boolean {
        if (this.stop.signal.aborted) {
            return false;
        }
        const previous = this.availability.state;
        const isPrompt = this.availability.recordFailure(call, this.options.clock.now());
        const { state } = this.availability;
        if (state !== previous) {
            const { name, code } = failure.code;
            const fields = { dependency: "store", state, call, code, name, detail: failure.detail };
            if (state === "doubtful") {
                this.options.log.info(fields, "call of the published store failed; trying again");
            }
            else {
                this.options.log.warn(fields, "published store unreachable");
            }
        }
        return isPrompt;
    }

    /** Returns the state before the answer. */
    private recordAnswer(call: availabilities.StoreCall): availabilities.StoreState {
        const nowMs = this.options.clock.now();
        this.confirmedAtMs = call === "check" ? this.confirmedAtMs : nowMs;
        const previous = this.availability.recordAnswer(call, nowMs);
        const { state } = this.availability;
        if (state !== previous) {
            const graceMs = this.availability.deletionGraceMs(nowMs);
            const fields = { dependency: "store", state, previous, graceMs, ...this.options.view.position };
            const text = state === "available"
                ? "published store reachable again"
                : "published store answers; watching";
            this.options.log.info(fields, text);
        }
        return previous;
    }
}

/** Why all keys have to be listed again after a failure, as it is logged; undefined if the same call can be repeated. */
function findRelisting(
    failure: codes.Failure,
    isListed: boolean,
): { readonly decision: string; readonly text: string } | undefined {
    if (failure.code === codes.codes.configurationGap) {
        return { decision: "history-lost", text: "store history lost; listing all keys again" };
    }
    return isListed && failure.code === codes.codes.answerTooLarge
        ? {
            decision: "changes-too-large",
            text: "the changes don't fit into an answer of the store; listing all keys again",
        }
        : undefined;
}
