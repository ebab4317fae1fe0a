/**
 * A framed connection to another process of the system. Each frame holds an envelope, the first one a `hello`, and
 * one task per connection reads them in order. Both sides send heartbeats, so that an idle connection isn't silent.
 * A peer that is silent, slow or sends malformed frames affects only its own connection, which is closed.
 */
import * as net from "node:net";
import * as result from "true-myth/result";
import * as addresses from "../common/Address";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as emitters from "../common/Emitter";
import * as messages from "../common/Messages";
import * as frames from "./FrameCodec";
import * as pacedSockets from "./PacedSocket";
import * as partialFrames from "./PartialFrames";

/** Size of the send buffer above which the peer is too slow and the connection is closed. */
const MAX_UNSENT_BYTES = 64 * 1024 * 1024;
/** Timeout for connecting and again for the peer's hello. */
const HANDSHAKE_TIMEOUT_MS = 3_000;
/** Longest hello; a connection that has sent none holds no more. */
const MAX_HELLO_BYTES = 64 * 1024;
/** Time in which a closed connection may write what it has sent; what arrives meanwhile is discarded. */
const CLOSE_TIMEOUT_MS = 2_000;
/** Number of received but unprocessed frames at which the socket is paused. */
const MAX_UNREAD_FRAMES = 1_000;

/** Callbacks and settings that the owner of a connection provides. */
export interface PeerContext {
    readonly clock: clocks.Clock;
    /** This process's hello. */
    hello(): messages.Hello;
    /** This process's configuration version in force; sent in every frame. */
    version(): number;
    /** The era of the published store to which the version belongs; undefined if it belongs to none. */
    readonly era?: () => number;
    /** The next heartbeat to send. */
    heartbeat(): messages.Heartbeat;
    /** Silence after which the connection is closed; undefined for `PEER_SILENCE_MS`. */
    readonly silenceMs?: () => number;
    /** Time without another message after which a heartbeat is sent; undefined to send one each `HEARTBEAT_MS`. */
    readonly heartbeatIntervalMs?: () => number;
    /** Size of the send buffer above which the connection is closed; undefined for `MAX_UNSENT_BYTES`. */
    readonly maxUnsentBytes?: () => number;
    /** The account of incomplete frames of all connections; undefined to bound each connection alone. */
    readonly partialFrames?: partialFrames.PartialFrames;
}

/** An established connection, on which the peer's hello has arrived. */
export class PeerConnection implements clocks.Disposable {
    private readonly decoder = new frames.FrameDecoder(messages.MAX_FRAME_BYTES, MAX_HELLO_BYTES);
    private unreadEnvelopes: messages.Envelope[] = [];
    private wakeReader: (() => void) | undefined;
    private closeReason: codes.Failure | undefined;
    private remoteHello: messages.Hello | undefined;
    private lastReceivedMs: number;
    private lastSentMs: number;
    private isCorked = false;
    private readonly timer: clocks.Disposable;
    private readonly closeEmitter = new emitters.Emitter<codes.Failure>();
    private readonly receiveChunk = (chunk: Buffer): void => this.receive(chunk);

    /** Fires once, when the connection closes. */
    readonly onClose = this.closeEmitter.event;

    private constructor(
        private readonly socket: net.Socket,
        private readonly context: PeerContext,
        /** Whether this process opened the connection. */
        readonly isOpener: boolean,
    ) {
        this.lastReceivedMs = context.clock.now();
        this.lastSentMs = this.lastReceivedMs;
        socket.setNoDelay(true);
        socket.on("data", this.receiveChunk);
        socket.on("error", error => this.close(codes.failure(codes.codes.peerClosed, error.message)));
        socket.on("close", () => this.close(codes.failure(codes.codes.peerClosed, "closed")));
        this.timer = clocks.every(context.clock, messages.HEARTBEAT_MS, () => this.onHeartbeatTimer());
        this.send(context.hello());
    }

