import * as result from "true-myth/result";
import * as vitest from "vitest";
import * as demos from "../commands/DemoConfiguration";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as configurations from "../common/Configuration";
import * as logs from "../common/Log";
import * as ports from "../common/Ports";
import * as limits from "../process/admission/AdmissionLimit";
import * as queues from "../process/admission/FairQueue";
import * as attemptMemories from "../process/keys/AttemptMemory";
import * as ledgers from "../process/keys/Ledger";

import * as upstreamWorks from "./UpstreamWork";

const { describe, expect, it } = vitest;

const LIFETIME_MS = 1_000;
const SERVICE = "bookings";
const OPERATION = "book";

/** An agent that serves one call at a time and whose upstream answers on demand. */
function createFixture() {
    const clock = new clocks.ManualClock();
    const limit = new limits.AdmissionLimit(() => ({ coldConcurrency: 1, warmConcurrency: 1 }));
    const queue = new queues.FairQueue({ clock, limit, weight: () => 1, shedBelowPriority: () => 0 });
    const ledger = new ledgers.Ledger({
        clock,
        capacity: 10,
        lifetimeMs: () => LIFETIME_MS,
        startedWallMs: clock.wall(),
    });
    const attempts = new attemptMemories.AttemptMemory({ clock, capacity: 10 });
    const dispatched: string[] = [];
    const finish: (() => void)[] = [];
    const answer = { code: codes.codes.ok, body: {}, tokens: 0 };
    const engine = {
        call: (call: ports.UpstreamCall) => {
            dispatched.push(call.request);
            return new Promise(resolve => finish.push(() => resolve(result.ok(answer))));
        },
    } as unknown as ports.ModelEngine;
    const state = { homeFailure: undefined as codes.Failure | undefined };
    const configuration = demos.demoConfiguration;
    const context: upstreamWorks.WorkContext = {
        clock,
        log: logs.silentLog,
        service: SERVICE,
        slot: Object.keys(configuration.services[SERVICE]!.slots)[0]!,
        incarnation: 1,
        engine,
        queue,
        ledger,
        attempts,
        configuration: () => configuration,
        findOutOfService: configurations.findOutOfService,
        isReady: () => true,
        isDraining: () => false,
        isRefreshing: () => false,
        unreadDelayMs: () => 0,
        waitForVersion: () => Promise.resolve(true),
        canServeModel: () => true,
        checkKeyHome: () => state.homeFailure,
        isCold: () => false,
        stopSignal: new AbortController().signal,
        reportBoot: () => {},
        load: () => ({ limit: 1, active: 0, queued: 0, cold: false, draining: false, expectedMs: 0, models: [] }),
    };
    clock.advance(LIFETIME_MS);
    const run = (request: string, key?: string) => {
        const call = { kind: "call", call: 1, incarnation: 1, request, stage: OPERATION, attempt: 0 } as const;
        const content = { team: "bench", priority: 5, remainingMs: 5_000, service: SERVICE, operation: OPERATION };
        return new upstreamWorks.UpstreamWork(
            context,
            { ...call, ...content, key, stream: false, offset: 0 },
            1,
            () => {},
        )
            .run();
    };
    return { state, dispatched, finish, run };
}

async function flushPromises(): Promise<void> {
    for (let turn = 0; turn < 30; turn++) {
        await Promise.resolve();
    }
}

describe("UpstreamWork", () => {
    const cases: [string, string | undefined, string, string[]][] = [
        ["rejects a queued call whose key moved to another instance", "key", "not-home", ["first"]],
        ["dispatches a queued call without a key", undefined, "ok", ["first", "second"]],
    ];
    it.each(cases)("%s", async (_name, key, expected, dispatched) => {
        const fixture = createFixture();
        const first = fixture.run("first");
        await flushPromises();
        const second = fixture.run("second", key);
        await flushPromises();
        fixture.state.homeFailure = codes.failure(codes.codes.notHome, "elsewhere");
        fixture.finish.shift()!();
        await first;
        await flushPromises();
        fixture.finish.shift()?.();
        expect([codes.findCode((await second).code)?.name, fixture.dispatched]).toEqual([expected, dispatched]);
    });
});
