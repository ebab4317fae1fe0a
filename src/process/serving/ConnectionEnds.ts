/**
 * Decides which answer ends its connection while the process stops. Callers may send further requests before they have
 * their answers (pipelining). Answers are written in the order of the requests, and nothing is written after one that ends
 * the connection: so that is the answer to the last request that is served, and a request that crosses it isn't served.
 */
import * as http from "node:http";
import * as net from "node:net";

/** The answers to be written on one connection, in order, and whether the caller may keep the connection after each. */
type OpenAnswers = Map<http.ServerResponse, boolean>;

/** The answers of all connections of a server. */
export class ConnectionEnds {
    private readonly answersBySocket = new Map<net.Socket, OpenAnswers>();
    private isEnding = false;

    /**
     * Adds the answer to the latest request of a connection. False if an earlier answer has begun that ends the connection:
     * the request can't be answered.
     */
    tryAdd(socket: net.Socket, response: http.ServerResponse): boolean {
        const answers = this.answersBySocket.get(socket) ?? new Map<http.ServerResponse, boolean>();
        if ([...answers.keys()].some(earlier => earlier.headersSent && !earlier.shouldKeepAlive)) {
            return false;
        }
        for (const [earlier, mayKeep] of answers) {
            if (!earlier.headersSent) {
                earlier.shouldKeepAlive = mayKeep; // It isn't the last one any more.
            }
        }
        answers.set(response, response.shouldKeepAlive);
        this.answersBySocket.set(socket, answers);
        response.shouldKeepAlive &&= !this.isEnding;
        response.once("close", () => this.remove(socket, response));
        return true;
    }

    /** Lets each connection end with the answer to its last request, unless that has begun. */
    begin(): void {
        this.isEnding = true;
        for (const answers of this.answersBySocket.values()) {
            const last = [...answers.keys()].at(-1)!;
            last.shouldKeepAlive &&= last.headersSent;
        }
    }

    /** Whether further answers are to be written on the connection after this one. */
    hasLater(socket: net.Socket, response: http.ServerResponse): boolean {
        const answers = [...this.answersBySocket.get(socket)?.keys() ?? []];
        return answers.includes(response) && answers.at(-1) !== response;
    }

    private remove(socket: net.Socket, response: http.ServerResponse): void {
        const answers = this.answersBySocket.get(socket);
        answers?.delete(response);
        if (answers?.size === 0) {
            this.answersBySocket.delete(socket);
        }
    }
}
