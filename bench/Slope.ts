/**
 * What a slope is, and how processor time and memory are measured for one.
 */
import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as fits from "./LinearFit";

/** Shortest run that processor time is read from, and shortest one before it, which compiles the code. */
const MIN_RUN_MICROS = 150_000;

/** One quantity measured at several sizes. */
export interface Slope {
    /** Symbol that the formulas of docs/CAPACITY.md use. */
    readonly symbol: string;
    readonly quantity: string;
    /** What the value is in: B or us. */
    readonly unit: "B" | "us";
    /** What the size counts. */
    readonly per: string;
    readonly points: readonly fits.Point[];
}

/** Measures `measure` at each size. */
export function measureAt(sizes: readonly number[], measure: (size: number) => number): fits.Point[] {
    return sizes.map(size => ({ size, value: measure(size) }));
}

/** Processor time of one run of `work`, in microseconds, garbage collection included. */
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

/** Bytes of live memory that what `create` returns holds on to. */
export function measureBytes(create: () => unknown): number {
    const before = readLiveBytes();
    const created = create();
    const bytes = readLiveBytes() - before;
    retained.add(created);
    retained.clear();
    return bytes;
}

/** Live bytes of the heap and of buffers, after garbage has been collected. */
export function readLiveBytes(): number {
    collectGarbage();
    collectGarbage();
    const { heapUsed, external } = process.memoryUsage();
    return heapUsed + external;
}

const retained = new Set<unknown>();

function collectGarbage(): void {
    v8.setFlagsFromString("--expose-gc");
    (vm.runInNewContext("gc") as () => void)();
}
