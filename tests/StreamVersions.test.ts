import * as vitest from "vitest";
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as fleets from "../standins/platform/RoutedFleet";

const EVENT_COUNT = 6;
/** The event after which all engines break their streams until they are mended. */
const BREAK_AFTER_EVENT = 3;
const STREAM_COUNT = 8;

let fleet: fleets.RoutedFleet;

/** A stream as its caller has it after all its attempts. */
interface CallerStream {
    /** The attempt that brought the first event. */
    readonly attempt: string;
    readonly answers: readonly fleets.Answer[];
}

async function startFleet(versions: readonly string[], entryCount: number): Promise<void> {
    fleet = new fleets.RoutedFleet();
    await fleet.start(versions.map((softwareVersion, index) => modelEngine(`model-${index + 1}`, softwareVersion)));
    for (let count = 0; count < entryCount; count++) {
        await startEntry();
    }
    fleet.engines.forEach(engine => engine.runs.splice(0));
}

async function startEntry(): Promise<void> {
    const entry = fleet.entries.length;
    await fleet.addEntry();
    await fleet.waitUntil(async () => await fleet.readyStatus(entry) === 200);
    await fleet.waitUntil(async () =>
        (await fleet.call("/once/1", { entry, headers: fleets.PROMPT_HEADERS })).status === 200
    );
}

function modelEngine(id: string, softwareVersion: string): engines.EngineOptions {
    return { id, service: "model", failureDomain: "zone-a", events: EVENT_COUNT, softwareVersion };
}

/** Begins streams that all break in their middle, at the first entry; mends the engines then. */
async function beginStreams(): Promise<CallerStream[]> {
    fleet.engines.forEach(engine => engine.faults = { breakAfterEvent: BREAK_AFTER_EVENT });
    const streams = await Promise.all(Array.from({ length: STREAM_COUNT }, async (_, index) => {
        const attempt = `first-${index}`;
        const headers = { ...fleets.PROMPT_HEADERS, "Attempt-Id": attempt };
        return { attempt, answers: [await fleet.call(`/notes/${index}`, { headers })] };
    }));
    fleet.engines.forEach(engine => engine.faults = {});
    return streams;
}

/** Takes a stream's next attempt at an entry. */
async function resumeStream(stream: CallerStream, entry: number, headers = {}): Promise<CallerStream> {
    const lastEventId = Math.max(0, ...eventsOf(stream).map(event => event.id));
    const answer = await fleet.call("/notes/1", {
        entry,
        headers: {
            ...fleets.PROMPT_HEADERS,
            "Last-Event-Id": String(lastEventId),
            Resumes: stream.attempt,
            ...headers,
        },
    });
    return { attempt: stream.attempt, answers: [...stream.answers, answer] };
}

function eventsOf(stream: CallerStream): { readonly id: number; readonly version: string }[] {
    return stream.answers
        .filter(answer => answer.status === 200)
        .flatMap(answer => [...answer.body.matchAll(/id: (\d+)\ndata: part \d+ of (\S+)\n\n/g)])
        .map(([, id, version]) => ({ id: Number(id), version: version! }));
}

/** Streams with events of several versions. */
function mixedStreams(streams: readonly CallerStream[]): CallerStream[] {
    return streams.filter(stream => new Set(eventsOf(stream).map(event => event.version)).size > 1);
}

function isWhole(stream: CallerStream): boolean {
    return eventsOf(stream).map(event => event.id).join() === "1,2,3,4,5,6";
}

vitest.afterEach(() => fleet.dispose());

vitest.describe("a stream goes on only at the software version that began it", () => {
    const answerCases: readonly {
        readonly name: string;
        readonly versions: readonly string[];
        readonly isResumed: boolean;
    }[] = [
        { name: "another instance of it serves", versions: ["v1", "v2", "v3", "v1"], isResumed: true },
        { name: "no other instance of it serves", versions: ["v1", "v2", "v3"], isResumed: false },
    ];
    vitest.it.each(answerCases)("inside one answer, when $name", async ({ versions, isResumed }) => {
        await startFleet(versions, 1);
        fleet.engines[0]!.faults = { breakAfterEvent: BREAK_AFTER_EVENT };
        const headers = fleets.PROMPT_HEADERS;
        const streams = await Promise.all(Array.from({ length: 4 * STREAM_COUNT }, async (_, index) => {
            return { attempt: "", answers: [await fleet.call(`/notes/${index}`, { headers })] };
        }));
        vitest.expect(fleet.engines[0]!.runs.length).toBeGreaterThan(0);
        vitest.expect(mixedStreams(streams)).toEqual([]);
        vitest.expect(streams.every(isWhole)).toBe(isResumed);
    });

    const entryCases: readonly { readonly name: string; readonly entry: number; readonly isFirstLost: boolean }[] = [
        { name: "at the entry that began it", entry: 0, isFirstLost: false },
        { name: "at another entry", entry: 1, isFirstLost: false },
        { name: "at another entry after the one that began it was lost", entry: 2, isFirstLost: true },
    ];
    vitest.it.each(entryCases)("over a caller's attempts, $name", async ({ entry, isFirstLost }) => {
        await startFleet(["v1", "v2", "v3", "v1", "v2", "v3"], 3);
        const streams = await beginStreams();
        if (isFirstLost) {
            fleet.entries[0]!.dispose();
        }
        const resumed = await Promise.all(streams.map(stream => resumeStream(stream, entry)));
        vitest.expect(mixedStreams(resumed)).toEqual([]);
        vitest.expect(resumed.filter(isWhole)).toHaveLength(STREAM_COUNT);
    });
});

