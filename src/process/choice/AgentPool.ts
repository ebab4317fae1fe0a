/**
 * Connections of an entry to agents, with one client for each connected agent instance.
 */
import * as clocks from "../../common/Clock";
import * as messages from "../../common/Messages";
import * as agentClients from "../../connection/AgentClient";
import * as peerConnections from "../../connection/PeerConnection";
import * as flowEstimates from "../admission/FlowEstimate";

/** Interval of looking for a lost agent, and querying it, while the outcome of an attempt there is unknown. */
const RECOVERY_POLL_INTERVAL_MS = 25;

/** Holds one client for each connected agent. */
export class AgentPool implements clocks.Disposable {
    private readonly clientsByInstance = new Map<string, agentClients.AgentClient>();
    private readonly clientsByConnection = new Map<peerConnections.PeerConnection, agentClients.AgentClient>();

    constructor(private readonly clock: clocks.Clock) {}

    /**
     * Adds a connection to an agent. One that the agent opened is ignored: it only carries gossip, and the agent may
     * close it.
     */
    add(connection: peerConnections.PeerConnection): void {
        if (connection.remote.role !== "agent" || !connection.isOpener) {
            return;
        }
        const client = new agentClients.AgentClient(connection);
        this.clientsByConnection.set(connection, client);
        this.clientsByInstance.set(client.instance, client);
        connection.onClose(() => this.remove(connection));
    }

    /** Passes a message from a connection to its client. */
    handle(connection: peerConnections.PeerConnection, message: messages.Message): void {
        this.clientsByConnection.get(connection)?.handle(message);
    }

    /** Whether a connection has unanswered calls. */
    hasUnansweredCalls(connection: peerConnections.PeerConnection): boolean {
        return (this.clientsByConnection.get(connection)?.pendingCount ?? 0) > 0;
    }

    /** The client of an instance; undefined while it isn't connected. */
    find(instance: string): agentClients.AgentClient | undefined {
        return this.clientsByInstance.get(instance);
    }

    /** The clients of all connected agents. */
    get all(): readonly agentClients.AgentClient[] {
        return [...this.clientsByInstance.values()];
    }

    /** Known loads of the given instances. */
    readLoads(instances: readonly { readonly instance: string }[]): readonly flowEstimates.InstanceLoad[] {
        return instances.map(({ instance }) => {
            const client = this.clientsByInstance.get(instance);
            return { load: client?.load, pending: client?.callsSinceLoad ?? 0, unanswered: client?.pendingCount ?? 0 };
        });
    }

    /**
     * Queries an incarnation for the outcome of an attempt whose connection was lost. Waits for a new connection
     * until `signal` aborts at the deadline; undefined when the incarnation is gone or didn't answer.
     */
    async recoverOutcome(
        instance: string,
        incarnation: number,
        query: agentClients.QueryContent,
        signal: AbortSignal,
    ): Promise<messages.Answer | undefined> {
        const startedMs = this.clock.now();
        while (!signal.aborted) {
            const client = this.clientsByInstance.get(instance);
            if (client !== undefined && client.incarnation !== incarnation) {
                return undefined;
            }
            const ageMs = query.ageMs + this.clock.now() - startedMs;
            const answer = await this.queryOnce(client, { ...query, ageMs }, signal);
            if (answer !== undefined) {
                return answer;
            }
            await clocks.sleep(this.clock, RECOVERY_POLL_INTERVAL_MS, signal);
        }
        return undefined;
    }

    dispose(): void {
        for (const client of this.clientsByInstance.values()) {
            client.dispose();
        }
    }

    private async queryOnce(
        client: agentClients.AgentClient | undefined,
        query: agentClients.QueryContent,
        signal: AbortSignal,
    ): Promise<messages.Answer | undefined> {
        if (client === undefined) {
            return undefined;
        }
        const pending = client.query(query);
        const cancel = (): void => pending.cancel();
        signal.addEventListener("abort", cancel, { once: true });
        const answer = await pending.answer;
        signal.removeEventListener("abort", cancel);
        return answer;
    }

    private remove(connection: peerConnections.PeerConnection): void {
        const client = this.clientsByConnection.get(connection);
        this.clientsByConnection.delete(connection);
        if (client !== undefined && this.clientsByInstance.get(client.instance) === client) {
            this.clientsByInstance.delete(client.instance);
        }
    }
}
