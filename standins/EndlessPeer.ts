/**
 * A faulty peer as a process of its own, which sends the same unit of bytes for as long as it is taken: `node
 * dist/endless-peer.cjs`. It gets its plan from the process that forked it, tells it what it has sent, and ends with it.
 */
import * as net from "node:net";
import * as addresses from "../src/common/Address";
import * as clocks from "../src/common/Clock";
import * as listeners from "../src/connection/Listener";
import * as plans from "./EndlessPlan";

const PROGRESS_INTERVAL_MS = 50;
/** Writes in one turn of the event loop to a connection that takes them all. */
const WRITES_PER_TURN = 64;
const HEAD_END = "\r\n\r\n";

let connections = 0;
let openedConnections = 0;
let answeredRequests = 0;
let sentBytes = 0;
let nextNumber = 1;

/** Joins units until a write has at least `writeBytes`. */
function createBlock({ unit, writeBytes }: plans.Repetition): Buffer {
    const units: string[] = [];
    for (let bytes = 0; bytes < writeBytes;) {
        const rendered = fillIn(unit, "");
        units.push(rendered);
        bytes += rendered.length;
    }
    return Buffer.from(units.join(""), "latin1");
}

/** Replaces `{n}` by a number that is higher each time, and `{attempt}` by the attempt of the answered request. */
function fillIn(text: string, attempt: string): string {
    return text.replaceAll("{n}", () => String(nextNumber++)).replaceAll("{attempt}", attempt);
}

/** Writes blocks without a pause until the connection is closed. */
function writeEndlessly(socket: net.Socket, repetition: plans.Repetition): void {
    const isNumbered = repetition.unit.includes("{n}");
    const block = createBlock(repetition);
    const writeOn = (): void => {
        for (let count = 0; count < WRITES_PER_TURN && !socket.destroyed; count++) {
            const bytes = isNumbered ? createBlock(repetition) : block;
            const isTaken = socket.write(bytes, () => sentBytes += bytes.length);
            if (!isTaken) {
                socket.once("drain", writeOn);
                return;
            }
        }
        if (!socket.destroyed) {
            setImmediate(writeOn);
        }
    };
    writeOn();
}

function watch(socket: net.Socket): void {
    connections++;
    openedConnections++;
    socket.setNoDelay(true);
    socket.on("error", () => undefined); // The process under test may close it at any time.
    socket.on("close", () => connections--);
}

/** Answers requests with the units, or each of them with one unit. */
class EndlessServer {
    private isEndless: boolean;
    private answers: plans.Answers;
    private readonly sockets = new Set<net.Socket>();

    constructor(private readonly plan: plans.ServerPlan) {
        this.isEndless = plan.relay === undefined;
        this.answers = plan;
    }

    async listen(): Promise<string> {
        const listener = await listeners.listen(net.createServer(socket => this.accept(socket)), "127.0.0.1:0");
        return listener.address;
    }

    /** Answers or relays from now on; ends all connections. */
    execute({ kind, answers }: plans.Command): void {
        this.isEndless = kind === "begin";
        this.answers = answers ?? this.plan;
        this.sockets.forEach(socket => socket.destroy());
    }

    private accept(socket: net.Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
        if (!this.isEndless) {
            this.relay(socket, this.plan.relay!);
            return;
        }
        watch(socket);
        let unread = "";
        const receive = (bytes: Buffer): void => {
            unread += bytes.toString("latin1");
            for (let end = unread.indexOf(HEAD_END); end >= 0; end = unread.indexOf(HEAD_END)) {
                const request = unread.slice(0, end + HEAD_END.length);
                unread = unread.slice(end + HEAD_END.length);
                const length = Number(/^content-length: (\d+)/im.exec(request)?.[1] ?? 0);
                unread = unread.slice(length); // Bodies in these tests arrive with their heads.
                this.answer(socket, /^attempt-id: (.*)\r$/im.exec(request)?.[1] ?? "");
                if (this.answers.answersEach !== true) {
                    socket.off("data", receive).resume();
                    return;
                }
            }
        };
        socket.on("data", receive);
    }

    private answer(socket: net.Socket, attempt: string): void {
        answeredRequests++;
        const { start, unit, answersEach } = this.answers;
        if (answersEach !== true) {
            socket.write(fillIn(start, attempt), "latin1");
            writeEndlessly(socket, this.answers);
            return;
        }
        const body = fillIn(unit, attempt);
        const answer = fillIn(start, attempt).replace("{length}", String(body.length)) + body;
        socket.write(answer, "latin1", () => sentBytes += answer.length);
    }

    private relay(socket: net.Socket, target: string): void {
        const other = net.connect(addresses.parseAddress(target));
        for (const [from, to] of [[socket, other], [other, socket]] as const) {
            from.on("error", () => to.destroy());
            from.on("close", () => to.destroy());
            from.pipe(to);
        }
    }
}

/** Opens connections again and again, and sends the units on each. */
class EndlessClient {
    private open = 0;

    constructor(private readonly plan: plans.ClientPlan) {}

    execute(): void {
        clocks.every(clocks.systemClock, this.plan.openIntervalMs, () => {
            if (this.open < this.plan.connections) {
                this.connect();
            }
        });
    }

    private connect(): void {
        const { address, start, unit, readsAnswers, lifetimeMs } = this.plan;
        const socket = net.connect(addresses.parseAddress(address));
        watch(socket);
        this.open++;
        socket.on("close", () => this.open--);
        if (readsAnswers) {
            socket.resume();
        }
        else {
            socket.pause();
        }
        socket.write(fillIn(start, ""), "latin1");
        if (unit !== "") {
            writeEndlessly(socket, this.plan);
        }
        if (lifetimeMs !== undefined) {
            clocks.systemClock.schedule(lifetimeMs, () => socket.destroy());
        }
    }
}

async function start(plan: plans.Plan): Promise<void> {
    const peer = plan.kind === "server" ? new EndlessServer(plan) : new EndlessClient(plan);
    const address = peer instanceof EndlessServer ? await peer.listen() : "";
    process.on("message", command => peer.execute(command as plans.Command));
    process.send!({ address } satisfies plans.Listening);
    clocks.every(
        clocks.systemClock,
        PROGRESS_INTERVAL_MS,
        () => process.send!({ connections, openedConnections, answeredRequests, sentBytes } satisfies plans.Progress),
    );
}

process.on("disconnect", () => process.exit(0));
process.once("message", plan => void start(plan as plans.Plan));