vitest.describe("an instance that restarts under its id with another version, before its record changes", () => {
    vitest.beforeEach(() => startFleet(["v1", "v2", "v2"], 2));

    vitest.it("gets no stream that its earlier version began, from a caller that comes back", async () => {
        const streams = (await beginStreams()).filter(stream => eventsOf(stream)[0]?.version === "v1");
        vitest.expect(streams.length).toBeGreaterThan(0);
        fleet.engines[0]!.restart({ softwareVersion: "v3" });
        const resumed = await Promise.all(streams.map((stream, index) => resumeStream(stream, index % 2)));
        vitest.expect(mixedStreams(resumed)).toEqual([]);
        vitest.expect(resumed.map(stream => stream.answers.at(-1)!.status)).toEqual(streams.map(() => 503));
    });

    vitest.it("gets no stream that another instance of its earlier version began, inside one answer", async () => {
        fleet.engines[1]!.faults = { breakAfterEvent: BREAK_AFTER_EVENT };
        fleet.engines[2]!.restart({ softwareVersion: "v3" });
        const headers = fleets.PROMPT_HEADERS;
        const streams = await Promise.all(Array.from({ length: 4 * STREAM_COUNT }, async (_, index) => {
            return { attempt: "", answers: [await fleet.call(`/notes/${index}`, { headers })] };
        }));
        vitest.expect(fleet.engines[1]!.runs.length).toBeGreaterThan(0);
        vitest.expect(mixedStreams(streams)).toEqual([]);
    });

    vitest.it("gets them again once its record states the start that runs", async () => {
        const streams = (await beginStreams()).filter(stream => eventsOf(stream)[0]?.version === "v1");
        fleet.engines[0]!.restart();
        fleet.store.put("servers/model-1", fleet.engines[0]!.createStoreRecord());
        await fleet.waitUntil(async () => await resumeCode(streams[0]!, {}) === undefined);
    });
});

