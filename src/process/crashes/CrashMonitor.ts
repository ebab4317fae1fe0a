/**
 * Learns from interrupted calls which instances have ended, and which prompts they were about to answer; holds back
 * calls whose prompts have parts that crash instances. A connection may also be lost while its instance serves on, so an
 * interruption counts only once the instance's address refuses connections.
 */
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

/** The prompts of an instance that may have ended. */
interface PossibleEnd {
    readonly atMs: number;
    readonly parts: Set<string>;
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
    observeInterruption(
        instance: routing.RoutedInstance,
        prompt: readonly routingPorts.PromptPart[],
        attempt: string,
    ): void {
        const parts = sharedPartNames(prompt);
        if (parts.length === 0) {
            return;
        }
        const key = routing.incarnationKey(instance);
        const pending = this.possibleEnds.get(key);
        if (pending !== undefined) {
            parts.forEach(part => pending.parts.add(part));
            return;
        }
        const possible = { atMs: this.options.clock.now(), parts: new Set(parts) };
        this.possibleEnds.set(key, possible);
        void this.examine(instance, possible, attempt).finally(() => this.possibleEnds.delete(key));
    }

    /** Records that an instance has answered a call's prompt. */
    observeAnswer(prompt: readonly routingPorts.PromptPart[]): void {
        this.options.evidence.recordAnswer(sharedPartNames(prompt));
    }

    /** The suspected parts that a prompt has, for which its call must not be sent; undefined if it has none. */
    findHeld(prompt: readonly routingPorts.PromptPart[]): ReadonlySet<string> | undefined {
        const suspected = this.options.evidence.findSuspected();
        if (suspected.length === 0) {
            return undefined;
        }
        const names = new Set(partNames(prompt));
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
                    "prompts with these parts crash instances; calls with them are held back",
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
        const crash = { instance: id, startedMs, atMs: possible.atMs, parts: possible.parts, attempt };
        if (evidence.recordCrash(crash)) {
            const parts = [...possible.parts];
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
