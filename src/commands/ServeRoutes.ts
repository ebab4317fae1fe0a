/**
 * The command `entry` with settings of the role `route-entry`: serves routed calls until a signal stops it.
 */
import * as platformCalls from "../../platform/PlatformCalls";
import * as platformStages from "../../platform/PlatformStages";
import * as platformStores from "../../platform/PlatformStore";
import * as clocks from "../common/Clock";
import * as settingsShapes from "../common/Settings";
import * as routeEntries from "../process/routing/RouteEntry";
import * as exitCodes from "./Exits";
import * as loggedProcesses from "./LoggedProcess";
import * as settingsFiles from "./SettingsFile";
import * as settingsReloads from "./SettingsReload";
import * as signals from "./Signals";
import * as startSettings from "./StartSettings";

/** Where the settings of an entry come from, and what stops it. */
export interface RouteStart {
    readonly path: string;
    readonly initial: settingsFiles.UsableSettings;
    readonly stops: signals.StopSignals;
}

/** Runs a route entry and reloads its settings when their file changes; resolves to the exit code. */
export async function serveRoutes(
    settings: settingsShapes.RouteEntrySettings,
    { path, initial, stops }: RouteStart,
    { log, counters }: loggedProcesses.LoggedProcess,
): Promise<number> {
    let { lacksSeeds } = initial;
    const options: routeEntries.RouteEntryOptions = {
        clock: clocks.systemClock,
        log,
        random: Math.random,
        store: platformStores.createPlatformStore(settings.store),
        callWire: platformCalls.platformCalls,
        stageWire: platformStages.platformStages,
        counters,
        lacksSeeds: () => lacksSeeds,
    };
    const start = (): Promise<routeEntries.RouteEntry> => routeEntries.RouteEntry.start(settings, options);
    const running = await signals.startUnlessStopped(start, stops, log);
    if (running === undefined) {
        return exitCodes.EXIT_SUCCESS;
    }
    const apply = (reloaded: settingsShapes.Settings, lacksReloadedSeeds: boolean): void => {
        lacksSeeds = lacksReloadedSeeds;
        if (reloaded.role === "route-entry") {
            running.reload(reloaded);
        }
    };
    const reload = new settingsReloads.SettingsReload({
        path,
        clock: clocks.systemClock,
        log,
        initial,
        apply,
    });
    log.info({ callers: running.callerAddress, peer: running.peerAddress, settings }, "listening");
    startSettings.logProblems(log, initial.problems);
    try {
        return await signals.waitForStop(running, stops, log);
    }
    finally {
        reload.dispose();
    }
}
