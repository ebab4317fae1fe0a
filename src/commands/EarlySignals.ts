/**
 * Keeps a signal that asks for a reload from ending a process that is still starting. Imported before anything else,
 * since loading takes longer than a series of signals. The settings are read afterwards, so that nothing is missed.
 */

const SERVING_COMMANDS: readonly (string | undefined)[] = ["entry", "agent"];

if (SERVING_COMMANDS.includes(process.argv[2])) {
    process.on("SIGHUP", () => undefined);
}

export {};
