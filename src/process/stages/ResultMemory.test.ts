import * as vitest from "vitest";
import * as resultMemory from "./ResultMemory";

vitest.describe("ResultMemory", () => {
    vitest.it("forgets expired results of workers that are not asked about any more", () => {
        const memory = new resultMemory.ResultMemory();
        memory.add("lost-1", "lost", 10, 100);
        memory.add("lost-2", "lost", 10, 100);
        memory.add("kept-1", "kept", 10, 300);
        memory.dropExpired(200);
        vitest.expect([memory.instanceOf("lost-1"), memory.instanceOf("lost-2")]).toEqual([undefined, undefined]);
        vitest.expect(memory.trackedBytes("kept", 200)).toBe(10);
    });
});
