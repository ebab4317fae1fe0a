/**
 * The exit codes of the commands.
 */

/** Done, and nothing was cut. */
export const EXIT_SUCCESS = 0;
/** The process couldn't run here: an address in use, an unsupported environment, an unreachable process. */
export const EXIT_FAILED = 1;
/** A file or an argument is invalid. */
export const EXIT_INVALID = 2;
/** A stop cut work that was under way. */
export const EXIT_WORK_ABORTED = 3;
