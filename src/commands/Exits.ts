/**
 * The exit codes of the commands.
 */

/** Success; a stop aborted no work. */
export const EXIT_SUCCESS = 0;
/** The command failed: an address in use, an unsupported environment, an unreachable process, a failed demo. */
export const EXIT_FAILED = 1;
/** A file or an argument is invalid. */
export const EXIT_INVALID = 2;
/** A stop aborted work in progress. */
export const EXIT_WORK_ABORTED = 3;
/** An error that no part of the process handled ended it; its log has the cause. */
export const EXIT_DEFECT = 4;
