/**
 * Bounds the requests of one connection that a server has in progress. Further ones wait unread until an answer has
 * been sent. So that each is read by itself, pieces end where a head or a body ends, or may end. The responses to all of
 * them are told when the connection closes.
 */
import * as http from "node:http";
import * as net from "node:net";
import * as pacedSockets from "./PacedSocket";
import * as accounts from "./ReadAccount";
import * as readTurns from "./ReadTurns";

/** The ends of a head, or of a body in chunks, with the end of the line before; some builds of Node.js accept both. */
const BLANK_LINES = [Buffer.from("\n\r\n"), Buffer.from("\n\n")];
/**
 * Smallest piece of a body in chunks, which may hold any number of blank lines; so short that few heads can follow the
 * body's end in it.
 */
const MIN_BODY_PIECE_BYTES = 64;
const MAX_HEADS_IN_PIECE = 3;

/** Paces the connections of `server`, each with at most `maxRequests` in progress before the next one is read. */
export function limitRequests(
    server: http.Server,
    kind: accounts.PeerKind,
    maxRequests: number,
    turns = readTurns.processTurns,
): void {
    const connections = new WeakMap<net.Socket, ConnectionRequests>();
    server.on("connection", (socket: net.Socket) => {
        connections.set(socket, new ConnectionRequests(socket, kind, maxRequests, turns));
    });
    server.on("request", (request, response) => connections.get(request.socket)?.add(request, response));
}

/** The requests of one connection. */
class ConnectionRequests {
    private readonly paced: pacedSockets.PacedSocket;
    private readonly openResponses = new Set<http.ServerResponse>();
    private last: http.IncomingMessage | undefined;
    /** Bytes to come that belong to a body of a stated length. */
    private bodyBytes = 0;

    constructor(
        socket: net.Socket,
        kind: accounts.PeerKind,
        private readonly maxRequests: number,
        turns: readTurns.ReadTurns,
    ) {
        this.paced = pacedSockets.paceAccepted(socket, kind, {
            isBusy: () => this.openResponses.size >= this.maxRequests && this.last?.complete === true,
            findPieceBytes: (bytes, maxBytes) => this.findPieceBytes(bytes, maxBytes),
            onPiece: bytes => this.countPiece(bytes),
        }, turns);
        // The HTTP server reads the socket's descriptor itself, past the socket, until the socket has another reader.
        socket.on("data", ignore);
        socket.removeListener("data", ignore);
        socket.once("close", () => this.closeQueuedResponses());
    }

    /** Counts a request until it is answered. */
    add(request: http.IncomingMessage, response: http.ServerResponse): void {
        this.openResponses.add(response);
        this.last = request;
        this.bodyBytes = Number(request.headers["content-length"] ?? 0);
        response.once("close", () => {
            this.openResponses.delete(response);
            this.paced.resume();
        });
    }

    /** Node.js tells the end of a connection only to the response that is being written, not to those that wait behind it. */
    private closeQueuedResponses(): void {
        for (const response of this.openResponses) {
            if (!response.socket && !response.writableFinished) {
                response.destroy();
                response.emit("close");
            }
        }
    }

    private findPieceBytes(bytes: Buffer, maxBytes: number): number {
        if (this.bodyBytes > 0) {
            return Math.min(bytes.length, maxBytes, this.bodyBytes);
        }
        const piece = bytes.subarray(0, maxBytes);
        const isBody = this.last?.complete === false
            && this.openResponses.size + MAX_HEADS_IN_PIECE <= this.maxRequests;
        return findBlankLineEnd(piece, isBody ? MIN_BODY_PIECE_BYTES : 0);
    }

    private countPiece(bytes: number): void {
        this.bodyBytes = Math.max(0, this.bodyBytes - bytes);
    }
}

/** The end of the first blank line that ends after `minBytes`, or of all bytes. */
function findBlankLineEnd(bytes: Buffer, minBytes: number): number {
    let end = bytes.length;
    for (const blankLine of BLANK_LINES) {
        const index = bytes.subarray(0, end).indexOf(blankLine, Math.max(0, minBytes - blankLine.length));
        end = index < 0 ? end : index + blankLine.length;
    }
    return end;
}

function ignore(): void {}
