import * as http from "node:http";
import * as net from "node:net";
import * as vitest from "vitest";
import * as connectionEnds from "./ConnectionEnds";

/** A response that hasn't begun, to a caller that keeps its connection. */
function createResponse(): http.ServerResponse {
    const response = new http.ServerResponse(new http.IncomingMessage(new net.Socket()));
    response.shouldKeepAlive = true;
    return response;
}

/** The answers of one connection, all of them added. */
function addAll(ends: connectionEnds.ConnectionEnds, count: number, socket = new net.Socket()): http.ServerResponse[] {
    const responses = Array.from({ length: count }, createResponse);
    responses.forEach(response => vitest.expect(ends.tryAdd(socket, response)).toBe(true));
    return responses;
}

function keeps(responses: readonly http.ServerResponse[]): boolean[] {
    return responses.map(response => response.shouldKeepAlive);
}

vitest.describe("while the process stops, a connection ends", () => {
    // Guards against requests whose instances answer them, and whose callers get nothing (review/12).
    vitest.it("with the answer to the last of several requests", () => {
        const ends = new connectionEnds.ConnectionEnds();
        const [first, second] = [addAll(ends, 3), addAll(ends, 1)];
        ends.begin();
        vitest.expect([...keeps(first), ...keeps(second)]).toEqual([true, true, false, false]);
    });

    vitest.it("with the answer to a request that comes during the stop, not with that before it", () => {
        const ends = new connectionEnds.ConnectionEnds();
        const socket = new net.Socket();
        const before = addAll(ends, 2, socket);
        ends.begin();
        const after = addAll(ends, 2, socket);
        vitest.expect([...keeps(before), ...keeps(after)]).toEqual([true, true, true, false]);
    });

    vitest.it("with an answer that ends it in any case, as its caller wants", () => {
        const ends = new connectionEnds.ConnectionEnds();
        const socket = new net.Socket();
        const response = createResponse();
        response.shouldKeepAlive = false;
        ends.tryAdd(socket, response);
        addAll(ends, 1, socket);
        vitest.expect(response.shouldKeepAlive).toBe(false);
    });

    vitest.it("not with an answer that has begun, and so not before the next one", () => {
        const ends = new connectionEnds.ConnectionEnds();
        const socket = new net.Socket();
        const [begun] = addAll(ends, 1, socket);
        begun!.writeHead(200);
        ends.begin();
        const [next] = addAll(ends, 1, socket);
        vitest.expect(next!.shouldKeepAlive).toBe(false);
    });
});

vitest.describe("a request behind an answer that ends the connection", () => {
    vitest.it.each([
        { name: "isn't served once that has begun", hasBegun: true, isServed: false },
        { name: "is served before", hasBegun: false, isServed: true },
    ])("$name", ({ hasBegun, isServed }) => {
        const ends = new connectionEnds.ConnectionEnds();
        const socket = new net.Socket();
        const [last] = addAll(ends, 1, socket);
        ends.begin();
        if (hasBegun) {
            last!.writeHead(200);
        }
        vitest.expect(ends.tryAdd(socket, createResponse())).toBe(isServed);
    });
});

vitest.it("an answer has later ones on its connection until these have closed", () => {
    const ends = new connectionEnds.ConnectionEnds();
    const socket = new net.Socket();
    const [first, second] = addAll(ends, 2, socket);
    vitest.expect([first, second].map(response => ends.hasLater(socket, response!))).toEqual([true, false]);
    second!.emit("close");
    vitest.expect(ends.hasLater(socket, first!)).toBe(false);
});
