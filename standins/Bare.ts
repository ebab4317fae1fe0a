/**
 * Minimal programs as a baseline for measurements. `upstream` echoes the body of each call and streams tokens as
 * fast as possible, except for the operations `hold`, which is never answered, and `stall`, which gets one token.
 * `proxy` only forwards requests to another address with node:http. Both print `ready ADDRESS` once they listen and
 * report their CPU time at `GET /usage`.
 */
import * as commander from "commander";
import * as http from "node:http";
import * as net from "node:net";

const KEEP_ALIVE_MS = 60_000;
const TOKENS_PER_STREAM = 1_000;

/** CPU time in microseconds since the start of the program, and its resident memory in bytes. */
interface Usage {
    readonly cpuMicros: number;
    readonly residentBytes: number;
}

/** Tokens sent on each stream that isn't waiting for `drain`; each turn of the event loop sends one token on each. */
const sentTokensByStream = new Map<http.ServerResponse, number>();

function sendNextTokens(): void {
    for (const [response, sent] of sentTokensByStream) {
        if (sent === TOKENS_PER_STREAM || response.destroyed) {
            sentTokensByStream.delete(response);
            response.end(`${JSON.stringify({ end: true, tokens: TOKENS_PER_STREAM })}\n`);
        }
        else if (response.write(`{"offset":${sent},"tokens":["token${sent} "]}\n`)) {
            sentTokensByStream.set(response, sent + 1);
        }
        else {
            sentTokensByStream.set(response, sent + 1);
            sentTokensByStream.delete(response);
            response.once("drain", () => addStream(response, sent + 1));
        }
    }
    if (sentTokensByStream.size > 0) {
        setImmediate(sendNextTokens);
    }
}

function addStream(response: http.ServerResponse, sent: number): void {
    sentTokensByStream.set(response, sent);
    if (sentTokensByStream.size === 1) {
        setImmediate(sendNextTokens);
    }
}

function serveUpstream(request: http.IncomingMessage, response: http.ServerResponse): void {
    response.setHeader("x-boot", `bare-${process.pid}`);
    const path = request.url ?? "";
    if (path === "/call/hold") {
        request.resume();
        return;
    }
    if (path.startsWith("/call/")) {
        response.setHeader("content-type", "application/json");
        request.pipe(response);
        return;
    }
    request.resume();
    if (path === "/stream/stall") {
        response.writeHead(200, { "content-type": "application/x-ndjson" });
        response.write("{\"offset\":0,\"tokens\":[\"token0 \"]}\n");
        return;
    }
    if (path.startsWith("/stream/")) {
        response.writeHead(200, { "content-type": "application/x-ndjson" });
        addStream(response, 0);
        return;
    }
    const report = {
        boot: `bare-${process.pid}`,
        active: sentTokensByStream.size,
        models: [],
        fence: 0,
        role: "mixed",
    };
    response.end(JSON.stringify(path === "/report" ? report : path.startsWith("/cache/events") ? [] : {}));
}

/** Forwards each request to `upstreamAddress`, an IP address and a port. */
function createProxy(upstreamAddress: string): http.RequestListener {
    const agent = new http.Agent({ keepAlive: true, scheduling: "lifo" });
    const [host, port] = upstreamAddress.split(":");
    return (request, response) => {
        const { method, url, headers } = request;
        const options = { host, port, agent, method, path: url, headers };
        const upstreamRequest = http.request(options, answer => {
            response.writeHead(answer.statusCode ?? 502, answer.headers);
            answer.pipe(response);
        });
        upstreamRequest.on("error", () => response.destroy());
        request.pipe(upstreamRequest);
    };
}

function describeUsage(): Usage {
    const { user, system } = process.cpuUsage();
    return { cpuMicros: user + system, residentBytes: process.memoryUsage.rss() };
}

function listen(listener: http.RequestListener): void {
    const server = http.createServer((request, response) => {
        if (request.url === "/usage") {
            response.end(JSON.stringify(describeUsage()));
            return;
        }
        listener(request, response);
    });
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    server.listen(0, "127.0.0.1", () => console.log(`ready 127.0.0.1:${(server.address() as net.AddressInfo).port}`));
    process.once("SIGTERM", () => process.exit(0));
}

const program = new commander.Command("bare");
program.command("upstream").action(() => listen(serveUpstream));
program.command("proxy").argument("<next>", "address to forward requests to").action((upstreamAddress: string) =>
    listen(createProxy(upstreamAddress))
);
program.parse();