    /** Connects to `address`, an IP address and a port, and waits for the peer's hello. */
    static async open(
        address: string,
        context: PeerContext,
    ): Promise<result.Result<PeerConnection, codes.Failure>> {
        const { host, port } = addresses.parseAddress(address);
        if (!addresses.isConnectable({ host, port })) {
            return result.err(codes.failure(codes.codes.peerUnreachable, `${address}: not an IP address and a port`));
        }
        const socket = net.connect(port, host);
        pacedSockets.paceOpened(socket, { kind: "entry", address });
        const problem = await waitForConnect(socket, context.clock);
        if (problem !== undefined) {
            socket.destroy();
            return result.err(codes.failure(codes.codes.peerUnreachable, `${address}: ${problem}`));
        }
        return PeerConnection.handshake(socket, context, true);
    }

    /** Wraps an accepted socket and waits for the peer's hello. */
    static async accept(
        socket: net.Socket,
        context: PeerContext,
    ): Promise<result.Result<PeerConnection, codes.Failure>> {
        pacedSockets.paceAccepted(socket, "entry");
        return PeerConnection.handshake(socket, context, false);
    }

    private static async handshake(
        socket: net.Socket,
        context: PeerContext,
        isOpener: boolean,
    ): Promise<result.Result<PeerConnection, codes.Failure>> {
        const connection = new PeerConnection(socket, context, isOpener);
        const timer = context.clock.schedule(HANDSHAKE_TIMEOUT_MS, () => {
            connection.close(codes.failure(codes.codes.peerSilent, "no hello"));
        });
        const first = await connection.next();
        timer.dispose();
        if (first === undefined) {
            return result.err(connection.closeReason!);
        }
        const failure = checkHello(first.message);
        if (failure !== undefined || first.message.kind !== "hello") {
            const reason = failure ?? codes.failure(codes.codes.frameMalformed, "no hello");
            connection.close(reason);
            return result.err(reason);
        }
        connection.remoteHello = first.message;
        return result.ok(connection);
    }

    /** The peer's hello. */
    get remote(): messages.Hello {
        return this.remoteHello!;
    }

    /** Whether one of both sides has opened it in place of a connection that had gone silent. */
    get isReplacement(): boolean {
        const opener = this.isOpener ? this.context.hello() : this.remote;
        return opener.replacesSilent === true;
    }

    /** Whether the connection is closed. */
    get isClosed(): boolean {
        return this.closeReason !== undefined;
    }

    /** Time since bytes last arrived from the peer. */
    get silentMs(): number {
        return this.context.clock.now() - this.lastReceivedMs;
    }

    /** Number of bytes that have arrived of a frame that isn't complete. */
    get partialFrameBytes(): number {
        return this.decoder.bufferedBytes;
    }

    /** Sends a message; false if the connection is closed. */
    send(message: messages.Message): boolean {
        if (this.closeReason !== undefined) {
            return false;
        }
        this.corkForTurn();
        const era = this.context.era?.();
        const envelope = { version: this.context.version(), ...(era === undefined ? {} : { era }), message };
        this.socket.write(frames.encodeFrame(envelope));
        this.lastSentMs = this.context.clock.now();
        if (this.socket.writableLength > (this.context.maxUnsentBytes?.() ?? MAX_UNSENT_BYTES)) {
            this.close(codes.failure(codes.codes.peerSlow, `${this.socket.writableLength} bytes unsent`));
        }
        return true;
    }

    /** Waits for the next envelope; undefined once the connection is closed and all envelopes have been read. */
    async next(): Promise<messages.Envelope | undefined> {
        while (this.unreadEnvelopes.length === 0) {
            if (this.closeReason !== undefined) {
                return undefined;
            }
            await new Promise<void>(resolve => this.wakeReader = resolve);
        }
        const envelope = this.unreadEnvelopes.shift();
        if (this.unreadEnvelopes.length < MAX_UNREAD_FRAMES && this.socket.isPaused()) {
            this.socket.resume();
        }
        return envelope;
    }

    /** Closes the connection once all sent messages are written. */
    dispose(): void {
        this.close(codes.failure(codes.codes.peerClosed, "disposed"));
    }

    /** Closes the connection at once and discards unsent messages, as if the process had been killed. */
    destroy(): void {
        this.socket.destroy();
        this.dispose();
    }

