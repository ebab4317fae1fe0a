/**
 * Answers of the store with oddities, and odd contents of its keys.
 */
import * as records from "../platform/PlatformRecords";
import * as randoms from "../src/common/Random";
import * as mutations from "./Mutation";

/** An answer in place of a sound one. */
export interface StoreAnswer {
    readonly status: number;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Buffer;
    /** Whether the connection is reset after the body's first half. */
    readonly isBroken: boolean;
}

/** Number of records of a large listing, more than a call takes arguments. */
const MANY_RECORDS = 150_000;
const STATUSES = [200, 204, 304, 400, 410, 500, 503, 999];
const ERAS = ["", "-1", "x", "1.5", "1e3", "NaN"];
const BODIES = [
    "",
    "{",
    "[]",
    "{\"Items\":[],\"CurrentRev\":-1}",
    "{\"Items\":[],\"CurrentRev\":1.5}",
    "{\"Items\":[],\"CurrentRev\":1e999}",
    "{\"Items\":[],\"CurrentRev\":9007199254740991}",
    "{\"Items\":[{\"Key\":\"a\",\"Rev\":1}],\"CurrentRev\":1,\"Truncated\":true}",
    "{\"events\":[{\"Key\":\"servers/x\",\"Rev\":1,\"Value\":\"!!!!\"}],\"CurrentRev\":2}",
    "{\"events\":[{\"Key\":\"op/config\",\"Rev\":9007199254740991,\"Value\":\"AAAA\"}],\"CurrentRev\":2}",
    `{"Items":[${"{},".repeat(4_000_000)}{}],"CurrentRev":1}`,
    `{"Items":[${"1,".repeat(4_000_000)}1],"CurrentRev":1}`,
    `{"Items":${"[".repeat(100_000)}`,
    `{"events":[],"CurrentRev":3,"Extra":${"[".repeat(100_000)}${"]".repeat(100_000)}}`,
];

/** Creates an odd answer from a sound one. */
export function createStoreAnswer(random: randoms.Random, sound: StoreAnswer): StoreAnswer {
    const isBroken = random() < 0.1;
    switch (mutations.pickInteger(random, 0, 9)) {
        case 0:
            return { ...sound, isBroken, status: mutations.pick(random, STATUSES) };
        case 1:
            return { ...sound, isBroken, headers: { "Store-Era": mutations.pick(random, ERAS) } };
        case 2:
            return { ...sound, isBroken, body: mutations.mutateBytes(random, sound.body) };
        case 3:
        case 4:
            return { ...sound, isBroken, body: Buffer.from(mutations.pick(random, BODIES)) };
        case 5:
            return { ...sound, isBroken, body: random() < 0.3 ? createManyRecords() : sound.body };
        default:
            return { ...sound, isBroken, body: mutateBody(random, sound.body) };
    }
}

/**
 * An odd configuration, one of whose routes or services is changed. Its version stays, so that it is in force if it can be
 * read; one that is too high to be followed would stay in force by design.
 */
export function createConfiguration(random: randoms.Random, sound: Readonly<Record<string, unknown>>): Buffer {
    const field = mutations.pick(random, ["Routes", "Routes", "Services", "Services", "Limits", "Tenants"]);
    const content = sound[field];
    if (!Array.isArray(content)) {
        const isAccepted = (changed: unknown): boolean => isReadable("op/config", { ...sound, [field]: changed });
        return encode({ ...sound, [field]: mutations.mutateAccepted(random, content, isAccepted) });
    }
    const index = mutations.pickInteger(random, 0, content.length - 1);
    const withChanged = (changed: unknown): Record<string, unknown> => ({
        ...sound,
        [field]: content.map((element: unknown, other) => other === index ? changed : element),
    });
    const isAccepted = (changed: unknown): boolean => isReadable("op/config", withChanged(changed));
    return encode(withChanged(mutations.mutateAccepted(random, content[index], isAccepted)));
}

/** An odd record of an instance. */
export function createRecord(random: randoms.Random, sound: Readonly<Record<string, unknown>>): Buffer {
    return encode(mutations.mutateAccepted(random, sound, changed => isReadable("servers/changed", changed)));
}

function isReadable(key: string, value: unknown): boolean {
    return records.decode({ key, era: 0, revision: 1, content: encode(value) }).kind !== "unreadable";
}

/** Empty for a value that was left out. */
function encode(value: unknown): Buffer {
    return Buffer.from(JSON.stringify(value) ?? "");
}

function mutateBody(random: randoms.Random, body: Buffer): Buffer {
    let document: unknown;
    try {
        document = JSON.parse(body.toString("utf8"));
    }
    catch {
        return mutations.mutateBytes(random, body);
    }
    return encode(mutations.mutateDocument(random, document));
}

function createManyRecords(): Buffer {
    const items = Array.from({ length: MANY_RECORDS }, (_, index) => `{"Key":"other/${index}","Rev":1}`);
    return Buffer.from(`{"Items":[${items.join(",")}],"CurrentRev":2}`);
}
