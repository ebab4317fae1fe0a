/**
 * The agent's side of its connections: runs one task per call, stored by call number for cancellation.
 */
import * as codes from "../common/Codes";
import * as messages from "../common/Messages";
import * as partBatches from "../connection/PartBatch";
import * as peerConnections from "../connection/PeerConnection";
import * as upstreamWorks from "../request/UpstreamWork";

/** Work in progress on one connection, by call number. */
type WorkByCall = Map<number, upstreamWorks.UpstreamWork>;

/** Serves the calls and queries of all connections of an agent. */
export class AgentServer {
    private readonly workByConnection = new Map<peerConnections.PeerConnection, WorkByCall>();

    constructor(
        private readonly context: upstreamWorks.WorkContext,
        private readonly onCallEnd: (answer: messages.Answer) => void,
    ) {}

    /** Number of calls in progress on all connections, including closed ones. */
    get workCount(): number {
        let count = 0;
        this.workByConnection.forEach(workByCall => count += workByCall.size);
        return count;
    }

    /** Whether calls are in progress on a connection. */
    isBusy(connection: peerConnections.PeerConnection): boolean {
        return (this.workByConnection.get(connection)?.size ?? 0) > 0;
    }

    /** Adds a connection. When it closes, its calls are cancelled, except dispatched non-idempotent ones. */
    addConnection(connection: peerConnections.PeerConnection): void {
        const workByCall: WorkByCall = new Map();
        this.workByConnection.set(connection, workByCall);
        connection.onClose(() => {
            workByCall.forEach(work => work.cancel());
            this.deleteIfFinished(connection, workByCall);
        });
    }

    /** Processes a message that concerns calls; ignores all other kinds. */
    handle(connection: peerConnections.PeerConnection, envelope: messages.Envelope): void {
        const { message, version } = envelope;
        if (message.kind === "call") {
            void this.serve(connection, message, version);
        }
        else if (message.kind === "cancel") {
            this.workByConnection.get(connection)?.get(message.call)?.cancel();
        }
        else if (message.kind === "query") {
            void this.answerQuery(connection, message);
        }
    }

    private async serve(
        connection: peerConnections.PeerConnection,
        call: messages.Call,
        version: number,
    ): Promise<void> {
        const workByCall = this.workByConnection.get(connection);
        if (workByCall === undefined || workByCall.has(call.call)) {
            return;
        }
        const parts = new partBatches.PartBatch(({ offset, tokens }) => {
            connection.send({ kind: "part", call: call.call, offset, tokens: [...tokens] });
        });
        const work = new upstreamWorks.UpstreamWork(this.context, call, version, part => parts.add(part));
        workByCall.set(call.call, work);
        const answer = await work.run();
        workByCall.delete(call.call);
        this.onCallEnd(answer);
        parts.flush();
        connection.send(answer);
        this.deleteIfFinished(connection, workByCall);
    }

    private deleteIfFinished(connection: peerConnections.PeerConnection, workByCall: WorkByCall): void {
        if (connection.isClosed && workByCall.size === 0) {
            this.workByConnection.delete(connection);
        }
    }

    private async answerQuery(connection: peerConnections.PeerConnection, query: messages.Query): Promise<void> {
        const { attempts, incarnation } = this.context;
        const attemptState = query.incarnation === incarnation
            ? attempts.query(query, query.ageMs)
            : { kind: "forgotten" as const };
        if (attemptState.kind === "running" || attemptState.kind === "answered") {
            const answer = attemptState.kind === "running" ? await attemptState.settled : attemptState.answer;
            connection.send({ ...answer, call: query.call });
            return;
        }
        const code = attemptState.kind === "not-run" ? codes.codes.tombstoned : codes.codes.connectionLost;
        connection.send(this.createAnswer(query.call, code));
    }

    private createAnswer(call: number, code: codes.ResultCode): messages.Answer {
        const load = this.context.load();
        return { kind: "answer", call, code: code.code, upstreamMs: 0, queuedMs: 0, tokens: 0, load };
    }
}
