import * as result from "true-myth/result";
import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as codes from "../../common/Codes";
import * as logs from "../../common/Log";
import * as ports from "../../common/Ports";
import * as routing from "../../common/Routing";
import * as routingPorts from "../../common/RoutingPorts";
import * as readers from "./PublishedReader";
import * as views from "./PublishedView";
import * as paces from "./WatchPace";

type WatchResult = result.Result<routingPorts.PublishedChanges, codes.Failure>;
const STORE_UNAVAILABLE = codes.failure(codes.codes.sourceUnavailable, "test");

function item(key: string, revision: number, era = 0): routing.PublishedItem {
    return { key, era, revision, content: Buffer.from("x") };
}

function changes(
    items: readonly routing.PublishedItem[],
    revision: number,
    isHistoryLost = false,
    era = 0,
): WatchResult {
    return result.ok({ items, era, revision, isHistoryLost });
}

/** A store that answers with the given pages and watch results; later watches wait until they are aborted. */
function scriptedStore(pages: readonly routingPorts.PublishedPage[], watches: readonly WatchResult[]): {
    readonly store: routingPorts.PublishedStore;
    readonly requests: string[];
} {
    const requests: string[] = [];
    let pageIndex = 0;
    let watchIndex = 0;
    const store: routingPorts.PublishedStore = {
        list: after => {
            requests.push(`list ${after ?? "-"}`);
            return Promise.resolve(result.ok(pages[Math.min(pageIndex++, pages.length - 1)]!));
        },
        watch: (revision, waitMs, signal) => {
            vitest.expect(waitMs).toBeGreaterThan(0);
            requests.push(`watch ${revision}`);
            const next = watches[watchIndex++];
            return next === undefined
                ? new Promise<WatchResult>(resolve => {
                    signal.addEventListener("abort", () => resolve(result.err(STORE_UNAVAILABLE)));
                }) as ports.Reply<routingPorts.PublishedChanges>
                : Promise.resolve(next);
        },
        readPosition: () => {
            requests.push("position");
            return Promise.resolve(result.ok({ era: 0, revision: 5 }));
        },
        decode: () => ({ kind: "other" }),
    };
    return { store, requests };
}

const firstPage: routingPorts.PublishedPage = { items: [item("a", 2)], era: 0, revision: 5, nextAfter: "a" };
const lastPage: routingPorts.PublishedPage = { items: [item("b", 7)], era: 0, revision: 7, nextAfter: undefined };
const onlyPage: routingPorts.PublishedPage = { items: [item("a", 2)], era: 0, revision: 5, nextAfter: undefined };

const laterFirstPage: routingPorts.PublishedPage = { ...firstPage, items: [item("a", 2, 1)], era: 1, revision: 3 };
const laterLastPage: routingPorts.PublishedPage = { ...lastPage, items: [item("b", 2, 1)], era: 1, revision: 4 };

const cases: readonly {
    readonly name: string;
    readonly pages: readonly routingPorts.PublishedPage[];
    readonly watches: readonly WatchResult[];
    readonly expectedRequests: readonly string[];
}[] = [
    {
        name: "watches from the first page's revision, since the pages aren't one snapshot",
        pages: [firstPage, lastPage],
        watches: [],
        expectedRequests: ["list -", "list a", "watch 5"],
    },
    {
        name: "continues the watch at the latest revision",
        pages: [onlyPage],
        watches: [changes([item("c", 8)], 9)],
        expectedRequests: ["list -", "watch 5", "watch 9"],
    },
    {
        name: "lists again when the store has lost the history",
        pages: [onlyPage],
        watches: [changes([], 5, true)],
        expectedRequests: ["list -", "watch 5", "list -", "watch 5"],
    },
    {
        name: "lists again when the changes don't fit into an answer",
        pages: [onlyPage, { ...onlyPage, revision: 9 }],
        watches: [result.err(codes.failure(codes.codes.answerTooLarge, "test"))],
        expectedRequests: ["list -", "watch 5", "list -", "watch 9"],
    },
    {
        name: "retries after a failure",
        pages: [onlyPage],
        watches: [result.err(STORE_UNAVAILABLE), changes([], 6)],
        expectedRequests: ["list -", "watch 5", "watch 5", "watch 6"],
    },
    {
        name: "asks for the position after two failures, and watches again at once when that is answered",
        pages: [onlyPage],
        watches: [
            ...[result.err(STORE_UNAVAILABLE), result.err(STORE_UNAVAILABLE)] as const,
            ...[result.err(STORE_UNAVAILABLE), changes([], 6)] as const,
        ],
        expectedRequests: [
            ...["list -", "watch 5", "watch 5", "position", "watch 5", "position", "watch 5"],
            "watch 6",
        ],
    },
    {
        name: "lists again when a watch is answered in another era, whose revisions have gone beyond the known one",
        pages: [firstPage, lastPage, laterFirstPage, laterLastPage],
        watches: [changes([item("c", 8, 1)], 9, false, 1)],
        expectedRequests: ["list -", "list a", "watch 5", "list -", "list a", "watch 3"],
    },
    {
        name: "begins the listing again when its pages are of different eras",
        pages: [firstPage, laterLastPage, laterFirstPage, laterLastPage],
        watches: [],
        expectedRequests: ["list -", "list a", "list -", "list a", "watch 3"],
    },
    {
        name: "makes no use of an answer of an earlier era",
        pages: [laterFirstPage, laterLastPage],
        watches: [changes([item("c", 8)], 9), changes([item("c", 6, 1)], 6, false, 1)],
        expectedRequests: ["list -", "list a", "watch 3", "watch 3", "watch 6"],
    },
];

