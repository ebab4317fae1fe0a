/**
 * Sends stage calls to the instances of their services and reads the answers.
 */
import * as clocks from "../../common/Clock";
import * as jsonSizes from "../../common/JsonSize";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as answerLimits from "../../connection/AnswerLimits";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as exchanges from "../../connection/UpstreamExchange";
import * as pools from "../instances/InstancePool";
import * as traffic from "../instances/InstanceTraffic";
import * as views from "../published/PublishedView";
import * as stageAnswers from "./StageAnswers";
import * as batching from "./StageBatching";
import * as jobs from "./StageJob";

/** Time limit for the headers of a call's answer. */
const ANSWER_TIMEOUT_MS = 10_000;
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;
/** The same of an answer that holds no results. */
const MAX_FAILURE_BYTES = 64 * 1024;

/** What the calls need from their process. */
export interface StageCallsOptions {
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    readonly wire: routingPorts.StageWire;
    readonly connections: upstreamConnections.UpstreamConnections;
    readonly pool: pools.InstancePool;
    readonly view: views.PublishedView;
    /** Called with the head of each answer to a stage call. */
    readonly onAnswer: (instance: routing.RoutedInstance, answer: exchanges.OpenAnswer, sentAtMs: number) => void;
}

/** The stage calls of one host. */
export class StageCalls {
    private readonly answers = new stageAnswers.StageAnswers();

    constructor(private readonly options: StageCallsOptions) {}

    /** Resolves to the outcomes of the pieces, `held` if the instance holds off, or undefined on failure. */
    async send(batch: batching.StageBatch): Promise<readonly routingPorts.StagePieceOutcome[] | "held" | undefined> {
        const { clock, wire, view, pool: { holds } } = this.options;
        const published = view.find(batch.instance.id);
        if (published === undefined) {
            return undefined;
        }
        const { address } = batch.instance;
        const pieces = batch.pieces.map(piece => this.toStagePiece(piece));
        const request = wire.runRequest(pieces);
        const body = Buffer.from(request.body);
        const ticket = this.options.pool.trafficOf(published).begin(0, []);
        const response = await exchanges.openExchange(this.options.connections, clock, {
            address,
            method: "POST",
            path: request.path,
            headers: ["Host", address, ...wire.requestHeaders(published.id), "Content-Length", String(body.length)],
            body,
            isNewConnection: false,
            answerTimeoutMs: ANSWER_TIMEOUT_MS,
            isHeld: () => holds.remainingMs(published) > 0,
        });
        const recordFault = (fault: answerLimits.AnswerFault): void =>
            this.options.pool.faults.record(published, fault, attemptsOf(pieces));
        if (response.kind === "failed") {
            if (response.fault !== undefined) {
                recordFault(response.fault);
            }
            const isHeld = response.reason === "held";
            ticket.end(response.isStaleConnection || isHeld ? "cancelled" : "unreachable");
            if (!isHeld && !response.isStaleConnection) {
                this.options.pool.proofs.recordFailure(published);
            }
            this.logCall(batch, response.reason);
            return isHeld ? "held" : undefined;
        }
        const holdMs = wire.readHold(response.status, response.headers);
        if (holdMs !== undefined) {
            holds.start(address, published, holdMs, "stage-call");
        }
        this.options.onAnswer(published, response, batch.startedMs);
        const recordCut = (): void => this.options.pool.cuts.record(published, response.end, attemptsOf(pieces));
        const pieceResults = await this.readOutcomes(response, pieces, recordFault, recordCut);
        const failedOutcome = holdMs === undefined ? "failed" : traffic.rejectionOutcome(holdMs);
        ticket.end(pieceResults === undefined ? failedOutcome : "ok");
        this.logCall(batch, pieceResults === undefined ? `status ${response.status}` : describeResults(pieceResults));
        return holdMs === undefined ? pieceResults : "held";
    }

    /** Reads the outcomes of the pieces; undefined if the answer holds none, or belongs to another call. */
    private async readOutcomes(
        response: exchanges.OpenAnswer,
        pieces: readonly routingPorts.StagePiece[],
        recordFault: (fault: answerLimits.AnswerFault) => void,
        recordCut: () => void,
    ): Promise<readonly routingPorts.StagePieceOutcome[] | undefined> {
        const { clock, log, wire } = this.options;
        const { connection, status } = response;
        const maxBytes = status === 200 ? MAX_RESPONSE_BYTES : MAX_FAILURE_BYTES;
        const body = await exchanges.readShortBody(response, maxBytes, clock);
        const failure = body.isErr ? body.error : undefined;
        if (failure === "incomplete") {
            recordCut();
        }
        else if (failure !== undefined) {
            recordFault(failure);
        }
        const content = body.unwrapOr(undefined);
        const outcomes = status === 200 && content !== undefined && jsonSizes.isParsable(content)
            ? wire.readRunAnswer(content.toString("utf8"), pieces).unwrapOr(undefined)
            : undefined;
        const isAccepted = outcomes !== undefined && this.answers.accept(connection, outcomes);
        if (!isAccepted || !stageAnswers.isRecognizable(outcomes)) {
            connection.destroy();
        }
        if (outcomes !== undefined && !isAccepted) {
            log.warn(
                { decision: "repeated-answer", attempts: attemptsOf(pieces) },
                "an earlier answer came again; its connection is closed",
            );
        }
        return isAccepted ? outcomes : undefined;
    }

    private toStagePiece(piece: jobs.JobPiece): routingPorts.StagePiece {
        const { order } = piece.job;
        const inputs = piece.job.inputHandles(piece.stage);
        return {
            attempt: order.attempt,
            stage: piece.stage,
            piece: piece.piece,
            remainingMs: piece.job.hardDeadlineAtMs - this.options.clock.now(),
            key: inputs === undefined ? order.pieceKey : undefined,
            inputs,
        };
    }

    private logCall(batch: batching.StageBatch, end: string): void {
        this.options.log.info({
            decision: "stage-call",
            service: batch.service,
            instance: batch.instance.id,
            pieces: batch.pieces.length,
            ready: batch.readyCount,
            roomKb: Math.round(batch.freeBytes / 1_000),
            attempts: attemptsOf(batch.pieces.map(piece => piece.job.order)),
            elapsedMs: Math.round(this.options.clock.now() - batch.startedMs),
            expectedMs: Math.round(batch.expectedMs),
            end,
        }, "stage call ended");
    }
}

/** The attempts that pieces belong to, each once. */
function attemptsOf(pieces: readonly { readonly attempt: string }[]): string[] {
    return [...new Set(pieces.map(({ attempt }) => attempt))];
}

function describeResults(results: readonly routingPorts.StagePieceOutcome[]): string {
    const failures = results.flatMap(result => "failure" in result ? [result.failure] : []);
    return failures.length === 0 ? "made" : `${results.length - failures.length} made, ${failures.join(" ")}`;
}
