/**
 * Memory that an entry and an agent, as processes of their own, hold for each request and stream under way.
 */
import * as clocks from "../src/common/Clock";
import * as chains from "./Chains";
import * as loads from "./HttpLoad";
import * as slopes from "./Slope";

const IN_FLIGHT = [100, 300, 600];
/** Time in which the sockets of ended requests are closed on all sides. */
const SETTLE_MS = 1_000;

/** Measures calls and streams that the upstream holds open. */
export async function measureAll(): Promise<slopes.Slope[]> {
    const started = await chains.Chains.start();
    // The first answers load code and fill caches.
    await started.sendCalls(false, 2_000);
    await started.sendStreams(false, 200);
    for (const kind of ["hold", "stall"] as const) {
        await measureHeld(started, "entry", kind, IN_FLIGHT.at(-1)!);
    }
    const measured: slopes.Slope[] = [];
    for (const role of ["entry", "agent"] as const) {
        for (const kind of ["hold", "stall"] as const) {
            const points = [];
            for (const size of IN_FLIGHT) {
                points.push({ size, value: await measureHeld(started, role, kind, size) });
            }
            const isStream = kind === "stall";
            const quantity = `${role}: ${isStream ? "streams" : "calls of 512 B"} under way`;
            const symbol = `m_${isStream ? "stream" : "call"}_${role}`;
            measured.push({ symbol, quantity, unit: "B", per: isStream ? "stream" : "call", points });
        }
    }
    started.dispose();
    return measured;
}

async function measureHeld(
    started: chains.Chains,
    role: chains.Role,
    kind: "hold" | "stall",
    size: number,
): Promise<number> {
    await clocks.sleep(clocks.systemClock, SETTLE_MS);
    const before = await started.readLiveBytes(role);
    const held = loads.holdOpen(started.createOpenRequest(kind), size);
    await started.waitForActive(size);
    const bytes = await started.readLiveBytes(role) - before;
    held.dispose();
    await started.waitForActive(0);
    return bytes;
}
