/**
 * The configuration in force in this process and its exchange with peers. Versions only increase: a lower version
 * is ignored, different contents of the same version raise an alarm, and invalid content is rejected completely.
 */
import * as result from "true-myth/result";
import * as tsPattern from "ts-pattern";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as configurations from "../../common/Configuration";
import * as emitters from "../../common/Emitter";
import * as logs from "../../common/Log";
import * as messages from "../../common/Messages";
import * as checks from "../../version/ConfigurationCheck";
import * as deltas from "../../version/ConfigurationDelta";
import * as contentDigests from "../../version/ContentDigest";
import * as deltaLogs from "./DeltaLog";
import * as rejectedVersions from "./RejectedVersions";

/** Time to wait for the answer to a fetch before another fetch may be sent. */
export const FETCH_TIMEOUT_MS = 1_000;
/** Added to the age of a confirmation from a peer, so that it can't become younger by passing from peer to peer. */
export const HOP_AGE_MS = 50;
/** If no frame was read for longer than this, the process is assumed to have been paused and to read old frames. */
export const PAUSE_THRESHOLD_MS = 2 * messages.HEARTBEAT_MS;
/** Time after a pause in which peers' confirmations are ignored, since they may have been waiting. */
const STALE_FRAMES_WINDOW_MS = messages.HEARTBEAT_MS;
/** Maximum number of past alarms kept to suppress repeated ones. */
const MAX_REMEMBERED_ALARMS = 100;

/** A configuration that passed all checks. */
export interface VersionInForce {
    readonly configuration: configurations.Configuration;
    readonly digest: string;
    /** When it came into force in this process, on the clock's scale. */
    readonly receivedMs: number;
}

/** Events since the start of the process. */
export interface ConfigurationCounters {
    applied: number;
    /** Offers below the version in force. */
    older: number;
    conflicts: number;
    invalid: number;
    /** Deltas that didn't apply to the version in force. */
    gaps: number;
    fetchesSent: number;
    deltasSent: number;
    fullsSent: number;
}

/** Sends a message to the peer that a frame came from; false if the connection is closed. */
export type Send = (message: messages.Message) => boolean;

/** A document whose version isn't below the version in force. */
interface OfferedDocument {
    readonly content: unknown;
    readonly source: string;
    /** The edits that produced it from the version in force; undefined if the full content was received. */
    readonly edits?: readonly messages.Edit[];
}

/** Dependencies of a replica. */
export interface ConfigurationReplicaOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
}

/** Holds the version in force, and updates it from the configuration service and from peers. */
export class ConfigurationReplica implements clocks.Disposable {
    private inForce: VersionInForce | undefined;
    private confirmedAtMs: number | undefined;
    private lastObservedAtMs: number | undefined;
    private pauseEndedAtMs = -Infinity;
    private pendingFetch: { readonly peer: string; readonly sentAtMs: number } | undefined;
    private readonly digests = new contentDigests.ContentDigest();
    private readonly deltaLog = new deltaLogs.DeltaLog();
    private readonly rejections: rejectedVersions.RejectedVersions;
    private raisedAlarms: string[] = [];
    private readonly versionEmitter = new emitters.Emitter<VersionInForce>();
    private readonly alarmEmitter = new emitters.Emitter<codes.Failure>();

    /** Fires after a higher version has come into force. */
    readonly onVersion = this.versionEmitter.event;
    /** Fires once for each conflict and each rejected version. */
    readonly onAlarm = this.alarmEmitter.event;
    readonly counters: ConfigurationCounters = {
        applied: 0,
        older: 0,
        conflicts: 0,
        invalid: 0,
        gaps: 0,
        fetchesSent: 0,
        deltasSent: 0,
        fullsSent: 0,
    };

    constructor(private readonly options: ConfigurationReplicaOptions) {
        this.rejections = new rejectedVersions.RejectedVersions(options.clock);
    }

    /** The version in force; undefined before the first one. */
    get current(): VersionInForce | undefined {
        return this.inForce;
    }

    /** The number of the version in force; 0 if there is none. */
    get version(): number {
        return this.inForce?.configuration.version ?? 0;
    }

    /** Time since the configuration service last confirmed that it has no newer version; undefined if it never did. */
    get unconfirmedMs(): number | undefined {
        return this.confirmedAtMs === undefined ? undefined : this.options.clock.now() - this.confirmedAtMs;
    }

