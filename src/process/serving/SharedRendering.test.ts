import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as renderings from "./SharedRendering";

vitest.describe("a page that is asked for again and again", () => {
    vitest.it.each([
        { name: "at once", askedMs: [0, 0, 0], renderings: 2 },
        { name: "100 times within a second", askedMs: Array.from({ length: 100 }, (_, i) => i * 10), renderings: 11 },
        { name: "now and then", askedMs: [0, 150, 300], renderings: 3 },
    ])("is rendered at most each 100 ms: $name", async ({ askedMs, renderings: expected }) => {
        const clock = new clocks.ManualClock(0);
        let rendered = 0;
        const page = new renderings.SharedRendering(clock, () => {
            rendered++;
            return Promise.resolve(String(rendered));
        });
        const pages: Promise<string>[] = [];
        for (const atMs of askedMs) {
            clock.advance(atMs - clock.now());
            await Promise.resolve();
            pages.push(page.next());
        }
        clock.advance(100);
        await Promise.all(pages);
        vitest.expect(rendered).toBe(expected);
    });

    vitest.it("shows no state from before it was asked for", async () => {
        const clock = new clocks.ManualClock(0);
        let state = "first";
        const page = new renderings.SharedRendering(clock, () => Promise.resolve(state));
        vitest.expect(await page.next()).toBe("first");
        const second = page.next();
        state = "second";
        clock.advance(100);
        vitest.expect(await second).toBe("second");
    });

    vitest.it("fails for those that asked, and is rendered again for others", async () => {
        const clock = new clocks.ManualClock(0);
        const results = [Promise.reject(new Error("test")), Promise.resolve("page")];
        const page = new renderings.SharedRendering(clock, () => results.shift()!);
        await vitest.expect(page.next()).rejects.toThrow("test");
        const second = page.next();
        clock.advance(100);
        vitest.expect(await second).toBe("page");
    });
});
