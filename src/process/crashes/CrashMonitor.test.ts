import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as logs from "../../common/Log";
import * as routing from "../../common/Routing";
import * as endpointProbes from "../../connection/EndpointProbe";
import * as crashEvidence from "./CrashEvidence";
import * as crashMonitors from "./CrashMonitor";

const PROBE_MS = 20;

function instanceOf(id: string): routing.RoutedInstance {
    return { id, startedMs: 1, address: "127.0.0.1:1" } as routing.RoutedInstance;
}

/** A call with these parts of its prompt, of which the last identifies it. */
function callOf(...ids: readonly string[]): crashMonitors.ObservedCall {
    const promptParts = ids.map(id => ({ id, tokens: 100 }));
    return { attempt: "attempt", promptParts, requestDigests: () => [ids.at(-1) ?? "plain"] };
}

interface Interruption {
    readonly instance: string;
    readonly parts: readonly string[];
}

/** The ends that a monitor finds, with their parts, after interruptions a second apart. */
async function findCrashes(
    interruptions: readonly Interruption[],
    state: endpointProbes.EndpointState,
): Promise<{ readonly monitor: crashMonitors.CrashMonitor; readonly crashes: string[] }> {
    const clock = new clocks.ManualClock(0);
    const evidence = new crashEvidence.CrashEvidence(clock);
    const probe = (): Promise<endpointProbes.EndpointState> => Promise.resolve(state);
    const monitor = new crashMonitors.CrashMonitor({ clock, log: logs.silentLog, evidence, probe });
    for (const { instance, parts } of interruptions) {
        monitor.observeInterruption(instanceOf(instance), callOf(...parts), clock.now());
        clock.advance(PROBE_MS);
        await new Promise(resolve => setImmediate(resolve));
        clock.advance(1_000 - PROBE_MS);
    }
    return { monitor, crashes: evidence.all.map(describeCrash) };
}

function describeCrash({ instance, parts, requests }: crashEvidence.Crash): string {
    return `${instance}: ${[...parts, ...requests.keys()].join(" ")}`;
}

vitest.describe("interrupted calls", () => {
    const cases: readonly {
        readonly name: string;
        readonly interruptions: readonly Interruption[];
        readonly state: endpointProbes.EndpointState;
        readonly crashes: readonly string[];
    }[] = [
        {
            name: "show an end if the address refuses connections",
            interruptions: [{ instance: "i1", parts: ["a", "x", "own"] }],
            state: "refused",
            crashes: ["i1: a x request:own"],
        },
        {
            name: "show none if something listens there",
            interruptions: [{ instance: "i1", parts: ["a", "x", "own"] }],
            state: "listening",
            crashes: [],
        },
        {
            name: "show none if nothing answers",
            interruptions: [{ instance: "i1", parts: ["a", "x", "own"] }],
            state: "unknown",
            crashes: [],
        },
        {
            name: "without a prompt are known by their request",
            interruptions: [{ instance: "i1", parts: [] }],
            state: "refused",
            crashes: ["i1: request:plain"],
        },
        {
            name: "of one end are put together",
            interruptions: [{ instance: "i1", parts: ["a", "own-1"] }, { instance: "i1", parts: ["b", "own-2"] }],
            state: "refused",
            crashes: ["i1: a b request:own-1 request:own-2"],
        },
    ];
    vitest.it.each(cases)("$name", async ({ interruptions, state, crashes }) => {
        vitest.expect((await findCrashes(interruptions, state)).crashes).toEqual(crashes);
    });

    // Guards against messages that other entries refuse, which closes the connection to them.
    vitest.it("with parts of any length are told in short", async () => {
        const long = "5c".repeat(5_000);
        const interruptions = ["i1", "i2", "i3"].map(instance => ({ instance, parts: [long, `own-${instance}`] }));
        const { monitor, crashes } = await findCrashes(interruptions, "refused");
        vitest.expect(Math.max(...crashes.map(crash => crash.length))).toBeLessThan(100);
        vitest.expect(monitor.findHeld(callOf(long, "own-4"))).toBeDefined();
        vitest.expect(monitor.findHeld(callOf("other", "own-4"))).toBeUndefined();
    });
});
