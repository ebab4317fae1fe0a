import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import * as vitest from "vitest";
import * as yaml from "yaml";
import * as settingsFiles from "./SettingsFile";

const { describe, expect, it } = vitest;

/** What a YAML file holds for a setting without a value. */
const NO_VALUE: unknown = yaml.parse("");

const required = {
    role: "route-entry",
    instance: "entry-1",
    failureDomain: "zone-a",
    callerListen: "127.0.0.1:1",
    readyListen: "127.0.0.1:2",
    peerListen: "127.0.0.1:3",
    adminListen: "127.0.0.1:4",
    store: "127.0.0.1:5",
};

const defaults = {
    region: "unknown",
    readyPath: "/readyz",
    seeds: [],
    failureDomains: [],
    logLevel: "info",
    isFirstStart: false,
    cores: 0,
    stopLimitSeconds: 5,
    repeats: { windowSeconds: 10, ratio: 0, slack: 0 },
    coldRate: { factor: 1, extra: 0 },
    memoryMegabytes: 256,
    storeReadsPerSecond: 2_000,
};

const complete = {
    ...required,
    region: "here",
    readyPath: "/ready",
    seeds: ["127.0.0.1:9"],
    failureDomains: ["zone-a", "zone-b"],
    logLevel: "warn",
    isFirstStart: true,
    cores: 0.5,
    stopLimitSeconds: 8,
    repeats: { windowSeconds: 20, ratio: 0.2, slack: 50 },
    coldRate: { factor: 1.5, extra: 5 },
    memoryMegabytes: 350,
    storeReadsPerSecond: 1_000,
};

interface EmptyCase {
    readonly content: object;
    /** What the settings are, beside those that `complete` has. */
    readonly expected: object;
}

/** Settings that may be left empty, and what applies then. */
const emptyCases: readonly EmptyCase[] = [
    ...Object.entries(defaults).map(([name, value]) => ({
        content: { [name]: NO_VALUE },
        expected: { [name]: value },
    })),
    { content: { region: "" }, expected: { region: "unknown" } },
    { content: { seeds: [NO_VALUE, "127.0.0.1:9", ""] }, expected: { seeds: ["127.0.0.1:9"] } },
    {
        content: { repeats: { windowSeconds: NO_VALUE, ratio: 0.2, slack: 50 } },
        expected: { repeats: { windowSeconds: 10, ratio: 0, slack: 0 } },
    },
    {
        content: { repeats: { windowSeconds: 20, ratio: NO_VALUE, slack: 50 } },
        expected: { repeats: { windowSeconds: 20, ratio: 0, slack: 50 } },
    },
    {
        content: { repeats: { windowSeconds: 20, ratio: 0.2, slack: NO_VALUE } },
        expected: { repeats: { windowSeconds: 20, ratio: 0.2, slack: 0 } },
    },
    { content: { coldRate: { factor: NO_VALUE, extra: 5 } }, expected: { coldRate: { factor: 1, extra: 5 } } },
    { content: { coldRate: { factor: 1.5, extra: NO_VALUE } }, expected: { coldRate: { factor: 1.5, extra: 0 } } },
];

interface InvalidCase extends EmptyCase {
    readonly problemPaths: readonly string[];
}

/** Invalid values of optional settings, in place of which a start uses the default. */
const invalidCases: readonly InvalidCase[] = [
    { content: { region: "a b" }, expected: { region: "unknown" }, problemPaths: ["region"] },
    { content: { readyPath: "ready" }, expected: { readyPath: "/readyz" }, problemPaths: ["readyPath"] },
    { content: { seeds: "none" }, expected: { seeds: [] }, problemPaths: ["seeds"] },
    {
        content: { seeds: ["nowhere", "127.0.0.1:9", 7] },
        expected: { seeds: ["127.0.0.1:9"] },
        problemPaths: ["seeds.0", "seeds.2"],
    },
    {
        content: { failureDomains: ["zone-a", "{{@}}"] },
        expected: { failureDomains: ["zone-a"] },
        problemPaths: ["failureDomains.1"],
    },
    { content: { logLevel: "loud" }, expected: { logLevel: "info" }, problemPaths: ["logLevel"] },
    { content: { isFirstStart: "yes" }, expected: { isFirstStart: false }, problemPaths: ["isFirstStart"] },
    { content: { cores: -1 }, expected: { cores: 0 }, problemPaths: ["cores"] },
    { content: { stopLimitSeconds: "8 s" }, expected: { stopLimitSeconds: 5 }, problemPaths: ["stopLimitSeconds"] },
    {
        content: { repeats: { windowSeconds: 0, ratio: 0.2, slack: 50 } },
        expected: { repeats: { windowSeconds: 10, ratio: 0, slack: 0 } },
        problemPaths: ["repeats.windowSeconds"],
    },
    {
        content: { repeats: 3, coldRate: [] },
        expected: { repeats: defaults.repeats, coldRate: defaults.coldRate },
        problemPaths: ["repeats", "coldRate"],
    },
    {
        content: { coldRate: { factor: 1.5, extra: "many", less: 1 } },
        expected: { coldRate: { factor: 1.5, extra: 0 } },
        problemPaths: ["coldRate.extra", "coldRate.less"],
    },
    { content: { colour: "red" }, expected: {}, problemPaths: ["colour"] },
];

