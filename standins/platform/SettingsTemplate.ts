/**
 * Renders the template of the settings as the platform does, with values like those of one of its machines.
 */
import * as fs from "node:fs";
import * as path from "node:path";

const TEMPLATE_FILE = path.resolve("platform/entry.yaml");
const SECTION_PATTERN = /\{\{([#^])([\w.]+)\}\}([^]*?)\{\{\/\2\}\}/g;
const PLACEHOLDER_PATTERN = /\{\{([\w.]+|@|,)(\|json)?\}\}/g;

/** Values of the placeholders, as nested tables. */
export type TemplateValues = Readonly<Record<string, unknown>>;

/** What differs between the machines of a test. */
export interface Machine {
    readonly name: string;
    /** Ports of 127.0.0.1: of callers, readiness, peers and the admin server. */
    readonly ports: readonly number[];
    readonly store: string;
}

/** Creates the values for a machine that starts for the first time with all others. */
export function createValues(machine: Machine): TemplateValues {
    const [front, ready, control, admin] = machine.ports;
    return {
        Node: machine.name,
        Zone: "zone-a",
        Region: "here",
        Zones: { "zone-a": "here", "zone-b": "here" },
        Ip: "127.0.0.1",
        Listen: { Front: `127.0.0.1:${front}`, Ready: `127.0.0.1:${ready}`, Control: `127.0.0.1:${control}` },
        InternalPorts: [admin, 1],
        Seeds: [`127.0.0.1:${control}`],
        Bootstrap: true,
        Limits: { CpuShare: 0.5, MemoryMb: 350, MaxFds: 4100 },
        Bounds: { GraceS: 8, BudgetWindowS: 10, BudgetRatio: 0.2, BudgetSlack: 52, ColdOver: 1.5, ColdSlack: 4 },
        Platform: { Address: machine.store },
    };
}

/** Returns the values without the one at `name`, whose parts are joined by dots. */
export function withoutValue(values: TemplateValues, name: string): TemplateValues {
    const [first, ...rest] = name.split(".");
    const { [first!]: value, ...others } = values;
    return rest.length === 0 ? others : { ...others, [first!]: withoutValue(value as TemplateValues, rest.join(".")) };
}

/** Lists the names of the values that the template refers to. */
export function listPlaceholders(): string[] {
    const names = [...readTemplate().matchAll(/\{\{#?(\w[\w.]*)(?:\|json)?\}\}/g)].map(([, name]) => name!);
    return [...new Set(names)];
}

/** Renders the template of the settings. */
export function renderSettings(values: TemplateValues): string {
    return render(readTemplate(), values);
}

function readTemplate(): string {
    return fs.readFileSync(TEMPLATE_FILE, "utf8");
}

function render(text: string, values: TemplateValues): string {
    const rendered = text.replace(SECTION_PATTERN, (_section, kind: string, name: string, body: string) => {
        const value = lookUp(values, name);
        const isAbsent = value === undefined || value === false;
        if (kind === "^") {
            return isAbsent ? render(body, values) : "";
        }
        return isAbsent ? "" : renderEntries(body, value, values);
    });
    return rendered.replace(PLACEHOLDER_PATTERN, (_placeholder, name: string, json: string | undefined) => {
        const value = lookUp(values, name);
        return json === undefined ? toText(value) : JSON.stringify(value) ?? "";
    });
}

/** Renders the body of a section once for each entry of a list or table, or once for any other value. */
function renderEntries(body: string, value: unknown, values: TemplateValues): string {
    const entries = typeof value === "object" ? Object.entries(value as TemplateValues) : [["", value] as const];
    return entries.map(([key, entry], index) => {
        const comma = index < entries.length - 1 ? "," : "";
        return render(body, { ...values, ".": entry, "@": key, ",": comma });
    }).join("");
}

function lookUp(values: TemplateValues, name: string): unknown {
    return name in values
        ? values[name]
        : name.split(".").reduce<unknown>((value, part) => (value as TemplateValues | undefined)?.[part], values);
}

function toText(value: unknown): string {
    if (Array.isArray(value)) {
        return value.join(",");
    }
    return typeof value === "object" ? JSON.stringify(value) : String(value ?? "");
}
