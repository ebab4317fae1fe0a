import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as logs from "../common/Log";
import * as checks from "../version/ConfigurationCheck";
import * as settingsFiles from "./SettingsFile";
import * as reloads from "./SettingsReload";

/** Longer than the poll interval. */
const AFTER_POLL_MS = 2_100;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-reload-"));
const file = path.join(folder, "entry.yaml");

function writeSettings(
    seeds: readonly string[] | "invalid",
    modifiedSeconds: number,
    changed: Record<string, unknown> = {},
): void {
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
        ...changed,
    };
    fs.writeFileSync(file, JSON.stringify(content));
    // Set explicitly, since the file system's timestamps may be too coarse.
    fs.utimesSync(file, modifiedSeconds, modifiedSeconds);
}

function readInitialSettings(): settingsFiles.UsableSettings {
    return settingsFiles.readStartSettings(file).unwrapOrElse(problems => {
        throw new Error(JSON.stringify(problems));
    });
}

/** The fields used here of a warning. */
interface LogLine {
    readonly msg: string;
    readonly problems: readonly checks.Problem[];
}

const NEW_SEEDS = ["127.0.0.1:9"];

interface Case {
    readonly name: string;
    /** Runs after the settings were read and before the reload is created. */
    readonly duringStart?: () => void;
    readonly afterStart?: (clock: clocks.ManualClock) => void;
    readonly expectedSeeds: readonly (readonly string[])[];
    /** Messages of the warnings, and the settings that they name; left out where the case doesn't say. */
    readonly expectedWarnings?: readonly { readonly msg: string; readonly paths: readonly string[] }[];
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
        name: "no settings of a file that lacks a required one",
        afterStart: clock => {
            writeSettings(NEW_SEEDS, 2_000, { store: "nowhere" });
            clock.advance(AFTER_POLL_MS);
        },
        expectedSeeds: [],
    },
    {
        name: "the other settings while an optional one is invalid",
        afterStart: clock => {
            writeSettings(NEW_SEEDS, 2_000, { cores: "many" });
            clock.advance(AFTER_POLL_MS);
        },
        expectedSeeds: [NEW_SEEDS],
        expectedWarnings: [{ msg: "invalid optional settings, former values kept", paths: ["cores"] }],
    },
    {
        name: "the seeds reloaded last while those stated are invalid",
        afterStart: clock => {
            writeSettings(NEW_SEEDS, 2_000);
            clock.advance(AFTER_POLL_MS);
            writeSettings("invalid", 3_000);
            clock.advance(AFTER_POLL_MS);
        },
        expectedSeeds: [NEW_SEEDS, NEW_SEEDS],
        expectedWarnings: [{ msg: "invalid optional settings, former values kept", paths: ["seeds"] }],
    },
];

vitest.describe("reloading the settings", () => {
    vitest.afterAll(() => fs.rmSync(folder, { recursive: true }));

    vitest.it.each(cases)(
        "applies $name",
        ({ duringStart, afterStart, expectedSeeds, expectedWarnings }) => {
            writeSettings([], 1_000);
            const initial = readInitialSettings();
            duringStart?.();
            const clock = new clocks.ManualClock();
            const appliedSeeds: (readonly string[])[] = [];
            const lines: LogLine[] = [];
            const reload = new reloads.SettingsReload({
                path: file,
                clock,
                log: logs.createLog("entry-1", "warn", line => lines.push(JSON.parse(line) as LogLine)),
                initial,
                apply: settings => appliedSeeds.push(settings.role === "route-entry" ? settings.seeds : []),
            });
            afterStart?.(clock);
            reload.dispose();
            vitest.expect(appliedSeeds).toEqual(expectedSeeds);
            const warnings = lines.map(({ msg, problems }) => ({ msg, paths: problems.map(problem => problem.path) }));
            vitest.expect(warnings).toEqual(expectedWarnings ?? warnings);
        },
    );
});
