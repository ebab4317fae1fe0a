/**
 * Ignores SIGHUP, the signal for a reload, while an entry or agent is starting; by default, it would terminate the
 * process. Imported before all other modules, since loading those takes longer than a series of signals. No change
 * of the settings is missed, since they are read later.
 */

const SERVING_COMMANDS: readonly (string | undefined)[] = ["entry", "agent"];

if (SERVING_COMMANDS.includes(process.argv[2])) {
    process.on("SIGHUP", () => undefined);
}

export {};