    /** Closes the connection, since all connections together hold too much of incomplete frames. */
    giveUpFrame(heldBytes: number): void {
        this.close(codes.failure(codes.codes.frameTooLarge, `${heldBytes} bytes of an incomplete frame`));
    }

    private receive(chunk: Buffer): void {
        this.lastReceivedMs = this.context.clock.now();
        const decoded = this.decoder.push(chunk);
        if (decoded.isErr) {
            this.close(decoded.error);
            return;
        }
        this.context.partialFrames?.set(this, this.decoder.bufferedBytes);
        if (this.isClosed) {
            return;
        }
        for (const envelope of decoded.value) {
            this.unreadEnvelopes.push(envelope);
        }
        if (this.unreadEnvelopes.length >= MAX_UNREAD_FRAMES) {
            this.socket.pause();
        }
        this.wake();
    }

    /** Corks the socket, so that the frames of one turn of the event loop are written together. */
    private corkForTurn(): void {
        if (!this.isCorked) {
            this.isCorked = true;
            this.socket.cork();
            setImmediate(() => {
                this.isCorked = false;
                this.socket.uncork();
            });
        }
    }

    private onHeartbeatTimer(): void {
        // If this process itself was paused, the peer may not have been silent: read the buffered data first.
        const silenceMs = this.context.silenceMs?.() ?? messages.PEER_SILENCE_MS;
        const wasPaused = this.context.clock.now() - this.lastSentMs > silenceMs;
        if (this.silentMs > silenceMs && !wasPaused) {
            this.close(codes.failure(codes.codes.peerSilent, `${Math.round(this.silentMs)} ms`));
            this.socket.destroy();
            return;
        }
        const idleMs = this.context.clock.now() - this.lastSentMs;
        if (this.remoteHello !== undefined && idleMs >= (this.context.heartbeatIntervalMs?.() ?? 0)) {
            this.send(this.context.heartbeat());
        }
    }

    private wake(): void {
        const wakeReader = this.wakeReader;
        this.wakeReader = undefined;
        wakeReader?.();
    }

    private close(reason: codes.Failure): void {
        if (this.closeReason !== undefined) {
            return;
        }
        this.closeReason = reason;
        this.timer.dispose();
        this.stopReading();
        this.endSocket(reason);
        this.wake();
        this.closeEmitter.fire(reason);
        this.closeEmitter.dispose();
    }

    /** Discards what the peer sends from now on. */
    private stopReading(): void {
        this.socket.off("data", this.receiveChunk);
        this.decoder.clear();
        this.context.partialFrames?.set(this, 0);
        this.socket.resume();
    }

    /** Ends the socket once all sent messages are written, or after a time limit; at once if its peer doesn't read them. */
    private endSocket(reason: codes.Failure): void {
        if (reason.code === codes.codes.peerSlow) {
            this.socket.destroy();
            return;
        }
        this.socket.uncork();
        this.socket.destroySoon();
        if (!this.socket.destroyed) {
            const timeout = this.context.clock.schedule(CLOSE_TIMEOUT_MS, () => this.socket.destroy());
            this.socket.once("close", () => timeout.dispose());
        }
    }
}

function checkHello(message: messages.Message): codes.Failure | undefined {
    if (message.kind !== "hello") {
        return codes.failure(codes.codes.frameMalformed, `expected hello, got ${message.kind}`);
    }
    if (message.protocol !== messages.PROTOCOL_VERSION) {
        return codes.failure(codes.codes.protocolUnknown, `version ${message.protocol}`);
    }
    return undefined;
}

function waitForConnect(socket: net.Socket, clock: clocks.Clock): Promise<string | undefined> {
    return new Promise(resolve => {
        const timer = clock.schedule(HANDSHAKE_TIMEOUT_MS, () => finish("timeout"));
        socket.once("connect", () => finish(undefined));
        socket.once("error", error => finish(error.message));
        function finish(problem: string | undefined): void {
            timer.dispose();
            socket.removeAllListeners("connect");
            resolve(problem);
        }
    });
}
