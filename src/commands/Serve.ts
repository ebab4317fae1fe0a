/**
 * The commands `entry` and `agent`: run one process until a signal asks it to stop.
 */
import * as pattern from "ts-pattern";
import * as clocks from "../common/Clock";
import * as codes from "../common/Codes";
import * as logs from "../common/Log";
import * as settingsShapes from "../common/Settings";
import * as settingsFiles from "../common/SettingsFile";
import * as configurationServices from "../process/adapters/ConfigurationService";
import * as engineUpstreams from "../process/adapters/EngineUpstream";
import * as instanceLists from "../process/adapters/InstanceListService";
import * as weightStores from "../process/adapters/WeightStoreService";
import * as agentProcesses from "../process/AgentProcess";
import * as entryProcesses from "../process/EntryProcess";
import * as checks from "./Check";
import * as exits from "./Exits";

/** What both kinds of process offer to the command line. */
interface RunningProcess {
    stop(): Promise<number>;
    dispose(): void;
    readonly peerAddress: string;
    readonly adminAddress: string;
}

/** Runs the process that the settings describe; resolves to the exit code. */
export async function serve(role: settingsShapes.Settings["role"], path: string): Promise<number> {
    if (process.env["UV_USE_IO_URING"] === "1") {
        console.error(`${codes.codes.platformUnsupported.code} UV_USE_IO_URING=1 is set; io_uring isn't used here`);
        return exits.EXIT_UNUSABLE;
    }
    const settings = settingsFiles.readSettings(path);
    if (settings.isErr) {
        checks.writeProblems(path, settings.error, console.error);
        return exits.EXIT_INVALID;
    }
    if (settings.value.role !== role) {
        checks.writeProblems(path, [{ path: "role", value: settings.value.role, expected: role }], console.error);
        return exits.EXIT_INVALID;
    }
    return run(settings.value);
}

async function run(settings: settingsShapes.Settings): Promise<number> {
    const log = logs.createLog(settings.instance, settings.logLevel);
    let running: RunningProcess;
    try {
        running = await start(settings, log);
    }
    catch (error) {
        const { code } = codes.codes.addressUnavailable;
        log.fatal({ code, detail: String(error) }, "can't start");
        return exits.EXIT_UNUSABLE;
    }
    log.info({ peer: running.peerAddress, admin: running.adminAddress, role: settings.role }, "listening");
    return waitForStop(running, log);
}

function start(settings: settingsShapes.Settings, log: logs.Log): Promise<RunningProcess> {
    const shared = {
        clock: clocks.systemClock,
        log,
        random: Math.random,
        source: configurationServices.createConfigurationSource(settings.configurationService),
        instanceList: instanceLists.createInstanceList(settings.instanceList),
    };
    return pattern.match(settings)
        .returnType<Promise<RunningProcess>>()
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

/** The first signal starts a planned stop; a second one ends the process at once. */
async function waitForStop(running: RunningProcess, log: logs.Log): Promise<number> {
    await nextSignal();
    log.info("planned stop begins");
    const cut = await Promise.race([running.stop(), nextSignal().then(() => undefined)]);
    if (cut === undefined) {
        log.warn({ code: codes.codes.stopLimit.code }, "second signal: work under way is cut");
        running.dispose();
        return exits.EXIT_CUT;
    }
    log.info({ cut }, "stopped");
    return cut === 0 ? exits.EXIT_OK : exits.EXIT_CUT;
}

function nextSignal(): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            process.off("SIGTERM", finish);
            process.off("SIGINT", finish);
            resolve();
        };
        process.on("SIGTERM", finish);
        process.on("SIGINT", finish);
    });
}
