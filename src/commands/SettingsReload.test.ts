import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as logs from "../common/Log";
import * as settingsShapes from "../common/Settings";
import * as settingsFiles from "./SettingsFile";
import * as reloads from "./SettingsReload";

/** Longer than the poll interval. */
const AFTER_POLL_MS = 2_100;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-reload-"));
const file = path.join(folder, "entry.yaml");

function writeSettings(seeds: readonly string[] | "invalid", modifiedSeconds: number): void {
    const content = {
        role: "route-entry",
        instance: "entry-1",
        failureDomain: "zone-a",
        region: "here",
        callerListen: "127.0.0.1:1",
        readyListen: "127.0.0.1:2",
        peerListen: "127.0.0.1:3",
        adminListen: "127.0.0.1:4",
        store: "127.0.0.1:5",
        seeds,
        stopLimitSeconds: 8,
        repeats: { windowSeconds: 10, ratio: 0.2, slack: 50 },
        coldRate: { factor: 1.5, extra: 5 },
    };
    fs.writeFileSync(file, JSON.stringify(content));
    // Set explicitly, since the file system's timestamps may be too coarse.
    fs.utimesSync(file, modifiedSeconds, modifiedSeconds);
}

function readInitialSettings(): settingsShapes.Settings {
    return settingsFiles.readSettings(file).unwrapOrElse(problems => {
        throw new Error(JSON.stringify(problems));
    });
}

const NEW_SEEDS = ["127.0.0.1:9"];

interface Case {
    readonly name: string;
    /** Runs after the settings were read and before the reload is created. */
    readonly duringStart?: () => void;
    readonly afterStart?: (clock: clocks.ManualClock) => void;
    readonly expectedSeeds: readonly (readonly string[])[];
}

const cases: readonly Case[] = [
    { name: "nothing if the file is unchanged", afterStart: clock => clock.advance(AFTER_POLL_MS), expectedSeeds: [] },
    {
        name: "a change made while the process was starting",
        duringStart: () => writeSettings(NEW_SEEDS, 2_000),
        afterStart: clock => clock.advance(AFTER_POLL_MS),
        expectedSeeds: [NEW_SEEDS],
    },
    {
        name: "a change after SIGHUP",
        afterStart: () => {
            writeSettings(NEW_SEEDS, 2_000);
            process.emit("SIGHUP");
        },
        expectedSeeds: [NEW_SEEDS],
    },
    {
        name: "a change without a signal, after the poll interval",
        afterStart: clock => {
            writeSettings(NEW_SEEDS, 2_000);
            clock.advance(AFTER_POLL_MS);
        },
        expectedSeeds: [NEW_SEEDS],
    },
    {
        // Guards against the end of the process: an error other than a missing file was thrown in a timer.
        name: "no file that can't be reached",
        afterStart: clock => {
            fs.rmSync(file);
            fs.symlinkSync(file, file);
            clock.advance(AFTER_POLL_MS);
            fs.rmSync(file);
        },
        expectedSeeds: [],
    },
    {
        name: "no invalid settings",
        afterStart: clock => {
            writeSettings("invalid", 2_000);
            clock.advance(AFTER_POLL_MS);
        },
        expectedSeeds: [],
    },
];

vitest.describe("reloading the settings", () => {
    vitest.afterAll(() => fs.rmSync(folder, { recursive: true }));

    vitest.it.each(cases)(
        "applies $name",
        ({ duringStart, afterStart, expectedSeeds }) => {
            writeSettings([], 1_000);
            const initialSettings = readInitialSettings();
            duringStart?.();
            const clock = new clocks.ManualClock();
            const appliedSeeds: (readonly string[])[] = [];
            const reload = new reloads.SettingsReload({
                path: file,
                clock,
                log: logs.silentLog,
                initialSettings,
                apply: settings => appliedSeeds.push(settings.role === "route-entry" ? settings.seeds : []),
            });
            afterStart?.(clock);
            reload.dispose();
            vitest.expect(appliedSeeds).toEqual(expectedSeeds);
        },
    );
});