vitest.describe("a caller that comes back to a stream", () => {
    vitest.it("is served at any entry, named or not, while the service has had one version only", async () => {
        await startFleet(["v1", "v1"], 2);
        const streams = await beginStreams();
        const resumed = await Promise.all([
            ...streams.slice(1).map(stream => resumeStream(stream, 1)),
            resumeStream(streams[0]!, 1, { Resumes: "" }),
        ]);
        vitest.expect(resumed.filter(isWhole)).toHaveLength(STREAM_COUNT);
    });

    vitest.it("is served after another version appeared and the entry that began the stream was lost", async () => {
        await startFleet(["v1", "v1"], 2);
        const streams = await beginStreams();
        for (const id of ["model-3", "model-4"]) {
            await fleet.addEngine(modelEngine(id, "v2"));
        }
        await waitForRun("v2", 0);
        fleet.entries[0]!.dispose();
        const resumed = await Promise.all(streams.map(stream => resumeStream(stream, 1)));
        vitest.expect(mixedStreams(resumed)).toEqual([]);
        vitest.expect(resumed.filter(isWhole)).toHaveLength(STREAM_COUNT);
    });

    const lossCases: readonly {
        readonly name: string;
        readonly leavesBefore: boolean;
    }[] = [
        { name: "the last instance of its version had just left", leavesBefore: true },
        { name: "it leaves before the new entries are asked", leavesBefore: false },
    ];
    vitest.it.each(lossCases)(
        "isn't joined from two versions when all entries are lost and $name",
        async ({ leavesBefore }) => {
            await startFleet(["v1", "v2"], 2);
            const streams = (await beginStreams()).filter(stream => eventsOf(stream)[0]?.version === "v1");
            vitest.expect(streams.length).toBeGreaterThan(0);
            const leave = (): void => fleet.store.delete("servers/model-1");
            if (leavesBefore) {
                leave();
            }
            fleet.entries.forEach(entry => entry.dispose());
            const entries = [fleet.entries.length, fleet.entries.length + 1];
            await startEntry();
            await startEntry();
            if (!leavesBefore) {
                leave();
                await fleet.waitUntil(async () => {
                    fleet.engines[0]!.runs.splice(0);
                    await Promise.all(streams.map(() => callNew(entries[1]!)));
                    return fleet.engines[0]!.runs.length === 0;
                });
            }
            const resumed = await Promise.all(
                streams.map((stream, index) => resumeStream(stream, entries[index % entries.length]!)),
            );
            vitest.expect(mixedStreams(resumed)).toEqual([]);
            vitest.expect(resumed.map(stream => stream.answers.at(-1)!.status)).toEqual(streams.map(() => 503));
        },
    );

    vitest.it("is served after the loss of all entries when the service has had one version only", async () => {
        await startFleet(["v1", "v1"], 2);
        const streams = await beginStreams();
        fleet.entries.forEach(entry => entry.dispose());
        const entry = fleet.entries.length;
        await startEntry();
        const resumed = await Promise.all(streams.map(stream => resumeStream(stream, entry)));
        vitest.expect(resumed.filter(isWhole)).toHaveLength(STREAM_COUNT);
    });

    const rejectedCases: readonly {
        readonly name: string;
        readonly headers?: Record<string, string>;
        readonly prepare: () => void;
        readonly code: number;
    }[] = [
        {
            name: "is rejected as not run when no entry knows the stream",
            headers: { Resumes: "unknown" },
            prepare: () => undefined,
            code: 222,
        },
        {
            name: "is rejected as not run when it doesn't name the stream",
            headers: { Resumes: "" },
            prepare: () => undefined,
            code: 222,
        },
        {
            name: "is rejected as not run when no instance of its version is left",
            prepare: () => fleet.store.delete("servers/model-1"),
            code: 223,
        },
        {
            name: "is rejected as not run when the instance restarted under its id with another version",
            prepare: () => {
                const record = fleet.engines[0]!.createStoreRecord() as Record<string, unknown>;
                fleet.store.put("servers/model-1", { ...record, Version: "v3", born: 1_800_000_000_000 });
            },
            code: 223,
        },
    ];
    vitest.it.each(rejectedCases)("$name", async ({ headers, prepare, code }) => {
        await startFleet(["v1", "v2"], 2);
        const streams = (await beginStreams()).filter(stream => eventsOf(stream)[0]?.version === "v1");
        vitest.expect(streams.length).toBeGreaterThan(0);
        prepare();
        await fleet.waitUntil(async () => await resumeCode(streams[0]!, headers) === code);
        fleet.engines.forEach(engine => engine.runs.splice(0));
        const { answers } = await resumeStream(streams[0]!, 1, headers);
        vitest.expect(answers.at(-1)).toMatchObject({ status: 503 });
        vitest.expect(Number(answers.at(-1)!.headers["retry-after"])).toBeGreaterThan(0);
        vitest.expect(fleet.engines.flatMap(engine => engine.runs)).toEqual([]);
    });
});

vitest.it("a caller that comes back while all instances of its version hold off is told when they don't", async () => {
    const holdSeconds = 3;
    await startFleet(["v1", "v2"], 1);
    const stream = (await beginStreams()).find(other => eventsOf(other)[0]?.version === "v1")!;
    const [engine] = fleet.engines;
    engine!.faults = { shed: true, retryAfter: String(holdSeconds) };
    await fleet.waitUntil(async () => {
        await fleet.call("/notes/2", { headers: fleets.PROMPT_HEADERS });
        return engine!.rejectedCalls > 0;
    });
    const { answers } = await resumeStream(stream, 0);
    vitest.expect(answers.at(-1)).toMatchObject({ status: 503 });
    vitest.expect(JSON.parse(answers.at(-1)!.body)).toMatchObject({ name: "overloaded", outcome: "not-run" });
    vitest.expect(Number(answers.at(-1)!.headers["retry-after"])).toBeGreaterThan(holdSeconds - 1);
    vitest.expect(engine!.rejectedCalls).toBe(1);
});

/** Calls an entry for a new stream. */
function callNew(entry: number): Promise<fleets.Answer> {
    return fleet.call("/notes/2", { entry, headers: fleets.PROMPT_HEADERS });
}

/** Result code of an attempt to resume at the second entry; undefined if it was served. */
async function resumeCode(stream: CallerStream, headers: Record<string, string> | undefined): Promise<unknown> {
    const { answers } = await resumeStream(stream, 1, headers);
    const last = answers.at(-1)!;
    return last.status === 200 ? undefined : (JSON.parse(last.body) as { readonly code: number }).code;
}

/** Waits until an entry has sent a call to an instance of a version. */
async function waitForRun(version: string, entry: number): Promise<void> {
    const instances = fleet.engines.filter(engine => engine.options.softwareVersion === version);
    await fleet.waitUntil(async () => {
        await fleet.call("/once/1", { entry, headers: fleets.PROMPT_HEADERS });
        return instances.some(engine => engine.runs.length > 0);
    });
}
