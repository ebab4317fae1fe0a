/**
 * Passes what arrives on a socket to its reader in pieces, each in a turn of the event loop that the process can spare.
 * Reading from the socket pauses when more arrives meanwhile. The bytes and their order stay as they are.
 */
import * as net from "node:net";
import * as os from "node:os";
import * as stream from "node:stream";
import * as accounts from "./ReadAccount";
import * as readTurns from "./ReadTurns";

/** What may limit the pieces further. */
export interface PieceLimits {
    /** Whether the reader has enough to do for now. */
    readonly isBusy: () => boolean;
    /** The size of the next piece, at most `maxBytes` and at least one byte. A turn may take several pieces. */
    readonly findPieceBytes: (bytes: Buffer, maxBytes: number) => number;
    /** Called with each piece before it is passed on. */
    readonly onPiece: (bytes: number) => void;
}

const noLimits: PieceLimits = {
    isBusy: () => false,
    findPieceBytes: (bytes, maxBytes) => Math.min(bytes.length, maxBytes),
    onPiece: () => undefined,
};

const pacedSockets = new WeakMap<stream.Duplex, PacedSocket>();

/** Paces the reads of a connection that this process opened; all those to the same peer share an account. */
export function paceOpened(socket: net.Socket, peer: accounts.Peer, turns = readTurns.processTurns): void {
    if (!pacedSockets.has(socket)) {
        pacedSockets.set(socket, new PacedSocket(socket, turns, turns.accountOf(peer)));
    }
}

/** Paces the reads of a connection that this process accepted. */
export function paceAccepted(
    socket: net.Socket,
    kind: accounts.PeerKind,
    limits = noLimits,
    turns = readTurns.processTurns,
): PacedSocket {
    const account = new accounts.ReadAccount({ kind, address: socket.remoteAddress ?? "" });
    const paced = new PacedSocket(socket, turns, account, limits);
    pacedSockets.set(socket, paced);
    return paced;
}

/** Whether bytes have been read from a socket that its reader hasn't got yet. */
export function hasUnreadPieces(socket: stream.Duplex): boolean {
    return pacedSockets.get(socket)?.hasUnread === true;
}

/** Marks a pooled connection as idle or in use: what arrives on an idle one is passed on at once, since it ends it. */
export function setIdle(socket: stream.Duplex, isIdle: boolean): void {
    const paced = pacedSockets.get(socket);
    if (paced !== undefined) {
        paced.isIdle = isIdle;
    }
}

/** Holds back what arrives on a socket, from the next piece on, or passes it on again. */
export function setHeld(socket: stream.Duplex, isHeld: boolean): void {
    pacedSockets.get(socket)?.setHeld(isHeld);
}

/** The part of a socket's handle that tells whether the operating system still knows the other side. */
interface Handle {
    readonly getpeername?: (out: object) => number;
}

/**
 * Whether a socket that seems to have ended was reset. Node.js reports an end if bytes arrived together with a reset, or if
 * a failing write has taken the error. A socket that has ended on both sides can't be told from one that was reset.
 */
export function isReset(socket: net.Socket): boolean {
    const { _handle: handle } = socket as unknown as { readonly _handle?: Handle };
    return !socket.writableEnded && (handle?.getpeername?.({}) ?? 0) !== 0;
}

function createResetError(): NodeJS.ErrnoException {
    const errno = -os.constants.errno.ECONNRESET;
    return Object.assign(new Error("read ECONNRESET"), { code: "ECONNRESET", errno, syscall: "read" });
}

function ignoreError(): void {
    // Those that read from the socket or write to it have listeners of their own.
}

/** One socket whose reads are paced. */
export class PacedSocket implements readTurns.PieceSource {
    private readonly push: net.Socket["push"];
    private readonly readSocket: (size: number) => void;
    /** The rest of the last read. */
    private unread: Buffer | undefined;
    /** Passes on that the socket has ended after what is unread. */
    private passEnd: (() => void) | undefined;
    /** Whether the reader takes more. */
    private isWanted = false;
    /** Whether what arrives is held back. */
    private isHeld = false;
    lastBegunMs = -Infinity;
    /** Whether the connection is idle. */
    isIdle = false;

    constructor(
        private readonly socket: net.Socket,
        private readonly turns: readTurns.ReadTurns,
        readonly account: accounts.ReadAccount,
        private readonly limits = noLimits,
    ) {
        this.push = socket.push.bind(socket);
        this.readSocket = socket._read.bind(socket);
        socket.push = (chunk: Buffer | undefined, encoding) => this.receive(chunk, encoding);
        socket._read = size => this.demand(size);
        const destroySocket = socket.destroy.bind(socket);
        socket.destroy = error => this.destroy(destroySocket, error);
        socket.on("resume", () => this.request());
        socket.once("close", () => this.drop());
        // Node.js reports an error in a later turn, when a pooled connection may be between two of its readers.
        socket.on("error", ignoreError);
    }

    /** Bytes that wait for a later turn. */
    get heldBytes(): number {
        return this.unread?.length ?? 0;
    }

    /** Whether there are bytes that the reader hasn't got yet. */
    get hasUnread(): boolean {
        return this.unread !== undefined;
    }

    /** Goes on with what is unread, after the reader was busy. */
    resume(): void {
        if (this.hasUnread && this.canPass) {
            this.turns.enqueue(this);
        }
    }

