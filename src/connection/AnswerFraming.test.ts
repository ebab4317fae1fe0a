import * as vitest from "vitest";
import * as framings from "./AnswerFraming";

/** A head with these lines, as Node.js parses it. */
function createHead(
    lines: readonly (readonly [string, string])[],
    change: Partial<framings.AnswerHead> = {},
): framings.AnswerHead {
    return {
        method: "POST",
        status: 200,
        httpVersion: "1.1",
        headers: Object.fromEntries(lines.map(([name, value]) => [name.toLowerCase(), value])),
        rawHeaders: lines.flat(),
        ...change,
    };
}

const LENGTH = ["Content-Length", "5"] as const;
const CHUNKED = ["Transfer-Encoding", "chunked"] as const;
const OTHER = ["X-Other", "value"] as const;

/** The rows of RFC 9112, section 6.3. */
const rows: readonly {
    readonly name: string;
    readonly head: framings.AnswerHead;
    readonly framing: framings.Framing | "malformed";
}[] = [
    { name: "the answer to HEAD", head: createHead([LENGTH], { method: "HEAD" }), framing: "none" },
    { name: "204", head: createHead([], { status: 204 }), framing: "none" },
    { name: "304 with the length of another one", head: createHead([LENGTH], { status: 304 }), framing: "none" },
    { name: "chunked", head: createHead([CHUNKED]), framing: "chunked" },
    { name: "chunked in capitals", head: createHead([["Transfer-Encoding", " CHUNKED"]]), framing: "chunked" },
    { name: "chunked in HTTP/1.0", head: createHead([CHUNKED], { httpVersion: "1.0" }), framing: "malformed" },
    { name: "another coding", head: createHead([["Transfer-Encoding", "gzip"]]), framing: "malformed" },
    {
        name: "another coding in chunks",
        head: createHead([["Transfer-Encoding", "gzip, chunked"]]),
        framing: "malformed",
    },
    { name: "another last coding", head: createHead([["Transfer-Encoding", "chunked, gzip"]]), framing: "malformed" },
    { name: "a coding like chunked", head: createHead([["Transfer-Encoding", "xchunked"]]), framing: "malformed" },
    {
        name: "a coding with a parameter",
        head: createHead([["Transfer-Encoding", "chunked;a=1"]]),
        framing: "malformed",
    },
    { name: "no coding by name", head: createHead([["Transfer-Encoding", "identity"]]), framing: "connection" },
    { name: "an empty coding", head: createHead([["Transfer-Encoding", ""]]), framing: "malformed" },
    { name: "a length and chunks", head: createHead([LENGTH, CHUNKED]), framing: "malformed" },
    {
        name: "a length and another coding",
        head: createHead([LENGTH, ["Transfer-Encoding", "identity"]]),
        framing: "malformed",
    },
    { name: "a length", head: createHead([OTHER, LENGTH]), framing: "length" },
    { name: "a length in HTTP/1.0", head: createHead([LENGTH], { httpVersion: "1.0" }), framing: "length" },
    { name: "neither", head: createHead([OTHER]), framing: "connection" },
    { name: "neither in HTTP/1.0", head: createHead([], { httpVersion: "1.0" }), framing: "connection" },
];

/** Guards against bodies without a whole that count as framed, and so as whole after a reset. */
vitest.describe("the framing of an answer with", () => {
    vitest.it.each(rows)("$name is $framing", ({ head, framing }) => {
        vitest.expect(framings.findFraming(head)).toBe(framing);
    });
});

vitest.describe("a status", () => {
    vitest.it.each([
        ...[0, 1, 99, 100, 101, 103, 199].map(status => ({ status, framing: "malformed" })),
        ...[200, 299, 404, 599, 600, 799, 999].map(status => ({ status, framing: "length" })),
    ])("of $status makes the answer $framing", ({ status, framing }) => {
        vitest.expect(framings.findFraming(createHead([LENGTH], { status }))).toBe(framing);
    });
});

vitest.describe("a version", () => {
    vitest.it.each(["0.9", "1.2", "2.0", "9.9"])("%s has no known framing", httpVersion => {
        vitest.expect(framings.findFraming(createHead([LENGTH], { httpVersion }))).toBe("malformed");
    });
});

/** All characters that Node.js can give out of a head. */
const characters = Array.from({ length: 256 }, (_, code) => String.fromCharCode(code));

vitest.describe("a field", () => {
    const tokens = new Set("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ");
    // Guards against lines that look like a length to a client, and like nothing to this process, or the other way round.
    vitest.it.each(["", "a", "Content-Length"])(
        "is sound only with a token as its name: %s and each character",
        start => {
            for (const character of characters) {
                const head = createHead([LENGTH, [`${start}${character}`, "1"]]);
                vitest.expect({ character, isSound: framings.findFraming(head) !== "malformed" })
                    .toEqual({ character, isSound: tokens.has(character) });
            }
        },
    );

    vitest.it("is sound only with a name", () => {
        vitest.expect(framings.findFraming(createHead([LENGTH, ["", "1"]]))).toBe("malformed");
    });

    vitest.it("is sound only without control characters in its value", () => {
        for (const [code, character] of characters.entries()) {
            const head = createHead([LENGTH, ["X-Other", `a${character}b`]]);
            const isControl = (code < 0x20 && character !== "\t") || code === 0x7f;
            vitest.expect({ code, isSound: framings.findFraming(head) !== "malformed" })
                .toEqual({ code, isSound: !isControl });
        }
    });
});

vitest.describe("a body", () => {
    const ends: readonly framings.ConnectionEnd[] = ["open", "fin", "reset", "closed"];
    const wholeAfter: Readonly<Record<framings.Framing, readonly framings.ConnectionEnd[]>> = {
        none: ends,
        length: ends,
        chunked: ends,
        connection: ["fin"],
    };
    const cases = Object.entries(wholeAfter).flatMap(([framing, whole]) =>
        ends.map(end => ({ framing: framing as framings.Framing, end, isWhole: whole.includes(end) }))
    );
    vitest.it.each(cases)("delimited by $framing that has ended is whole: $isWhole, with its connection $end", row => {
        vitest.expect(framings.isWhole(row.framing, true, row.end)).toBe(row.isWhole);
        vitest.expect(framings.isWhole(row.framing, false, row.end)).toBe(false);
    });
});
