import * as http from "node:http";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as routing from "../../common/Routing";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as listeners from "../../process/serving/Listener";
import * as startChecks from "./StartCheck";

const STARTED_MS = 1_700_000_000_000;
const OTHER_INSTANCE_STATUS = 421;

interface AnswerCase {
    readonly name: string;
    readonly status?: number;
    readonly body?: string;
    readonly expected: string;
}

/** Answers as the stand-in of the wire below reads them: the body is the start, 421 is another instance. */
const answerCases: readonly AnswerCase[] = [
    { name: "its start", body: String(STARTED_MS), expected: "expected" },
    { name: "a later start", body: String(STARTED_MS + 1), expected: "other" },
    { name: "an earlier start", body: String(STARTED_MS - 1), expected: "other" },
    { name: "that it is another instance", status: OTHER_INSTANCE_STATUS, body: "", expected: "other" },
    { name: "nothing about its start", body: "", expected: "unstated" },
    { name: "that it doesn't know the request", status: 404, body: String(STARTED_MS + 1), expected: "unstated" },
    { name: "nothing", expected: "timeout" },
];

vitest.describe("an instance that is asked for its start", () => {
    vitest.it.each(answerCases)("and answers $name", async ({ status, body, expected }) => {
        const outcome = await check((_, response) => {
            if (body !== undefined) {
                response.writeHead(status ?? 200).end(body);
            }
        });
        vitest.expect(outcome.kind === "none" ? outcome.reason : outcome.kind).toBe(expected);
    });

    vitest.it("is asked again if the connection was closed while idle", async () => {
        let requests = 0;
        const outcome = await check((request, response) => {
            requests++;
            if (requests === 2) {
                request.socket.destroy();
                return;
            }
            response.end(String(STARTED_MS));
        }, 2);
        vitest.expect(outcome.kind).toBe("expected");
        vitest.expect(requests).toBe(3);
    });

    vitest.it("isn't asked in a hold", async () => {
        let requests = 0;
        const outcome = await check(() => requests++, 1, () => true);
        vitest.expect(outcome).toMatchObject({ kind: "none", reason: "held" });
        vitest.expect(requests).toBe(0);
    });
});

/** Checks the start of an instance with this server, `count` times one after the other; returns the last outcome. */
async function check(
    answer: http.RequestListener,
    count = 1,
    isHeld = () => false,
): Promise<startChecks.StartCheckOutcome> {
    const listener = await listeners.listen(http.createServer(answer), "127.0.0.1:0");
    const connections = new upstreamConnections.UpstreamConnections();
    const context = {
        clock: clocks.systemClock,
        connections,
        wire: {
            stateRequest: () => ({ path: "/state", headers: [] }),
            readAnswer: (status: number) => ({ effect: status === OTHER_INSTANCE_STATUS ? "other-instance" : "ran" }),
            readStart: (body: string) => Number(body) || undefined,
        },
    } as unknown as startChecks.StartCheckContext;
    const instance = { id: "model-1", startedMs: STARTED_MS, address: listener.address } as routing.RoutedInstance;
    let outcome: startChecks.StartCheckOutcome | undefined;
    for (let index = 0; index < count; index++) {
        outcome = await startChecks.checkStart(context, instance, isHeld, new AbortController().signal);
        await new Promise(resolve => setImmediate(resolve)); // The connection becomes idle.
    }
    connections.destroy();
    listener.dispose();
    return outcome!;
}