    /** Versions that failed their checks, oldest first. */
    get rejected(): readonly rejectedVersions.RejectedVersion[] {
        return this.rejections.all;
    }

    /**
     * Checks a document from the configuration service or a peer and puts it in force if its version is higher.
     * `source` names its origin in the log. On errors (configuration-older, configuration-conflict,
     * configuration-invalid) the version in force stays.
     */
    offer(content: unknown, source: string): result.Result<"applied" | "same", codes.Failure> {
        const offeredVersion = readVersion(content);
        if (offeredVersion !== undefined && offeredVersion < this.version) {
            this.counters.older++;
            return result.err(codes.failure(codes.codes.configurationOlder, `${offeredVersion} < ${this.version}`));
        }
        return this.checkAndApply({ content, source });
    }

    /** Records that `ageMs` ago the configuration service had no newer version. */
    confirm(ageMs: number): void {
        const confirmedAtMs = this.options.clock.now() - ageMs;
        if (this.confirmedAtMs === undefined || confirmedAtMs > this.confirmedAtMs) {
            this.confirmedAtMs = confirmedAtMs;
        }
    }

    /** Processes a frame from a peer; `send` answers on the same connection. */
    observe(envelope: messages.Envelope, send: Send, peer: string): void {
        this.detectPause();
        tsPattern.match(envelope.message)
            .with({ kind: "heartbeat" }, heartbeat => this.receiveHeartbeat(envelope.version, heartbeat, peer))
            .with({ kind: "fetch" }, ({ from }) => this.answerFetch(from, send))
            .with({ kind: "delta" }, delta => this.receiveDelta(delta, send, peer))
            .with({ kind: "full" }, ({ content }) => this.receiveFull(content, peer))
            .otherwise(() => undefined);
        if (envelope.version > this.version && !this.rejections.isRecentlyRejected(envelope.version)) {
            this.sendFetch(this.version, send, peer);
        }
    }

    dispose(): void {
        this.versionEmitter.dispose();
        this.alarmEmitter.dispose();
    }

    private checkAndApply(
        { content, source, edits }: OfferedDocument,
    ): result.Result<"applied" | "same", codes.Failure> {
        const base = this.inForce?.configuration;
        const checked = edits === undefined || base === undefined
            ? checks.checkConfiguration(content)
            : checks.checkChange(base, content, this.digests.summarize(content).length);
        if (checked.isErr) {
            return result.err(this.reject(readVersion(content), checked.error, source));
        }
        if (checked.value.version === this.version) {
            return this.compareDigest(this.digests.summarize(checked.value).digest, source);
        }
        this.applyChange(base, checked.value, edits, source);
        return result.ok("applied");
    }

    /** Puts content in force, in a form that shares the unchanged records with the previous content. */
    private applyChange(
        base: configurations.Configuration | undefined,
        checked: configurations.Configuration,
        receivedEdits: readonly messages.Edit[] | undefined,
        source: string,
    ): void {
        const edits = base === undefined ? [] : receivedEdits ?? deltas.diff(base, checked);
        const configuration = receivedEdits !== undefined
            ? checked
            : base === undefined
            ? deltas.sortNames(checked)
            : deltas.apply(base, edits) as configurations.Configuration;
        const { digest, length } = this.digests.summarize(configuration);
        if (base === undefined) {
            this.deltaLog.reset(length);
        }
        else {
            this.deltaLog.add(base.version, edits, length);
        }
        this.putInForce(configuration, digest, source);
    }

    private putInForce(configuration: configurations.Configuration, digest: string, source: string): void {
        this.inForce = { configuration, digest, receivedMs: this.options.clock.now() };
        this.pendingFetch = undefined;
        this.counters.applied++;
        this.rejections.remove(configuration.version);
        const { version, preset } = configuration;
        this.options.log.info({ version, preset, digest, source }, "configuration in force");
        this.versionEmitter.fire(this.inForce);
    }

    private compareDigest(digest: string, source: string): result.Result<"same", codes.Failure> {
        if (digest === this.inForce?.digest) {
            return result.ok("same");
        }
        this.counters.conflicts++;
        const conflict = codes.failure(
            codes.codes.configurationConflict,
            `version ${this.version} has digest ${this.inForce?.digest}, but ${source} has digest ${digest}`,
        );
        this.raiseAlarm(conflict, `conflict ${this.version} ${digest}`);
        return result.err(conflict);
    }

