import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as checks from "../version/ConfigurationCheck";
import * as waits from "./SettingsWait";

const { describe, expect, it } = vitest;

const STEP_MS = 50;
const LONGEST_MS = 12_000;

interface Case {
    readonly name: string;
    /** When the settings become valid. */
    readonly validAtMs: number;
    /** Whether a process can start with them before. */
    readonly isUsable?: boolean;
    /** When the wait is stopped. */
    readonly stopAtMs?: number;
    readonly expectedEnd: string;
    readonly expectedEndMs: number;
    readonly expectedReportsMs: readonly number[];
}

const cases: readonly Case[] = [
    { name: "valid settings at once", validAtMs: 0, expectedEnd: "valid", expectedEndMs: 0, expectedReportsMs: [] },
    {
        name: "settings that become valid between two reports",
        validAtMs: 1_450,
        expectedEnd: "valid",
        expectedEndMs: 1_500,
        expectedReportsMs: [0, 1_000],
    },
    {
        name: "settings that become valid at the limit",
        validAtMs: 10_000,
        expectedEnd: "valid",
        expectedEndMs: 10_000,
        expectedReportsMs: [0, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000, 8_000, 9_000],
    },
    {
        name: "settings that stay invalid",
        validAtMs: Infinity,
        expectedEnd: "invalid",
        expectedEndMs: 10_000,
        expectedReportsMs: [0, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000, 8_000, 9_000],
    },
    {
        name: "settings to start with that become valid",
        validAtMs: 450,
        isUsable: true,
        expectedEnd: "valid",
        expectedEndMs: 500,
        expectedReportsMs: [0],
    },
    {
        name: "settings to start with that stay invalid",
        validAtMs: Infinity,
        isUsable: true,
        expectedEnd: "valid",
        expectedEndMs: 10_000,
        expectedReportsMs: [0, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000, 8_000, 9_000],
    },
    {
        name: "a stop between two attempts",
        validAtMs: Infinity,
        stopAtMs: 2_250,
        expectedEnd: "stopped",
        expectedEndMs: 2_250,
        expectedReportsMs: [0, 1_000, 2_000],
    },
];

/** Lets continuations run that wait for settled promises only. */
function settle(): Promise<void> {
    return new Promise(resolve => setImmediate(resolve));
}

describe("waiting for settings at a start", () => {
    it.each(cases)("ends for $name", async options => {
        const { validAtMs, isUsable, stopAtMs, expectedEnd, expectedEndMs, expectedReportsMs } = options;
        const clock = new clocks.ManualClock(0);
        const stop = new AbortController();
        const reportsMs: number[] = [];
        const problem: checks.Problem = { path: "store", value: "nothing", expected: "an address" };
        let end: waits.SettingsWaitEnd<string> | undefined;
        let endMs = -1;
        void waits.waitForSettings({
            clock,
            read: () => {
                const isValid = clock.now() >= validAtMs;
                return {
                    settings: isValid || isUsable === true ? "settings" : undefined,
                    problems: isValid ? [] : [problem],
                };
            },
            report: (problems, waitedMs) => {
                expect(problems).toEqual([problem]);
                reportsMs.push(waitedMs);
            },
            stop: stop.signal,
        }).then(value => {
            end = value;
            endMs = clock.now();
        });
        await settle();
        while (end === undefined && clock.now() < LONGEST_MS) {
            clock.advance(STEP_MS);
            if (clock.now() === stopAtMs) {
                stop.abort();
            }
            await settle();
        }
        expect(end?.kind).toBe(expectedEnd);
        expect(endMs).toBe(expectedEndMs);
        expect(reportsMs).toEqual(expectedReportsMs);
    });
});