vitest.describe("PublishedReader", () => {
    vitest.it.each(cases)("$name", async ({ pages, watches, expectedRequests }) => {
        const clock = clocks.systemClock;
        const script = scriptedStore(pages, watches);
        const view = new views.PublishedView({ clock, log: logs.silentLog, decode: script.store.decode });
        const reader = new readers.PublishedReader({
            clock,
            log: logs.silentLog,
            store: script.store,
            view,
            random: () => 0,
            instance: "self",
            peerNames: () => [],
        });
        reader.start();
        while (script.requests.length < expectedRequests.length) {
            await clocks.sleep(clock, 5);
        }
        vitest.expect(script.requests).toEqual(expectedRequests);
        vitest.expect(reader.unconfirmedMs).toBeGreaterThanOrEqual(0);
        reader.dispose();
    });
});

function startReader(
    store: routingPorts.PublishedStore,
    clock: clocks.Clock,
): { readonly reader: readers.PublishedReader; readonly view: views.PublishedView } {
    const view = new views.PublishedView({ clock, log: logs.silentLog, decode: store.decode });
    const shared = { clock, log: logs.silentLog, store, view, random: () => 0 };
    const reader = new readers.PublishedReader({ ...shared, instance: "self", peerNames: () => [] });
    reader.start();
    return { reader, view };
}

// Guards against keys that come back after their deletion (review/7): another entry's later state overtakes the answer.
vitest.describe("an answer of the store that a later state overtakes", () => {
    vitest.it.each([
        { name: "the second page of a list", pages: [firstPage, lastPage], watches: [], calls: 2 },
        { name: "a watch", pages: [onlyPage], watches: [changes([item("b", 7)], 7)], calls: 2 },
    ])("doesn't restore what was deleted: $name", async ({ pages, watches, calls }) => {
        const script = scriptedStore(pages, watches);
        const started: { view?: views.PublishedView } = {};
        let calledTimes = 0;
        /** Delays an answer until another entry's later state has been applied, in which only `a` is left. */
        const overtake = async <T>(answer: Promise<T>): Promise<T> => {
            if (++calledTimes === calls) {
                started.view!.apply({ items: [item("a", 2)], era: 0, revision: 20, isWhole: true }, "peer");
            }
            return answer;
        };
        const store: routingPorts.PublishedStore = {
            ...script.store,
            list: (after, signal) => overtake(script.store.list(after, signal)),
            watch: (revision, waitMs, signal) => overtake(script.store.watch(revision, waitMs, signal)),
        };
        const { reader, view } = startReader(store, clocks.systemClock);
        started.view = view;
        await vitest.vi.waitUntil(() => script.requests.includes("watch 20"), { timeout: 30_000 });
        vitest.expect(view.findContent("a")).toBeDefined();
        vitest.expect(view.findContent("b")).toBeUndefined();
        reader.dispose();
    });
});

