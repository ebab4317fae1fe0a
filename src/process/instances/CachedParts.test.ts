import * as v8 from "node:v8";
import * as vm from "node:vm";
import * as vitest from "vitest";
import * as cachedParts from "./CachedParts";

const HEADER_BYTES = 16 * 1024;
const MAX_GROWTH_BYTES = 8 * 1024 * 1024;

function usedHeapBytes(): number {
    v8.setFlagsFromString("--expose-gc");
    const collect = vm.runInNewContext("gc") as () => void;
    collect();
    return v8.getHeapStatistics().used_heap_size;
}

vitest.describe("the cached parts of an instance", () => {
    vitest.it("are the latest ones", () => {
        const parts = new cachedParts.CachedParts();
        parts.add(Array.from({ length: 2_001 }, (_, index) => `part-${index}`));
        vitest.expect(["part-0", "part-1", "part-2000"].map(name => parts.has(name))).toEqual([false, true, true]);
        parts.clear();
        vitest.expect(parts.has("part-1")).toBe(false);
    });

    vitest.it.each([
        { length: 200, isKept: true },
        { length: 201, isKept: false },
    ])("with names of $length characters: kept $isKept", ({ length, isKept }) => {
        const parts = new cachedParts.CachedParts();
        const name = "p".repeat(length);
        parts.add([name]);
        vitest.expect(parts.has(name)).toBe(isKept);
    });

    // Guards against a heap that is full of the headers of all calls whose parts are remembered.
    vitest.it("don't keep the headers that named them", () => {
        const parts = new cachedParts.CachedParts();
        const beforeBytes = usedHeapBytes();
        for (let call = 0; call < 2_000; call++) {
            const header = Buffer.alloc(HEADER_BYTES, `part-of-call-${call}:`).toString("latin1");
            parts.add(header.split(":", 1));
        }
        vitest.expect(usedHeapBytes() - beforeBytes).toBeLessThan(MAX_GROWTH_BYTES);
        vitest.expect(parts.has("part-of-call-1999")).toBe(true);
    });
});
