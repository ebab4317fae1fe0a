import * as pino from "pino";
import * as vitest from "vitest";
import * as platformStages from "../../../platform/PlatformStages";
import * as clocks from "../../common/Clock";
import * as upstreamConnections from "../../connection/UpstreamConnections";
import * as releasers from "./ResultReleaser";

vitest.describe("the release of a result", () => {
    // Guards against an exception that nobody handles, which ends the process with all its requests.
    vitest.it.each([
        { name: "at a port that doesn't exist", handle: "127.0.0.1:70000/1" },
        { name: "at no address", handle: "1" },
    ])("$name fails with a log line", async ({ handle }) => {
        const lines: string[] = [];
        const connections = new upstreamConnections.UpstreamConnections();
        const options = {
            clock: clocks.systemClock,
            log: pino.pino({}, { write: (line: string) => void lines.push(line) }),
            wire: platformStages.platformStages,
            connections,
            holds: { remainingMsAt: () => 0 },
            limits: { spareWaitMsAt: () => 0 },
            findInstance: () => undefined,
            onAnswer: () => undefined,
        };
        const releaser = new releasers.ResultReleaser(options as unknown as releasers.ResultReleaserOptions);
        releaser.add([handle]);
        await vitest.vi.waitUntil(() => lines.length > 0);
        vitest.expect(JSON.parse(lines[0]!)).toMatchObject({ decision: "release-failed", results: 1 });
        releaser.dispose();
        connections.destroy();
    });
});
