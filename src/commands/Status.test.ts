import * as net from "node:net";
import * as vitest from "vitest";
import * as rawServers from "../../standins/platform/RawServer";
import * as statuses from "./Status";

const HEAD = "HTTP/1.1 200 OK\r\n";
const STATUS = "{\"version\":7}";

let server: rawServers.RawServer;
let printed: string;

vitest.beforeEach(() => {
    printed = "";
    vitest.vi.spyOn(process.stdout, "write").mockImplementation(text => {
        printed += Buffer.from(text as Uint8Array).toString();
        return true;
    });
    vitest.vi.spyOn(console, "error").mockImplementation(() => undefined);
});

vitest.afterEach(() => {
    vitest.vi.restoreAllMocks();
    server.dispose();
});

async function serve(bytes: string, close: (socket: net.Socket) => void): Promise<string> {
    server = new rawServers.RawServer(socket => {
        socket.write(bytes);
        close(socket);
    });
    await server.listen();
    return server.address;
}

const fin = (socket: net.Socket): void => void socket.end();
const reset = (socket: net.Socket): void => void socket.resetAndDestroy();

// Guards against a part of the status that is printed as the whole, and against a command that succeeds without one.
vitest.describe("the command status", () => {
    vitest.it.each([
        { name: "a whole answer", bytes: `${HEAD}Content-Length: 13\r\n\r\n${STATUS}`, close: fin, exitCode: 0 },
        { name: "a whole answer without a length", bytes: `${HEAD}\r\n${STATUS}`, close: fin, exitCode: 0 },
        {
            name: "an answer shorter than its length",
            bytes: `${HEAD}Content-Length: 20\r\n\r\n${STATUS}`,
            close: fin,
            exitCode: 1,
        },
        { name: "an answer that is reset", bytes: `${HEAD}\r\n${STATUS}`, close: reset, exitCode: 1 },
        { name: "no answer", bytes: "", close: fin, exitCode: 1 },
    ])("exits with $exitCode after $name", async ({ bytes, close, exitCode }) => {
        vitest.expect(await statuses.printStatus(await serve(bytes, close))).toBe(exitCode);
        vitest.expect(printed).toBe(exitCode === 0 ? STATUS : "");
    });
});
