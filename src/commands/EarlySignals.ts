/**
 * Keeps signals from terminating an entry or agent that is still starting, as they would by default. SIGHUP, the signal
 * for a reload, is ignored: no change of the settings is missed, since they are read later. SIGTERM and SIGINT reach the
 * handler that the command installs before it waits for anything.
 */

const SERVING_COMMANDS: readonly (string | undefined)[] = ["entry", "agent"];

if (SERVING_COMMANDS.includes(process.argv[2])) {
    const ignore = (): void => undefined;
    process.on("SIGTERM", ignore);
    process.on("SIGINT", ignore);
    process.on("SIGHUP", ignore);
}

export {};
