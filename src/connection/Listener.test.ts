import * as net from "node:net";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as logs from "../common/Log";
import * as listeners from "./Listener";

const { afterEach, describe, expect, it } = vitest;

const ADDRESS_LIMIT_MS = 30_000;
/** An address for documentation, which no machine has. */
const FOREIGN_ADDRESS = "192.0.2.1:7000";

interface Line {
    readonly decision: string;
    readonly error: string;
    readonly waitedMs?: number;
    readonly count?: number;
}

class Fixture {
    readonly clock = new clocks.ManualClock(0);
    readonly lines: Line[] = [];
    readonly log = logs.createLog("entry-1", "info", line => this.lines.push(JSON.parse(line) as Line));
    readonly server = net.createServer();
    outcome: listeners.Listener | NodeJS.ErrnoException | undefined;

    listen(address: string): void {
        void listeners.listen(this.server, address, this).then(
            listener => this.outcome = listener,
            (error: unknown) => this.outcome = error as NodeJS.ErrnoException,
        );
    }

    /** Lets time pass and the system calls of each attempt return. */
    async pass(durationMs: number): Promise<void> {
        for (let passedMs = 0; passedMs < durationMs && this.outcome === undefined; passedMs += 100) {
            await new Promise(resolve => setTimeout(resolve, 1));
            this.clock.advance(100);
        }
    }
}

const open: net.Server[] = [];
afterEach(() => open.splice(0).forEach(server => server.close()));

function occupyAnyPort(): Promise<net.Server> {
    const server = net.createServer();
    open.push(server);
    return new Promise(resolve => server.listen(0, "127.0.0.1", () => resolve(server)));
}

describe("a server's address", () => {
    // Guards against processes that end at their start because an address is in use for a moment.
    it("that is in use is waited for, with a line each second", async () => {
        const fixture = new Fixture();
        const occupant = await occupyAnyPort();
        const { port } = occupant.address() as net.AddressInfo;
        fixture.listen(`127.0.0.1:${port}`);
        await fixture.pass(2_500);
        expect(fixture.outcome).toBeUndefined();
        expect(fixture.lines.length).toBe(3);
        expect(fixture.lines[0]).toMatchObject({ decision: "wait-for-address", error: "EADDRINUSE" });
        await new Promise(resolve => occupant.close(resolve));
        await fixture.pass(ADDRESS_LIMIT_MS);
        expect((fixture.outcome as listeners.Listener).address).toBe(`127.0.0.1:${port}`);
        (fixture.outcome as listeners.Listener).dispose();
    });

    it("that the machine doesn't have is waited for until the limit", async () => {
        const fixture = new Fixture();
        fixture.listen(FOREIGN_ADDRESS);
        await fixture.pass(ADDRESS_LIMIT_MS - 1_000);
        expect(fixture.outcome).toBeUndefined();
        await fixture.pass(2_000);
        expect((fixture.outcome as NodeJS.ErrnoException).code).toBe("EADDRNOTAVAIL");
    });

    it("that can never be used is refused at once", async () => {
        const fixture = new Fixture();
        fixture.listen("127.0.0.1:99999");
        await new Promise(resolve => setTimeout(resolve, 1));
        expect(fixture.outcome).toBeInstanceOf(Error);
        expect(fixture.lines).toEqual([]);
    });
});

describe("a listening server", () => {
    // Guards against processes that end because the machine can't hand them a connection.
    it("goes on after errors, with a line each second", async () => {
        const fixture = new Fixture();
        fixture.listen("127.0.0.1:0");
        await fixture.pass(1_000);
        const listener = fixture.outcome as listeners.Listener;
        const error = Object.assign(new Error("accept EMFILE"), { code: "EMFILE" });
        for (let count = 0; count < 5; count++) {
            fixture.server.emit("error", error);
        }
        fixture.clock.advance(1_000);
        fixture.server.emit("error", error);
        expect(fixture.lines).toMatchObject([
            { decision: "accept-failed", error: "EMFILE", count: 1 },
            { decision: "accept-failed", error: "EMFILE", count: 5 },
        ]);
        expect(fixture.server.listening).toBe(true);
        listener.dispose();
    });
});
