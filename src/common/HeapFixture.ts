/**
 * Fixture: the memory that a piece of code keeps, as the garbage collector sees it.
 */
import * as v8 from "node:v8";
import * as vm from "node:vm";

/** Bytes that are in use, buffers among them, once everything unused has been collected. */
export function usedBytes(): number {
    v8.setFlagsFromString("--expose-gc");
    const collect = vm.runInNewContext("gc") as () => void;
    collect();
    collect();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}