    private reject(
        version: number | undefined,
        problems: readonly checks.Problem[],
        source: string,
    ): codes.Failure {
        const first = problems[0];
        const reason = `${first?.path}: ${first?.value}, expected ${first?.expected} (${problems.length} problems)`;
        if (version !== undefined && version === this.version) {
            const conflict = codes.failure(codes.codes.configurationConflict, `version ${version}, ${reason}`);
            this.counters.conflicts++;
            this.raiseAlarm(conflict, `conflict ${version} invalid`);
            return conflict;
        }
        this.counters.invalid++;
        const invalid = codes.failure(
            codes.codes.configurationInvalid,
            `version ${version} from ${source}, ${reason}`,
        );
        this.rejections.add(version ?? 0, reason);
        this.raiseAlarm(invalid, `invalid ${version} ${reason}`);
        return invalid;
    }

    /** Logs and fires an alarm, unless one with the same key was raised before. */
    private raiseAlarm(alarm: codes.Failure, key: string): void {
        if (this.raisedAlarms.includes(key)) {
            return;
        }
        this.raisedAlarms = [...this.raisedAlarms, key].slice(-MAX_REMEMBERED_ALARMS);
        this.options.log.error({ code: alarm.code.code, detail: alarm.detail }, alarm.code.text);
        this.alarmEmitter.fire(alarm);
    }

    private receiveHeartbeat(version: number, heartbeat: messages.Heartbeat, peer: string): void {
        if (version !== this.version || this.inForce === undefined) {
            return;
        }
        if (heartbeat.digest !== undefined && this.compareDigest(heartbeat.digest, peer).isErr) {
            return;
        }
        const isAfterPause = this.options.clock.now() - this.pauseEndedAtMs < STALE_FRAMES_WINDOW_MS;
        if (heartbeat.unconfirmedMs !== undefined && !isAfterPause) {
            this.confirm(heartbeat.unconfirmedMs + HOP_AGE_MS);
        }
    }

    private detectPause(): void {
        const nowMs = this.options.clock.now();
        if (this.lastObservedAtMs !== undefined && nowMs - this.lastObservedAtMs > PAUSE_THRESHOLD_MS) {
            this.pauseEndedAtMs = nowMs;
        }
        this.lastObservedAtMs = nowMs;
    }

    private answerFetch(from: number, send: Send): void {
        if (this.inForce === undefined || from >= this.version) {
            return;
        }
        const { configuration, digest } = this.inForce;
        const edits = this.deltaLog.findEdits(from);
        if (edits === undefined) {
            this.counters.fullsSent++;
            send({ kind: "full", digest, content: configuration });
        }
        else {
            this.counters.deltasSent++;
            send({ kind: "delta", from, to: configuration.version, digest, edits });
        }
    }

    private receiveDelta(delta: messages.Delta, send: Send, peer: string): void {
        this.clearFetch(peer);
        if (delta.to <= this.version || this.inForce === undefined) {
            return;
        }
        if (delta.from !== this.version) {
            this.counters.gaps++;
            this.sendFetch(this.version, send, peer);
            return;
        }
        const content = deltas.apply(this.inForce.configuration, delta.edits);
        const { digest } = this.digests.summarize(content);
        if (readVersion(content) !== delta.to || digest !== delta.digest) {
            this.counters.gaps++;
            const detail = `${delta.from} to ${delta.to} from ${peer}`;
            this.options.log.warn(
                { code: codes.codes.configurationGap.code, detail },
                "delta doesn't apply to the version in force",
            );
            this.sendFetch(0, send, peer);
            return;
        }
        this.checkAndApply({ content, source: peer, edits: delta.edits });
    }

    private receiveFull(content: unknown, peer: string): void {
        this.clearFetch(peer);
        this.offer(content, peer);
    }

    private sendFetch(from: number, send: Send, peer: string): void {
        const nowMs = this.options.clock.now();
        if (this.pendingFetch !== undefined && nowMs - this.pendingFetch.sentAtMs < FETCH_TIMEOUT_MS) {
            return;
        }
        if (send({ kind: "fetch", from })) {
            this.pendingFetch = { peer, sentAtMs: nowMs };
            this.counters.fetchesSent++;
        }
    }

    private clearFetch(peer: string): void {
        if (this.pendingFetch?.peer === peer) {
            this.pendingFetch = undefined;
        }
    }
}

function readVersion(content: unknown): number | undefined {
    const version = typeof content === "object" && content ? (content as { version?: unknown }).version : undefined;
    return typeof version === "number" && Number.isSafeInteger(version) ? version : undefined;
}