    /** Holds back what arrives, or passes it on again. */
    setHeld(isHeld: boolean): void {
        const isReleased = this.isHeld && !isHeld;
        this.isHeld = isHeld;
        if (isReleased && this.hasUnread) {
            this.resume();
        }
        else if (isReleased && this.isWanted) {
            this.readSocket(0);
        }
    }

    /** Passes on what one turn allows. */
    readPiece(): void {
        const { unread } = this;
        if (this.socket.destroyed) {
            this.drop();
        }
        else if (unread !== undefined && this.canPass) {
            this.pass(unread, this.account.limitBytes);
            this.readOn();
        }
    }

    /** Closes the connection. */
    close(): void {
        this.socket.destroy();
    }

    /** Called by Node.js with each read, and without bytes at the end; false stops reading from the socket. */
    private receive(chunk: Buffer | undefined, encoding?: BufferEncoding): boolean {
        if (!chunk) {
            return this.receiveEnd(() => this.push(chunk, encoding));
        }
        if (this.unread !== undefined) {
            this.keep(Buffer.concat([this.unread, chunk]));
            return false;
        }
        if (this.isIdle) {
            return this.push(chunk, encoding);
        }
        this.isWanted = true;
        if (this.canPass && this.turns.mayReadNow(this.account, chunk.length)) {
            this.pass(chunk, this.account.limitBytes);
            this.turns.end();
        }
        else {
            this.keep(chunk);
        }
        this.resume();
        // Reading goes on: the rest has mostly been passed on before the next read.
        return this.isWanted && !this.isPaused && !this.isHeld;
    }

    private receiveEnd(passEnd: () => boolean): boolean {
        if (isReset(this.socket)) {
            this.socket.destroy(createResetError());
            return false;
        }
        if (this.unread === undefined) {
            return passEnd();
        }
        this.passEnd = passEnd;
        this.endIfBusy();
        return false;
    }

    /** Passes on the end without what is unread: the other side has left before the reader takes more. */
    private endIfBusy(): void {
        if (this.passEnd !== undefined && this.limits.isBusy()) {
            this.drop();
            this.passEnd();
        }
    }

    /** Called by Node.js when the reader takes more. */
    private demand(size: number): void {
        if (this.hasUnread) {
            this.request();
        }
        else {
            this.readSocket(size);
        }
    }

    private request(): void {
        this.isWanted = true;
        this.resume();
    }

    /** Whether the reader can take a piece now. What a paused one got would be processed later, in no turn. */
    private get canPass(): boolean {
        return this.isWanted && !this.isPaused && !this.isHeld && !this.limits.isBusy();
    }

    private get isPaused(): boolean {
        return this.socket.readableFlowing === false && this.socket.listenerCount("readable") === 0;
    }

    /** Passes on up to `maxBytes` of `bytes` as long as the reader takes more, and keeps the rest. */
    private pass(bytes: Buffer, maxBytes: number): void {
        let leftBytes = Math.min(bytes.length, maxBytes);
        this.turns.begin(this, leftBytes);
        let rest: Buffer | undefined = bytes;
        this.isWanted = true;
        while (rest !== undefined && this.canPass) {
            if (leftBytes <= 0) {
                if (!this.turns.mayContinue(this)) {
                    break;
                }
                leftBytes = Math.min(rest.length, this.account.limitBytes);
                this.turns.extend(leftBytes);
            }
            const piece: Buffer = rest;
            const pieceBytes = this.limits.findPieceBytes(piece, leftBytes);
            leftBytes -= pieceBytes;
            rest = pieceBytes < piece.length ? piece.subarray(pieceBytes) : undefined;
            this.passPiece(rest === undefined ? piece : piece.subarray(0, pieceBytes), rest);
            rest = this.unread; // Undefined also if the reader has closed the connection.
        }
    }

    private passPiece(piece: Buffer, rest: Buffer | undefined): void {
        this.keep(rest);
        this.isWanted = false;
        this.limits.onPiece(piece.length);
        const isTaken = this.push(piece);
        this.isWanted ||= isTaken;
    }

    /** After a piece that waited: the next one, the end, or the next read. */
    private readOn(): void {
        if (this.socket.destroyed) {
            this.drop();
        }
        else if (this.unread !== undefined) {
            this.resume();
            this.endIfBusy();
        }
        else if (this.passEnd !== undefined) {
            this.passEnd();
        }
        else if (this.isWanted) {
            this.readSocket(0);
        }
    }

    /** Destroys the socket, after a failed read once what arrived before has been passed on. */
    private destroy(destroySocket: net.Socket["destroy"], error?: NodeJS.ErrnoException): net.Socket {
        const { unread } = this;
        if (error?.syscall === "read" && unread !== undefined && this.isWanted && !this.socket.destroyed) {
            this.pass(unread, unread.length);
        }
        return destroySocket(error);
    }

    private keep(rest: Buffer | undefined): void {
        const hadUnread = this.hasUnread;
        this.unread = rest;
        if (rest !== undefined) {
            this.turns.hold(this);
        }
        else if (hadUnread) {
            this.turns.release(this);
        }
    }

    private drop(): void {
        this.unread = undefined;
        this.turns.release(this);
    }
}
