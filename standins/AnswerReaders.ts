/**
 * The readers of answers, and a server that answers with given bytes, for tests of both.
 */
import * as clocks from "../src/common/Clock";
import * as upstreamConnections from "../src/connection/UpstreamConnections";
import * as exchanges from "../src/connection/UpstreamExchange";
import * as httpRequests from "../src/process/adapters/HttpRequest";
import * as rawServers from "./platform/RawServer";

/** Sends a request with this body; resolves to the body of a whole answer, and to undefined without one. */
export type Read = (address: string, upload: string | undefined) => Promise<string | undefined>;

/** The two readers. */
export const READERS: readonly { readonly reader: string; readonly read: Read }[] = [
    {
        reader: "UpstreamExchange",
        read: async (address, upload) => {
            const connections = new upstreamConnections.UpstreamConnections();
            const body = upload === undefined ? undefined : Buffer.from(upload);
            const length = body === undefined ? [] : ["Content-Length", String(body.length)];
            const answer = await exchanges.openExchange(connections, clocks.systemClock, {
                address,
                method: "POST",
                path: "/",
                headers: ["Host", address, ...length],
                body,
                isNewConnection: true,
                answerTimeoutMs: 5_000,
            });
            const whole = answer.kind === "answer" ? await exchanges.readBody(answer, 100_000) : undefined;
            connections.destroy();
            return whole?.toString();
        },
    },
    {
        reader: "HttpRequest",
        read: async (address, upload) => {
            const request: httpRequests.Request = {
                method: "POST",
                path: "/",
                timeoutMs: 5_000,
                body: upload,
                usesFreshConnection: true,
            };
            const client = httpRequests.createClient(address);
            const reply = await httpRequests.send(client, request, new AbortController().signal);
            return reply.isOk ? reply.value.body.toString() : undefined;
        },
    },
];

/** Calls `answer` when the first bytes of a request have arrived; what follows is read and dropped. */
export async function serve(answer: rawServers.RawAnswer): Promise<rawServers.RawServer> {
    const server = new rawServers.RawServer(answer);
    await server.listen();
    return server;
}
