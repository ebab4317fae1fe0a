/**
 * The commands `entry` and `agent`: run one process until a signal stops it.
 */
import * as pattern from "ts-pattern";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as logs from "../common/Log";
import * as settingsShapes from "../common/Settings";
import * as configurationServices from "../process/adapters/ConfigurationService";
import * as engineUpstreams from "../process/adapters/EngineUpstream";
import * as instanceLists from "../process/adapters/InstanceListService";
import * as weightStores from "../process/adapters/WeightStoreService";
import * as agentProcesses from "../process/AgentProcess";
import * as entryProcesses from "../process/EntryProcess";
import * as configurationChecks from "../version/ConfigurationCheck";
import * as checks from "./Check";
import * as exitCodes from "./Exits";
import * as loggedProcesses from "./LoggedProcess";
import * as routeCommands from "./ServeRoutes";
import * as signals from "./Signals";
import * as startSettings from "./StartSettings";

type PipelineProcessSettings = settingsShapes.EntrySettings | settingsShapes.AgentSettings;

/** Runs the process that the settings describe; resolves to the exit code. */
export async function serve(role: startSettings.ServingCommand, path: string): Promise<number> {
    if (process.env["UV_USE_IO_URING"] === "1") {
        console.error(`${codes.codes.platformUnsupported.code} UV_USE_IO_URING=1 is set; io_uring isn't supported`);
        return exitCodes.EXIT_FAILED;
    }
    const stops = new signals.StopSignals();
    const end = await startSettings.waitForFile(role, path, stops.begun);
    return pattern.match(end)
        .with({ kind: "stopped" }, () => exitCodes.EXIT_SUCCESS)
        .with({ kind: "invalid" }, ({ problems }) => {
            checks.writeProblems(path, problems, console.error);
            return exitCodes.EXIT_INVALID;
        })
        .with(
            { kind: "valid" },
            ({ settings: initial }) => {
                const { settings, problems } = initial;
                return loggedProcesses.runLogged(settings, running =>
                    settings.role === "route-entry"
                        ? routeCommands.serveRoutes(settings, { path, initial, stops }, running)
                        : runProcess(settings, problems, stops, running.log));
            },
        )
        .exhaustive();
}

async function runProcess(
    settings: PipelineProcessSettings,
    problems: readonly configurationChecks.Problem[],
    stops: signals.StopSignals,
    log: logs.Log,
): Promise<number> {
    const running = await signals.startUnlessStopped(() => startProcess(settings, log), stops, log);
    if (running === undefined) {
        return exitCodes.EXIT_SUCCESS;
    }
    log.info({ peer: running.peerAddress, admin: running.adminAddress, role: settings.role }, "listening");
    startSettings.logProblems(log, problems);
    return signals.waitForStop(running, stops, log);
}

function startProcess(settings: PipelineProcessSettings, log: logs.Log): Promise<signals.RunningProcess> {
    const shared = {
        clock: clocks.systemClock,
        log,
        random: Math.random,
        source: configurationServices.createConfigurationSource(settings.configurationService),
        instanceList: instanceLists.createInstanceList(settings.instanceList),
    };
    return pattern.match(settings)
        .returnType<Promise<signals.RunningProcess>>()
        .with({ role: "entry" }, entry => entryProcesses.EntryProcess.start(entry, shared))
        .with({ role: "agent" }, agent =>
            agentProcesses.AgentProcess.start(agent, {
                ...shared,
                engine: engineUpstreams.createModelEngine(agent.upstream),
                weightStore: agent.weightStore === undefined
                    ? undefined
                    : weightStores.createWeightStore(agent.weightStore),
            }))
        .exhaustive();
}
