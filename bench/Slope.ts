/**
 * Cost as a linear function of size, and the measurement of CPU time and memory.
 */
import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as fits from "./LinearFit";

/** Minimum CPU time of a measurement, and of the warm-up before it, in which the code is compiled. */
const MIN_RUN_MICROS = 150_000;

/** A quantity measured at several sizes. */
export interface Slope {
    /** Symbol in the formulas of docs/CAPACITY.md. */
    readonly symbol: string;
    readonly quantity: string;
    /** Unit of the values: bytes or microseconds. */
    readonly unit: "B" | "us";
    /** Unit of the sizes. */
    readonly per: string;
    readonly points: readonly fits.Point[];
}

/** Returns a function that measures a quantity in `unit` at several sizes. */
export function createSlopesIn(unit: Slope["unit"]) {
    return (
        symbol: string,
        quantity: string,
        per: string,
        sizes: readonly number[],
        measure: (size: number) => number,
    ): Slope => {
        return { symbol, quantity, unit, per, points: sizes.map(size => ({ size, value: measure(size) })) };
    };
}

/** Mean CPU time of one run of `work`, including garbage collection. */
export function measureCpuMicros(work: () => void): number {
    measureMeanMicros(work);
    return measureMeanMicros(work);
}

function measureMeanMicros(work: () => void): number {
    let runs = 0;
    const start = process.cpuUsage();
    for (;;) {
        work();
        runs++;
        const { user, system } = process.cpuUsage(start);
        if (user + system >= MIN_RUN_MICROS) {
            return (user + system) / runs;
        }
    }
}

/** Measures the live memory retained by the result of `create`. */
export function measureBytes(create: () => unknown): number {
    const before = readLiveBytes();
    const created = create();
    const bytes = readLiveBytes() - before;
    retained.add(created);
    retained.clear();
    return bytes;
}

/** Size of the heap and of external buffers after garbage collection. */
export function readLiveBytes(): number {
    collectGarbage();
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

/** Keeps measured objects reachable until they have been measured. */
const retained = new Set<unknown>();

function collectGarbage(): void {
    v8.setFlagsFromString("--expose-gc");
    (vm.runInNewContext("gc") as () => void)();
}
