import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as vitest from "vitest";
import * as clocks from "../common/Clock";
import * as logs from "../common/Log";
import * as settingsShapes from "../common/Settings";
import * as settingsFiles from "../common/SettingsFile";
import * as reloads from "./SettingsReload";

/** Longer than the time between two looks at the file, in milliseconds. */
const LOOKED_MS = 2_100;

const folder = fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-reload-"));
const file = path.join(folder, "entry.yaml");

function write(seeds: readonly string[] | "invalid", changedSeconds: number): void {
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
    fs.utimesSync(file, changedSeconds, changedSeconds); // The file system's clock may be coarse.
}

function readStarted(): settingsShapes.Settings {
    return settingsFiles.readSettings(file).unwrapOrElse(problems => {
        throw new Error(JSON.stringify(problems));
    });
}

const NEW_SEEDS = ["127.0.0.1:9"];

interface Case {
    readonly name: string;
    /** Between the reading of the settings and the reload's start. */
    readonly whileStarting?: () => void;
    readonly afterwards?: (clock: clocks.ManualClock) => void;
    readonly applied: readonly (readonly string[])[];
}

const cases: readonly Case[] = [
    { name: "nothing without a change", afterwards: clock => clock.advance(LOOKED_MS), applied: [] },
    {
        name: "a change while the process was starting",
        whileStarting: () => write(NEW_SEEDS, 2_000),
        afterwards: clock => clock.advance(LOOKED_MS),
        applied: [NEW_SEEDS],
    },
    {
        name: "a change with a signal",
        afterwards: () => {
            write(NEW_SEEDS, 2_000);
            process.emit("SIGHUP");
        },
        applied: [NEW_SEEDS],
    },
    {
        name: "a change without a signal",
        afterwards: clock => {
            write(NEW_SEEDS, 2_000);
            clock.advance(LOOKED_MS);
        },
        applied: [NEW_SEEDS],
    },
    {
        name: "nothing that is invalid",
        afterwards: clock => {
            write("invalid", 2_000);
            clock.advance(LOOKED_MS);
        },
        applied: [],
    },
];

vitest.describe("reloading the settings", () => {
    vitest.afterAll(() => fs.rmSync(folder, { recursive: true }));

    vitest.it.each(cases)("applies $name", ({ whileStarting, afterwards, applied }) => {
        write([], 1_000);
        const started = readStarted();
        whileStarting?.();
        const clock = new clocks.ManualClock();
        const seen: (readonly string[])[] = [];
        const reload = new reloads.SettingsReload({
            path: file,
            clock,
            log: logs.silentLog,
            started,
            apply: settings => seen.push(settings.role === "route-entry" ? settings.seeds : []),
        });
        afterwards?.(clock);
        reload.dispose();
        vitest.expect(seen).toEqual(applied);
    });
});
