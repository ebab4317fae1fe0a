/**
 * Memory that an entry and an agent, in separate processes, use for each request and stream in flight.
 */
import * as clocks from "../src/common/Clock";
import * as chains from "./Chains";
import * as loads from "./HttpLoad";
import * as slopes from "./Slope";

const IN_FLIGHT_COUNTS = [100, 300, 600];
/** Time for all sides to close the sockets of finished requests. */
const SOCKET_CLOSE_MS = 1_000;

/** Measures the memory of calls and streams that the upstream keeps open. */
export async function measureAll(): Promise<slopes.Slope[]> {
    const runningChains = await chains.Chains.start();
    // Warms up: the first requests load code and fill caches.
    await runningChains.sendCalls(false, 2_000);
    await runningChains.sendStreams(false, 200);
    for (const kind of ["hold", "stall"] as const) {
        await measureOpenRequests(runningChains, "entry", kind, IN_FLIGHT_COUNTS.at(-1)!);
    }
    const measured: slopes.Slope[] = [];
    for (const role of ["entry", "agent"] as const) {
        for (const kind of ["hold", "stall"] as const) {
            const points = [];
            for (const size of IN_FLIGHT_COUNTS) {
                points.push({ size, value: await measureOpenRequests(runningChains, role, kind, size) });
            }
            const isStream = kind === "stall";
            const quantity = `${role}: ${isStream ? "streams" : "calls of 512 B"} under way`;
            const symbol = `m_${isStream ? "stream" : "call"}_${role}`;
            measured.push({ symbol, quantity, unit: "B", per: isStream ? "stream" : "call", points });
        }
    }
    runningChains.dispose();
    return measured;
}

async function measureOpenRequests(
    runningChains: chains.Chains,
    role: chains.Role,
    kind: "hold" | "stall",
    size: number,
): Promise<number> {
    await clocks.sleep(clocks.systemClock, SOCKET_CLOSE_MS);
    const bytesBefore = await runningChains.readLiveBytes(role);
    const openRequests = loads.holdOpen(runningChains.createOpenRequest(kind), size);
    await runningChains.waitForActive(size);
    const bytes = await runningChains.readLiveBytes(role) - bytesBefore;
    openRequests.dispose();
    await runningChains.waitForActive(0);
    return bytes;
}
