/**
 * Reads a settings file again when a signal asks for it, and when the file has changed without one.
 */
import * as fs from "node:fs";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as logs from "../common/Log";
import * as settingsShapes from "../common/Settings";
import * as settingsFiles from "../common/SettingsFile";

/** Time between two looks at the file. */
const POLL_INTERVAL_MS = 2_000;

/** What reloading needs. */
export interface SettingsReloadOptions {
    readonly path: string;
    readonly clock: clocks.Clock;
    readonly log: logs.Log;
    /** What the process started with; the file may have changed since it was read. */
    readonly initialSettings: settingsShapes.Settings;
    /** Takes settings that passed their checks. */
    readonly apply: (settings: settingsShapes.Settings) => void;
}

/** Watches one file for as long as its process runs. Invalid content is logged and changes nothing. */
export class SettingsReload implements clocks.Disposable {
    private modifiedMs: number;
    private readonly timer: clocks.Disposable;
    private readonly onSignal = (): void => this.reload("signal");

    constructor(private readonly options: SettingsReloadOptions) {
        this.modifiedMs = this.readModifiedMs();
        this.timer = clocks.every(options.clock, POLL_INTERVAL_MS, () => this.checkFile());
        process.on("SIGHUP", this.onSignal);
        this.reloadIfChangedDuringStart();
    }

    dispose(): void {
        this.timer.dispose();
        process.off("SIGHUP", this.onSignal);
    }

    /** Reloads what has changed while the process was starting. */
    private reloadIfChangedDuringStart(): void {
        const current = settingsFiles.readSettings(this.options.path);
        if (current.isErr || JSON.stringify(current.value) !== JSON.stringify(this.options.initialSettings)) {
            this.reload("changed while starting");
        }
    }

    private checkFile(): void {
        if (this.readModifiedMs() !== this.modifiedMs) {
            this.reload("changed");
        }
    }

    private reload(cause: string): void {
        const { path, log, apply } = this.options;
        this.modifiedMs = this.readModifiedMs();
        const settings = settingsFiles.readSettings(path);
        if (settings.isErr) {
            const { code } = codes.codes.settingsInvalid;
            log.warn({ decision: "reload", cause, code, problems: settings.error }, "settings stay as they are");
            return;
        }
        apply(settings.value);
        log.info({ decision: "reload", cause, settings: settings.value }, "settings reloaded");
    }

    /** 0 when the file can't be read; the next reload says why. */
    private readModifiedMs(): number {
        return fs.statSync(this.options.path, { throwIfNoEntry: false })?.mtimeMs ?? 0;
    }
}
