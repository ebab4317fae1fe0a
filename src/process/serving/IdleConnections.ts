/**
 * Knows which connections of a server wait for their next request. `http.Server.closeIdleConnections` would also close
 * those whose ended response has not been sent completely yet.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as pacedSockets from "../../connection/PacedSocket";

interface ConnectionState {
    openResponses: number;
    /** Bytes that had been read when the last response was sent; more of them belong to a next request. */
    bytesRead: number;
}

/** The connections of one server that have had a request. */
export class IdleConnections {
    private readonly states = new Map<net.Socket, ConnectionState>();

    constructor(server: http.Server) {
        server.on("request", (request, response) => this.countRequest(request.socket, response));
    }

    /** Closes the connections without a request. */
    close(): void {
        for (const [socket, state] of this.states) {
            if (isIdle(socket, state)) {
                socket.destroy();
            }
        }
    }

    /** Closes the connection that has been without a request for longest; false if there is none. */
    closeLongestIdle(): boolean {
        for (const [socket, state] of this.states) {
            if (isIdle(socket, state)) {
                this.states.delete(socket);
                socket.destroy();
                return true;
            }
        }
        return false;
    }

    /** Whether a connection has requests without an answer beside the one that is being answered. */
    hasOtherResponses(socket: net.Socket): boolean {
        return (this.states.get(socket)?.openResponses ?? 0) > 1;
    }

    private countRequest(socket: net.Socket, response: http.ServerResponse): void {
        const state = this.states.get(socket) ?? this.track(socket);
        state.openResponses++;
        response.on("close", () => {
            state.openResponses--;
            state.bytesRead = socket.bytesRead;
            if (this.states.delete(socket)) {
                this.states.set(socket, state); // The one that has been idle for longest comes first.
            }
        });
    }

    private track(socket: net.Socket): ConnectionState {
        const state = { openResponses: 0, bytesRead: 0 };
        this.states.set(socket, state);
        socket.on("close", () => this.states.delete(socket));
        return state;
    }
}

function isIdle(socket: net.Socket, { openResponses, bytesRead }: ConnectionState): boolean {
    return openResponses === 0 && socket.bytesRead === bytesRead && !pacedSockets.hasUnreadPieces(socket);
}