vitest.describe("a reader of an odd store", () => {
    // Guards against the end of the process: a call took each item as an argument.
    vitest.it("reads a page of very many items", async () => {
        const items = Array.from({ length: 200_000 }, (_, index) => item(`other/${index}`, 1));
        const { store, requests } = scriptedStore([{ ...onlyPage, items }], []);
        const { reader, view } = startReader(store, clocks.systemClock);
        await vitest.vi.waitUntil(() => requests.length > 1, { timeout: 30_000 });
        vitest.expect(view.position.revision).toBe(onlyPage.revision);
        reader.dispose();
    });

    // Guards against a loop that keeps the processor, if the store never has the history since its own listing.
    vitest.it("pauses when listing again hasn't helped", async () => {
        const lost = Array.from({ length: 100 }, () => changes([], 5, true));
        const { store, requests } = scriptedStore([onlyPage], lost);
        const clock = new clocks.ManualClock();
        const { reader } = startReader(store, clock);
        await new Promise(resolve => setTimeout(resolve, 50));
        vitest.expect(requests).toEqual(["list -", "watch 5", "list -", "watch 5"]);
        clock.advance(1_000);
        await new Promise(resolve => setTimeout(resolve, 50));
        vitest.expect(requests).toHaveLength(6);
        reader.dispose();
    });

    // Guards against the end of the process by a record that its own code can't handle.
    vitest.it("goes on after an exception", async () => {
        const { store, requests } = scriptedStore([onlyPage], []);
        let failures = 1;
        const decode: typeof store.decode = found => {
            if (failures-- > 0) {
                throw new Error("test");
            }
            return store.decode(found);
        };
        const { reader } = startReader({ ...store, decode }, clocks.systemClock);
        await vitest.vi.waitUntil(() => requests.includes("watch 5"), { timeout: 30_000 });
        reader.dispose();
    });
});

vitest.describe("the wait of a watch", () => {
    const peers = Array.from({ length: 7 }, (_, index) => `peer-${index}`);
    vitest.it.each([
        { name: "after the listing", watches: [], isInStep: true },
        { name: "after a watch without changes", watches: [changes([], 5)], isInStep: false },
        { name: "after a change", watches: [changes([], 5), changes([item("c", 6)], 6)], isInStep: true },
        {
            name: "after an outage",
            watches: [changes([], 5), result.err(STORE_UNAVAILABLE), changes([], 5)],
            isInStep: true,
        },
    ])("is that of WatchPace $name", async ({ watches, isInStep }) => {
        const clock = clocks.systemClock;
        const script = scriptedStore([onlyPage], watches);
        const waits: number[] = [];
        const store: routingPorts.PublishedStore = {
            ...script.store,
            watch: (revision, wait, signal) => {
                waits.push(wait);
                return script.store.watch(revision, wait, signal);
            },
        };
        const view = new views.PublishedView({ clock, log: logs.silentLog, decode: store.decode });
        const shared = { clock, log: logs.silentLog, store, view, random: () => 0 };
        const reader = new readers.PublishedReader({ ...shared, instance: "self", peerNames: () => peers });
        reader.start();
        while (waits.length <= watches.length) {
            await clocks.sleep(clock, 5);
        }
        const { revision } = view.position;
        const expectedMs = paces.waitMs({ instance: "self", peers, revision, isInStep });
        vitest.expect(waits.at(-1)).toBe(expectedMs);
        reader.dispose();
    });
});

vitest.describe("the first watch after a failure", () => {
    vitest.it("is answered at once, so that a new era is noticed soon", async () => {
        const clock = clocks.systemClock;
        const script = scriptedStore([onlyPage], [changes([], 6), result.err(STORE_UNAVAILABLE), changes([], 7)]);
        const waits: number[] = [];
        const store: routingPorts.PublishedStore = {
            ...script.store,
            watch: (revision, wait, signal) => {
                waits.push(wait);
                return script.store.watch(revision, wait, signal);
            },
        };
        const view = new views.PublishedView({ clock, log: logs.silentLog, decode: store.decode });
        const options = {
            clock,
            log: logs.silentLog,
            store,
            view,
            random: () => 0,
            instance: "self",
            peerNames: () => [],
        };
        const reader = new readers.PublishedReader(options);
        reader.start();
        while (waits.length < 4) {
            await clocks.sleep(clock, 5);
        }
        vitest.expect(waits).toEqual([2_000, 2_000, 1, 2_000]);
        reader.dispose();
    });
});
