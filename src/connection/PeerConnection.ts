/**
 * A framed connection to another process of the system. Both sides send a `hello` first; after that each
 * frame is an envelope, and one task per connection reads them in order. Heartbeats fill silence, and a
 * silent, malformed or slow peer costs its own connection only.
 */
import * as net from "node:net";
import * as result from "true-myth/result";
import * as addresses from "../common/Address";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as emitters from "../common/Emitter";
import * as messages from "../common/Messages";
import * as frames from "./FrameCodec";

/** Bytes waiting to be read by the peer above which the connection is closed. */
const MAX_UNSENT_BYTES = 64 * 1024 * 1024;
/** Time for connecting and for the peer's hello. */
const HANDSHAKE_TIMEOUT_MS = 3_000;
/** Frames read ahead of the reading task above which the socket is paused. */
const MAX_UNREAD_FRAMES = 1_000;

/** What a connection needs from its owner. */
export interface PeerContext {
    readonly clock: clocks.Clock;
    /** This process's hello. */
    hello(): messages.Hello;
    /** This process's configuration version in force; sent with every frame. */
    version(): number;
    /** Content of the next heartbeat. */
    heartbeat(): messages.Heartbeat;
    /** Silence after which the connection is closed; undefined for the usual limit. */
    readonly silenceMs?: number | undefined;
}

/** A connection after both hellos. */
export class PeerConnection implements clocks.Disposable {
    private readonly decoder = new frames.FrameDecoder();
    private unreadEnvelopes: messages.Envelope[] = [];
    private wakeReader: (() => void) | undefined;
    private closeReason: codes.Failure | undefined;
    private remoteHello: messages.Hello | undefined;
    private lastReceivedMs: number;
    private lastSentMs: number;
    private isCorked = false;
    private readonly timer: clocks.Disposable;
    private readonly closeEmitter = new emitters.Emitter<codes.Failure>();

    /** Fires once, when the connection ends. */
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
        socket.on("data", chunk => this.receive(chunk));
        socket.on("error", error => this.close(codes.failure(codes.codes.peerClosed, error.message)));
        socket.on("close", () => this.close(codes.failure(codes.codes.peerClosed, "closed")));
        this.timer = clocks.every(context.clock, messages.HEARTBEAT_MS, () => this.onHeartbeatTimer());
        this.send(context.hello());
    }

    /** Connects to `address`, an IP number and a port, and waits for the peer's hello. */
    static async open(
        address: string,
        context: PeerContext,
    ): Promise<result.Result<PeerConnection, codes.Failure>> {
        const { host, port } = addresses.parseAddress(address);
        const socket = net.connect(port, host);
        const problem = await waitForConnect(socket, context.clock);
        if (problem !== undefined) {
            socket.destroy();
            return result.err(codes.failure(codes.codes.peerUnreachable, `${address}: ${problem}`));
        }
        return PeerConnection.handshake(socket, context, true);
    }

    /** Takes over an accepted socket and waits for the peer's hello. */
    static async accept(
        socket: net.Socket,
        context: PeerContext,
    ): Promise<result.Result<PeerConnection, codes.Failure>> {
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

    /** Whether the connection has ended. */
    get isClosed(): boolean {
        return this.closeReason !== undefined;
    }

    /** Time since the last frame from the peer. */
    get silentMs(): number {
        return this.context.clock.now() - this.lastReceivedMs;
    }

    /** Sends a message; false when the connection has ended. */
    send(message: messages.Message): boolean {
        if (this.closeReason !== undefined) {
            return false;
        }
        this.corkForTurn();
        this.socket.write(frames.encodeFrame({ version: this.context.version(), message }));
        this.lastSentMs = this.context.clock.now();
        if (this.socket.writableLength > MAX_UNSENT_BYTES) {
            this.close(codes.failure(codes.codes.peerSlow, `${this.socket.writableLength} bytes unsent`));
        }
        return true;
    }

    /** The next envelope in order of arrival; undefined when the connection has ended. */
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

    /** Ends the connection after what was sent has gone out. */
    dispose(): void {
        this.close(codes.failure(codes.codes.peerClosed, "disposed"));
    }

    /** Cuts the connection without sending what waits, as a killed process would. */
    destroy(): void {
        this.socket.destroy();
        this.dispose();
    }

    private receive(chunk: Buffer): void {
        this.lastReceivedMs = this.context.clock.now();
        const decoded = this.decoder.push(chunk);
        if (decoded.isErr) {
            this.close(decoded.error);
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

    /** Gathers the frames of one turn of the event loop into one packet. */
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
        // After a pause of this process the silence is its own: it reads what waits first.
        const silenceMs = this.context.silenceMs ?? messages.PEER_SILENCE_MS;
        const wasPaused = this.context.clock.now() - this.lastSentMs > silenceMs;
        if (this.silentMs > silenceMs && !wasPaused) {
            this.close(codes.failure(codes.codes.peerSilent, `${Math.round(this.silentMs)} ms`));
            this.socket.destroy();
            return;
        }
        if (this.remoteHello !== undefined) {
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
        this.socket.uncork();
        this.socket.destroySoon();
        this.wake();
        this.closeEmitter.fire(reason);
        this.closeEmitter.dispose();
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