/** Settings that differ from `complete`, which is the file that is read anew. */
const former = {
    ...required,
    region: "there",
    readyPath: "/up",
    seeds: ["127.0.0.1:8"],
    failureDomains: ["zone-c"],
    logLevel: "error",
    isFirstStart: false,
    cores: 2,
    stopLimitSeconds: 3,
    repeats: { windowSeconds: 5, ratio: 0.1, slack: 7 },
    coldRate: { factor: 3, extra: 2 },
    memoryMegabytes: 100,
    maxDescriptors: 900,
    storeReadsPerSecond: 500,
};

/** Invalid values of optional settings, and what a reload makes of them beside the others, which it takes. */
const changedCases: readonly EmptyCase[] = [
    ...["region", "readyPath", "logLevel", "isFirstStart", "cores", "stopLimitSeconds", "repeats", "coldRate"].map(
        name => ({ content: { [name]: [] }, expected: { [name]: former[name as keyof typeof former] } }),
    ),
    { content: { maxDescriptors: -1 }, expected: { maxDescriptors: 900 } },
    { content: { peerAddress: "nowhere" }, expected: {} },
    { content: { seeds: "none" }, expected: { seeds: former.seeds } },
    { content: { seeds: ["nowhere"] }, expected: { seeds: former.seeds } },
    { content: { seeds: ["nowhere", 7] }, expected: { seeds: former.seeds } },
    { content: { seeds: Array(101).fill("127.0.0.1:9") }, expected: { seeds: former.seeds } },
    { content: { seeds: ["nowhere", "127.0.0.1:9"] }, expected: { seeds: ["127.0.0.1:9"] } },
    { content: { seeds: [] }, expected: { seeds: [] } },
    { content: { failureDomains: ["a b"] }, expected: { failureDomains: former.failureDomains } },
    { content: { repeats: { windowSeconds: 9, ratio: -1, slack: 1 } }, expected: { repeats: former.repeats } },
    { content: { coldRate: { factor: 4, extra: 1, less: 1 } }, expected: { coldRate: { factor: 4, extra: 1 } } },
    { content: { colour: "red" }, expected: {} },
];

const agent = {
    role: "agent",
    instance: "slot-1",
    failureDomain: "zone-a",
    region: "here",
    peerListen: "127.0.0.1:3",
    adminListen: "127.0.0.1:4",
    configurationService: "127.0.0.1:5",
    instanceList: "127.0.0.1:6",
    service: "bookings",
    upstream: "127.0.0.1:7",
};

const refusedCases: readonly { readonly name: string; readonly content: unknown; readonly problemPath: string }[] = [
    ...Object.keys(required).flatMap(name => [
        { name: `an empty ${name}`, content: { ...complete, [name]: "" }, problemPath: name },
        { name: `an invalid ${name}`, content: { ...complete, [name]: " " }, problemPath: name },
    ]),
    ...Object.keys(agent).map(name => ({
        name: `an agent's empty ${name}`,
        content: { ...agent, [name]: NO_VALUE },
        problemPath: name,
    })),
    { name: "an empty document", content: NO_VALUE, problemPath: "" },
    { name: "a list", content: [], problemPath: "" },
    { name: "a text", content: "role", problemPath: "" },
    {
        name: "a required and an optional setting with invalid values",
        content: { ...complete, store: "nowhere", cores: -1 },
        problemPath: "store",
    },
];

