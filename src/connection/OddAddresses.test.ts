import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as probes from "./EndpointProbe";
import * as peerConnections from "./PeerConnection";

const ADDRESSES = ["127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:1.5", "127.0.0.1:", "127.0.0.1", "", "a.example:80"];

const context: peerConnections.PeerContext = {
    clock: clocks.systemClock,
    hello: () => {
        throw new Error("no connection can be opened");
    },
    version: () => 0,
    heartbeat: () => ({ kind: "heartbeat" }),
};

// Guards against the end of a process to which another one, or its settings, name an address that has no such port.
vitest.describe.each(ADDRESSES)("the address %j", address => {
    vitest.it("can't be connected to", async () => {
        const opened = await peerConnections.PeerConnection.open(address, context);
        vitest.expect(opened.isErr && opened.error.code).toBe(codes.codes.peerUnreachable);
    });

    vitest.it("isn't known to be listened on", async () => {
        vitest.expect(await probes.probeEndpoint(address, clocks.systemClock)).toBe("unknown");
    });
});
