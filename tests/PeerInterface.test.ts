import * as cbor from "cbor-x";
import * as fc from "fast-check";
import * as net from "node:net";
import * as vitest from "vitest";
import * as demoConfigurations from "../src/commands/DemoConfiguration";
import * as clocks from "../src/common/Clock";
import * as codes from "../src/common/Codes";
import * as messages from "../src/common/Messages";
import * as agentClients from "../src/connection/AgentClient";
import * as frames from "../src/connection/FrameCodec";
import * as peerConnections from "../src/connection/PeerConnection";
import * as fleets from "../standins/LocalFleet";

const { afterAll, beforeAll, describe, expect, it } = vitest;

const SEED = 41;
const AGENT_NAME = "booking-1";

let fleet: fleets.LocalFleet;

beforeAll(async () => {
    fleet = await fleets.LocalFleet.start({
        configuration: demoConfigurations.demoConfiguration,
        entries: 1,
        random: () => 0.5,
    });
});

afterAll(() => fleet.dispose());

const hello: messages.Hello = {
    kind: "hello",
    protocol: messages.PROTOCOL_VERSION,
    role: "entry",
    instance: "tester",
    failureDomain: "zone-a",
    incarnation: 1,
};

const context: peerConnections.PeerContext = {
    clock: clocks.systemClock,
    hello: () => hello,
    version: () => 0,
    heartbeat: () => ({ kind: "heartbeat" }),
};

function agentAddress(): string {
    return fleet.agents.get(AGENT_NAME)!.peerAddress;
}

function encodeUnchecked(value: unknown): Buffer {
    const content = cbor.encode(value);
    const prefix = Buffer.alloc(4);
    prefix.writeUInt32BE(content.length);
    return Buffer.concat([prefix, content]);
}

/** Sends bytes, then optionally ends its side of the connection. Resolves when the connection is closed. */
function sendUntilClosed(bytes: Uint8Array, isHalfClosed: boolean): Promise<void> {
    return new Promise(resolve => {
        const [host, port] = agentAddress().split(":");
        const socket = net.connect({ host: host!, port: Number(port) });
        socket.on("error", () => undefined);
        socket.on("close", () => resolve());
        socket.resume();
        socket.write(bytes);
        if (isHalfClosed) {
            socket.end();
        }
    });
}

async function expectServing(): Promise<void> {
    const reply = await fleet.call("entry-1", { path: "/v1/services/bookings/lookup", team: "bench", body: {} });
    expect(reply.answer).toMatchObject({ outcome: "completed" });
}

const helloFrame = frames.encodeFrame({ version: 0, message: hello });

describe("the peer interface", () => {
    const invalidInputs: [string, Buffer, boolean][] = [
        ["an oversized frame", Buffer.from([0x7f, 0, 0, 0, 1, 2, 3]), false],
        ["an oversized frame after the hello", Buffer.concat([helloFrame, Buffer.from([0x7f, 0, 0, 0])]), false],
        ["a truncated frame", helloFrame.subarray(0, 20), true],
        ["a value that isn't an envelope", encodeUnchecked(17), false],
        ["an unknown kind of message", encodeUnchecked({ version: 0, message: { kind: "other" } }), false],
        [
            "a field of the wrong type",
            encodeUnchecked({ version: 0, message: { ...hello, incarnation: "one" } }),
            false,
        ],
        ["another protocol version", encodeUnchecked({ version: 0, message: { ...hello, protocol: 99 } }), false],
        [
            "a first frame that isn't a hello",
            encodeUnchecked({ version: 0, message: { kind: "fetch", from: 0 } }),
            false,
        ],
        [
            "a negative version after the hello",
            Buffer.concat([helloFrame, encodeUnchecked({ version: -1, message: { kind: "fetch", from: 0 } })]),
            false,
        ],
    ];
    it.each(invalidInputs)(
        "closes a connection that sends %s, and keeps serving",
        async (_name, bytes, isHalfClosed) => {
            await sendUntilClosed(bytes, isHalfClosed);
            await expectServing();
        },
    );

    it("closes a connection that sends random bytes, and keeps serving", async () => {
        await fc.assert(
            fc.asyncProperty(fc.uint8Array({ maxLength: 200 }), bytes => sendUntilClosed(bytes, true)),
            { seed: SEED, numRuns: 30 },
        );
        await expectServing();
    });

    const callContent: agentClients.CallContent = {
        request: "r",
        stage: "book",
        attempt: 0,
        team: "bench",
        priority: 5,
        remainingMs: 2_000,
        service: "bookings",
        operation: "book",
        stream: false,
        offset: 0,
        body: {},
    };
    const rejectedCalls: [string, Partial<messages.Call>, codes.ResultCode][] = [
        ["for another incarnation", { incarnation: 7 }, codes.codes.otherIncarnation],
        ["whose deadline has passed", { remainingMs: -5 }, codes.codes.expired],
        ["for an unknown operation", { operation: "burn" }, codes.codes.unknownOperation],
        ["for an unknown service", { service: "ovens" }, codes.codes.unknownOperation],
        ["whose remaining time isn't finite", { remainingMs: Number.MAX_VALUE * 10 }, codes.codes.peerClosed],
    ];
    it.each(rejectedCalls)("doesn't run a call %s", async (_name, overrides, code) => {
        const connection = (await peerConnections.PeerConnection.open(agentAddress(), context)).unwrapOrElse(
            failure => {
                throw new Error(failure.detail);
            },
        );
        const runsBefore = fleet.upstreams.get(AGENT_NAME)!.log.length;
        const incarnation = connection.remote.incarnation;
        connection.send({ kind: "call", call: 1, incarnation, ...callContent, ...overrides });
        const answerCode = await nextAnswerCode(connection);
        expect(answerCode ?? codes.codes.peerClosed.code).toBe(code.code);
        expect(fleet.upstreams.get(AGENT_NAME)!.log.length).toBe(runsBefore);
        connection.dispose();
    });
});

async function nextAnswerCode(connection: peerConnections.PeerConnection): Promise<number | undefined> {
    for (let envelope = await connection.next(); envelope !== undefined; envelope = await connection.next()) {
        if (envelope.message.kind === "answer") {
            return envelope.message.code;
        }
    }
    return undefined;
}
