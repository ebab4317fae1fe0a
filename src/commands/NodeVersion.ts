/**
 * Ends the process if its Node.js is older than the one for which the program is built; the program's syntax might
 * be unknown to it.
 */
import * as exitCodes from "./Exits";

const OLDEST_MAJOR = 20;

const { node } = process.versions;

if (Number(node.split(".")[0]) < OLDEST_MAJOR) {
    console.error(`cumincrank needs Node.js ${OLDEST_MAJOR} or later; this is Node.js ${node}`);
    process.exit(exitCodes.EXIT_FAILED);
}