/** The settings that a process uses which starts with the content. */
function use(content: unknown): settingsFiles.UsableSettings {
    return settingsFiles.checkStartSettings(content).unwrapOrElse(problems => {
        throw new Error(JSON.stringify(problems));
    });
}

describe("settings of a process", () => {
    it("take the defaults of all settings that are absent", () => {
        expect(settingsFiles.checkSettings(required).unwrapOr(undefined)).toEqual({ ...required, ...defaults });
    });

    // A placeholder without a value prevented a start.
    it.each(emptyCases)("take the default of an empty setting: $content", ({ content, expected }) => {
        const settings = settingsFiles.checkSettings({ ...complete, ...content });
        expect(settings.unwrapOr(undefined)).toEqual({ ...complete, ...expected });
    });

    it.each(invalidCases)("are rejected, but allow a start, with $content", ({ content, expected, problemPaths }) => {
        const document = { ...complete, ...content };
        const strict = settingsFiles.checkSettings(document);
        expect(strict.isErr && strict.error.map(({ path }) => path)).toEqual(problemPaths);
        const start = use(document);
        expect(start.settings).toEqual({ ...complete, ...expected });
        expect(start.problems.map(({ path }) => path)).toEqual(problemPaths);
    });

    // Nothing at all was reloaded.
    it.each(changedCases)("keep the former values of the invalid ones, with $content", ({ content, expected }) => {
        const before = use(former);
        const changed = settingsFiles.checkChangedSettings({ ...complete, ...content }, before);
        expect(changed.isOk && changed.value.settings).toEqual({ ...complete, ...expected });
        expect(changed.isOk && changed.value.problems).toEqual(use({ ...complete, ...content }).problems);
    });

    it.each(refusedCases)("keep all former values with $name", ({ content, problemPath }) => {
        const changed = settingsFiles.checkChangedSettings(content, use(former));
        expect(changed.isErr && changed.error.map(({ path }) => path)).toContain(problemPath);
    });

    it("keep all former values with another role", () => {
        const changed = settingsFiles.checkChangedSettings(agent, use(former));
        expect(changed.isErr && changed.error.map(({ path }) => path)).toEqual(["role"]);
    });

    it.each([
        { seeds: ["nowhere"], formerSeeds: ["nowhere"], isLacking: true },
        { seeds: [], formerSeeds: ["nowhere"], isLacking: false },
        { seeds: ["127.0.0.1:9", "nowhere"], formerSeeds: ["nowhere"], isLacking: false },
        { seeds: ["nowhere"], formerSeeds: ["127.0.0.1:9"], isLacking: false },
        { seeds: ["nowhere"], formerSeeds: [], isLacking: false },
    ])("lack seeds with $seeds after $formerSeeds: $isLacking", ({ seeds, formerSeeds, isLacking }) => {
        const before = use({ ...complete, seeds: formerSeeds });
        const changed = settingsFiles.checkChangedSettings({ ...complete, seeds }, before);
        expect(changed.isOk && changed.value.lacksSeeds).toBe(isLacking);
    });

    it("allow a start of an agent with an invalid optional setting", () => {
        const start = settingsFiles.checkStartSettings({ ...agent, ledgerCapacity: 0, weightStore: "" });
        expect(start.isOk && start.value.settings).toMatchObject({ ledgerCapacity: 100_000 });
        expect(start.isOk && start.value.problems.map(({ path }) => path)).toEqual(["ledgerCapacity"]);
    });

    it.each(refusedCases)("don't allow a start with $name", ({ content, problemPath }) => {
        const start = settingsFiles.checkStartSettings(content);
        expect(start.isErr && start.error.map(({ path }) => path)).toContain(problemPath);
    });
});

describe("a settings file that contains itself", () => {
    // Guards against the end of a process by a reload.
    it.each(["x: &a [*a]", "repeats: &a { ratio: *a }"])("is rejected: %s", text => {
        const file = path.join(fs.mkdtempSync(path.join(os.tmpdir(), "cumincrank-settings-")), "entry.yaml");
        fs.writeFileSync(file, text);
        expect(settingsFiles.readStartSettings(file).isErr).toBe(true);
        expect(settingsFiles.readChangedSettings(file, use(former)).isErr).toBe(true);
        fs.rmSync(path.dirname(file), { recursive: true });
    });
});
