/**
 * Learns from interrupted calls which instances have ended, and which calls they were about to answer; holds back calls
 * that crash instances, and those whose prompts have parts that do. A connection may also be lost while its instance serves on, so an
 * interruption counts only once the instance's address refuses connections.
 */
import * as backgroundTasks from "../../common/BackgroundTask";
import * as clocks from "../../common/Clock";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as endpointProbes from "../../connection/EndpointProbe";
import * as deltas from "../../version/ConfigurationDelta";
import * as crashEvidence from "./CrashEvidence";

/** An ending process closes its connections shortly before or after its listening socket. */
const PROBE_DELAY_MS = 10;
/** Interruptions so shortly after an end that was found belong to it. */
const SAME_END_MS = 1_000;
/** Interval of the notes of calls that are held back. */
const NOTE_INTERVAL_MS = 1_000;
/** Longer names of parts are replaced by their digests. */
const MAX_NAME_LENGTH = 64;

/** What the monitor needs from its process. */
export interface CrashMonitorOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly evidence: crashEvidence.CrashEvidence;
    readonly probe?: typeof endpointProbes.probeEndpoint;
}

/** A call as far as it matters here. */
export interface ObservedCall {
    readonly attempt: string;
    readonly promptParts: readonly routingPorts.PromptPart[];
    /** Digests that identify the request when it comes again; computed at the first use. */
    readonly requestDigests: () => readonly string[];
}

/** The calls of an instance that may have ended. */
interface PossibleEnd {
    readonly atMs: number;
    readonly parts: Set<string>;
    readonly requests: Map<string, number>;
}

/** A part's name has no colon, so that no caller can choose this one. */
const REQUEST_PREFIX = "request:";

function requestNames(call: ObservedCall): string[] {
    return call.requestDigests().map(digest => REQUEST_PREFIX + digest);
}

/** The names of a prompt's parts, as entries tell each other. Callers choose them, and they may be of any length. */
function partNames(prompt: readonly routingPorts.PromptPart[]): string[] {
    return prompt.map(({ id }) => id.length > MAX_NAME_LENGTH ? deltas.digestText(id) : id);
}

/** Those that other prompts may share: all but the last one, which belongs to the request. */
function sharedPartNames(prompt: readonly routingPorts.PromptPart[]): string[] {
    const names = partNames(prompt);
    return names.length > 1 ? names.slice(0, -1) : names;
}

/** Observes the calls of this process. */
export class CrashMonitor implements clocks.Disposable {
    private readonly possibleEnds = new Map<string, PossibleEnd>();
    private readonly crashEmitter = new emitters.Emitter<crashEvidence.Crash>();
    private suspectedKeys = new Map<string, crashEvidence.SuspectedParts>();
    private notedAtMs = -Infinity;
    /** Number of checks that held a call back. */
    heldCalls = 0;

    /** Fires with each end of an instance that this process has found. */
    readonly onCrash = this.crashEmitter.event;

    constructor(private readonly options: CrashMonitorOptions) {}

    /** Number of parts that are held back now. */
    get suspectedCount(): number {
        return this.options.evidence.findSuspected().reduce((sum, { parts }) => sum + parts.size, 0);
    }

    /** Records that a call was interrupted which its instance was about to answer. */
    observeInterruption(instance: routing.RoutedInstance, call: ObservedCall, sentAtMs: number): void {
        const key = routing.incarnationKey(instance);
        const pending = this.possibleEnds.get(key);
        const possible = pending ?? { atMs: this.options.clock.now(), parts: new Set(), requests: new Map() };
        sharedPartNames(call.promptParts).forEach(part => possible.parts.add(part));
        requestNames(call).forEach(request => possible.requests.set(request, sentAtMs));
        if (pending === undefined) {
            this.possibleEnds.set(key, possible);
            backgroundTasks.runInBackground(this.options.log, "crash-examination", async () => {
                try {
                    await this.examine(instance, possible, call.attempt);
                }
                finally {
                    this.possibleEnds.delete(key);
                }
            });
        }
    }

    /** Records that an instance has answered a call. */
    observeAnswer(call: ObservedCall): void {
        const { evidence } = this.options;
        const requests = evidence.hasCrashes ? requestNames(call) : []; // They matter only for requests that come again.
        evidence.recordAnswer([...sharedPartNames(call.promptParts), ...requests]);
    }

    /** What a call has that is suspected, for which it must not be sent; undefined if there is nothing. */
    findHeld(call: ObservedCall): ReadonlySet<string> | undefined {
        const suspected = this.options.evidence.findSuspected();
        if (suspected.length === 0) {
            return undefined;
        }
        const names = new Set([...partNames(call.promptParts), ...requestNames(call)]);
        const held = suspected.find(({ parts }) => [...parts].every(part => names.has(part)));
        if (held === undefined) {
            return undefined;
        }
        this.note(held);
        return held.parts;
    }

    /** Logs parts that have become suspected, and those that no longer are. */
    logChanges(): void {
        const current = new Map(this.options.evidence.findSuspected().map(group => [describe(group), group]));
        for (const [key, { parts, crashes }] of current) {
            if (!this.suspectedKeys.has(key)) {
                const instances = crashes.map(crash => crash.instance);
                const fields = { parts: [...parts], instances, attempt: crashes[0]?.attempt };
                this.options.log.warn(
                    { decision: "parts-suspected", ...fields },
                    "calls with these parts crash instances; they are held back",
                );
            }
        }
        for (const [key, { parts }] of this.suspectedKeys) {
            if (!current.has(key)) {
                this.options.log.info(
                    { decision: "parts-cleared", parts: [...parts] },
                    "parts aren't held back any more",
                );
            }
        }
        this.suspectedKeys = current;
    }

    dispose(): void {
        this.crashEmitter.dispose();
    }

    private async examine(instance: routing.RoutedInstance, possible: PossibleEnd, attempt: string): Promise<void> {
        const { clock, evidence, log, probe = endpointProbes.probeEndpoint } = this.options;
        if (!this.isKnownEnd(instance)) {
            await clocks.sleep(clock, PROBE_DELAY_MS);
            const state = await probe(instance.address, clock);
            if (state !== "refused") {
                log.info(
                    { decision: "interruption", instance: instance.id, attempt, state },
                    "calls were interrupted and the instance hasn't ended",
                );
                return;
            }
        }
        const { id, startedMs } = instance;
        const crash = { instance: id, startedMs, ...possible, attempt };
        if (evidence.recordCrash(crash)) {
            const parts = [...possible.parts, ...possible.requests.keys()];
            log.info(
                { decision: "crash", instance: id, startedMs, attempt, parts },
                "instance ended before its answers",
            );
            this.logChanges();
            this.crashEmitter.fire({ ...crash, seenAtMs: possible.atMs });
        }
    }

    private isKnownEnd(instance: routing.RoutedInstance): boolean {
        const known = this.options.evidence.find(instance);
        return known !== undefined && known.atMs > this.options.clock.now() - SAME_END_MS;
    }

    private note(held: crashEvidence.SuspectedParts): void {
        this.heldCalls++;
        const nowMs = this.options.clock.now();
        if (nowMs - this.notedAtMs >= NOTE_INTERVAL_MS) {
            this.notedAtMs = nowMs;
            this.options.evidence.noteSeen(held);
        }
    }
}

function describe({ parts }: crashEvidence.SuspectedParts): string {
    return [...parts].sort().join(",");
}
