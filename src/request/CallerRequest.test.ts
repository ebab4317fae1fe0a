import * as http from "node:http";
import * as vitest from "vitest";
import * as heapFixtures from "../common/HeapFixture";
import * as callerRequests from "./CallerRequest";

const MEGABYTE = 1024 * 1024;
const CHUNKS = 300_000;

vitest.it("a body in chunks of one byte takes little more than its bytes", async () => {
    let addedBytes = Infinity;
    const message = {
        method: "POST",
        url: "/v1/pipelines/desk",
        headers: { "cumincrank-team": "east" },
        async *[Symbol.asyncIterator]() {
            const before = heapFixtures.usedBytes();
            yield Buffer.from("\"");
            for (let count = 0; count < CHUNKS; count++) {
                yield Buffer.alloc(1, "a");
            }
            addedBytes = heapFixtures.usedBytes() - before;
            yield Buffer.from("\"");
        },
    };
    const request = await callerRequests.readCallerRequest(message as unknown as http.IncomingMessage, MEGABYTE);
    vitest.expect(request.isOk && request.value.input).toBe("a".repeat(CHUNKS));
    vitest.expect(addedBytes).toBeLessThan(2 * CHUNKS + MEGABYTE);
});
