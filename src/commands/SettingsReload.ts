/**
 * Reloads a settings file on SIGHUP, and when polling shows that the file was modified.
 */
import * as fs from "node:fs";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as logs from "../common/Log";
import * as settingsShapes from "../common/Settings";
import * as settingsFiles from "./SettingsFile";

/** Interval between checks of the file's modification time. */
const POLL_INTERVAL_MS = 2_000;

/** Dependencies and settings of a reload. */
export interface SettingsReloadOptions {
    readonly path: string;
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    /** The settings that the process started with; the file may have changed since they were read. */
    readonly initial: settingsFiles.UsableSettings;
    /** Applies reloaded settings; called with valid ones only. `lacksSeeds`: there are seeds that aren't known. */
    readonly apply: (settings: settingsShapes.Settings, lacksSeeds: boolean) => void;
}

/**
 * Watches one settings file until disposed. Invalid optional settings are logged and keep their former values; a file
 * without a valid value for each required setting is logged and changes nothing.
 */
export class SettingsReload implements clocks.Disposable {
    private current: settingsFiles.UsableSettings;
    private modifiedMs: number;
    private readonly timer: clocks.Disposable;
    private readonly onSignal = (): void => this.reload("signal");

    constructor(private readonly options: SettingsReloadOptions) {
        this.current = options.initial;
        this.modifiedMs = this.readModifiedMs();
        this.timer = clocks.every(options.clock, POLL_INTERVAL_MS, () => this.reloadIfModified());
        process.on("SIGHUP", this.onSignal);
        this.reloadIfChangedDuringStart();
    }

    dispose(): void {
        this.timer.dispose();
        process.off("SIGHUP", this.onSignal);
    }

    /** Reloads the file if it has changed since the initial settings were read. */
    private reloadIfChangedDuringStart(): void {
        const changed = settingsFiles.readChangedSettings(this.options.path, this.current);
        if (changed.isErr || JSON.stringify(changed.value) !== JSON.stringify(this.current)) {
            this.reload("changed while starting");
        }
    }

    private reloadIfModified(): void {
        if (this.readModifiedMs() !== this.modifiedMs) {
            this.reload("changed");
        }
    }

    private reload(cause: string): void {
        const { path, log, apply } = this.options;
        const { code } = codes.codes.settingsInvalid;
        this.modifiedMs = this.readModifiedMs();
        const changed = settingsFiles.readChangedSettings(path, this.current);
        if (changed.isErr) {
            log.warn({ decision: "reload", cause, code, problems: changed.error }, "invalid settings ignored");
            return;
        }
        this.current = changed.value;
        const { settings, problems, lacksSeeds } = changed.value;
        if (problems.length > 0) {
            log.warn({ decision: "reload", cause, code, problems }, "invalid optional settings, former values kept");
        }
        apply(settings, lacksSeeds);
        log.info({ decision: "reload", cause, settings }, "settings reloaded");
    }

    /** The file's modification time; 0 if it can't be read, which the next reload then logs. */
    private readModifiedMs(): number {
        try {
            return fs.statSync(this.options.path).mtimeMs;
        }
        catch {
            return 0;
        }
    }
}
