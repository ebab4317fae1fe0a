/**
 * Small changes of valid inputs: of the values in a document, and of the bytes of a message. All are functions of the
 * random numbers, so that a seed replays them.
 */
import * as randoms from "../src/common/Random";

/** Most places that are changed in one input. */
export const MAX_CHANGES = 3;
/** Share of the documents that are changed until they are accepted, and the number of tries. */
const ACCEPTED_SHARE = 0.8;
const MAX_TRIES = 20;
/** Nesting that recursive code of the fuzz itself can write. */
const MAX_DEPTH = 1_000;
const MAX_REPEATED_BYTES = 40_000;

const NULL_VALUE: unknown = JSON.parse("null");
const ODD_NUMBERS = [
    0,
    1,
    7,
    65,
    1_000,
    -1,
    0.5,
    -0.5,
    1e12,
    2 ** 31,
    2 ** 32,
    2 ** 53,
    -(2 ** 53),
    1e300,
    -1e300,
    1e-300,
];
const ODD_TEXTS = [
    "",
    "\u0000",
    "\r\n",
    "\ud800",
    "\u00e9",
    "-1",
    "1e999",
    "NaN",
    "__proto__",
    "127.0.0.1:99999",
    "127.0.0.1:99999/1",
    "127.0.0.1",
    "127.0.0.1:0",
    "x".repeat(70_000),
];
const ODD_BYTES = ["\r\n", "\r\n\r\n", "\n", "\u0000", "\u00ff", "\u007f", ":", " ", "0\r\n\r\n", "[", "{", "\""];

/** One of several values. */
export function pick<T>(random: randoms.Random, values: readonly T[]): T {
    return values[Math.floor(random() * values.length)]!;
}

/** A whole number in a range, both ends included. */
export function pickInteger(random: randoms.Random, min: number, max: number): number {
    return min + Math.floor(random() * (max - min + 1));
}

/** A value that a field is unlikely to be made for. */
export function createOddValue(random: randoms.Random): unknown {
    switch (pickInteger(random, 0, 5)) {
        case 0:
        case 1:
            return pick(random, ODD_TEXTS);
        case 2:
            return pick(random, [true, NULL_VALUE, [], {}]);
        case 3:
            return nest(pickInteger(random, 1, MAX_DEPTH));
        default:
            return pick(random, ODD_NUMBERS);
    }
}

/** A copy of a document in which one to three values are replaced, left out, repeated or wrapped. */
export function mutateDocument<T>(random: randoms.Random, document: T): unknown {
    const root = { value: copyDocument(document) };
    for (let count = pickInteger(random, 1, MAX_CHANGES); count > 0; count--) {
        const places = listPlaces(root);
        if (places.length === 0) {
            break; // The document itself was left out.
        }
        const { container, key } = pick(random, places);
        changeValue(random, container, key);
    }
    return root.value;
}

/** The same, preferably one that its reader accepts, which reaches the code behind the checks. */
export function mutateAccepted<T>(
    random: randoms.Random,
    document: T,
    isAccepted: (changed: unknown) => boolean,
): unknown {
    let changed = mutateDocument(random, document);
    for (let tries = random() < ACCEPTED_SHARE ? MAX_TRIES : 0; tries > 0 && !isAccepted(changed); tries--) {
        changed = mutateDocument(random, document);
    }
    return changed;
}

/** A copy of bytes in which one to three ranges are replaced, left out, repeated or cut off. */
export function mutateBytes(random: randoms.Random, bytes: Buffer): Buffer {
    let changed: Buffer = Buffer.from(bytes);
    for (let count = pickInteger(random, 1, MAX_CHANGES); count > 0; count--) {
        changed = changeBytes(random, changed);
    }
    return changed;
}

/** Splits bytes at up to `maxCuts` places. */
export function splitBytes(random: randoms.Random, bytes: Buffer, maxCuts: number): Buffer[] {
    const cuts = Array.from({ length: pickInteger(random, 0, maxCuts) }, () => pickInteger(random, 0, bytes.length));
    const edges = [0, ...cuts.sort((a, b) => a - b), bytes.length];
    return edges.slice(1).map((edge, index) => bytes.subarray(edges[index], edge)).filter(part => part.length > 0);
}

interface Place {
    readonly container: Record<string, unknown>;
    readonly key: string;
}

function isContainer(value: unknown): value is Record<string, unknown> {
    return typeof value === "object" && Boolean(value) && !(value instanceof Uint8Array);
}

function listPlaces(value: unknown): Place[] {
    return isContainer(value)
        ? Object.keys(value).flatMap(key => [{ container: value, key }, ...listPlaces(value[key])])
        : [];
}

function copyDocument(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(copyDocument);
    }
    return isContainer(value)
        ? Object.fromEntries(Object.entries(value).map(([key, content]) => [key, copyDocument(content)]))
        : value;
}

function changeValue(random: randoms.Random, container: Record<string, unknown>, key: string): void {
    const value = container[key];
    switch (pickInteger(random, 0, 6)) {
        case 0:
            delete container[key];
            return;
        case 1:
            container[key] = [value];
            return;
        case 2:
            container[key] = Array.isArray(value) ? value.concat(value, value) : createOddValue(random);
            return;
        default:
            container[key] = createOddValue(random);
    }
}

function nest(depth: number): unknown {
    let value: unknown = [];
    for (let level = 1; level < depth; level++) {
        value = [value];
    }
    return value;
}

function changeBytes(random: randoms.Random, bytes: Buffer): Buffer {
    const start = pickInteger(random, 0, bytes.length);
    const end = Math.min(bytes.length, start + pickInteger(random, 1, 8));
    const head = bytes.subarray(0, start);
    switch (pickInteger(random, 0, 5)) {
        case 0:
            return Buffer.concat([head, bytes.subarray(end)]);
        case 1:
            return Buffer.concat([bytes.subarray(0, end), bytes.subarray(start)]);
        case 2:
            return Buffer.from(head);
        case 3:
            return Buffer.concat([head, Buffer.from([pickInteger(random, 0, 255)]), bytes.subarray(end)]);
        case 4:
            return Buffer.concat([
                head,
                Buffer.alloc(pickInteger(random, 1, MAX_REPEATED_BYTES), bytes[start] ?? 0x41),
            ]);
        default:
            return Buffer.concat([head, Buffer.from(pick(random, ODD_BYTES), "latin1"), bytes.subarray(end)]);
    }
}
