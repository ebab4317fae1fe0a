/**
 * Ignores SIGHUP, the signal for a reload, while an entry or agent is starting; by default, it would terminate the
 * process. No change of the settings is missed, since they are read later.
 */

const SERVING_COMMANDS: readonly (string | undefined)[] = ["entry", "agent"];

if (SERVING_COMMANDS.includes(process.argv[2])) {
    process.on("SIGHUP", () => undefined);
}

export {};
