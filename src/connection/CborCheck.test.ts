import * as vitest from "vitest";
import * as cborChecks from "./CborCheck";

vitest.describe("CBOR data", () => {
    // Guards against the end of the process for lack of memory, and against one that hangs.
    vitest.it.each([
        { name: "a short array", head: [0x82, 0xa0, 0xa0], length: 0, isDecodable: true },
        { name: "a string of a megabyte", head: [0x5a, 0, 0x10, 0, 0], length: 0x10_0000, isDecodable: true },
        {
            name: "an array of a million empty maps",
            head: [0x9a, 0, 0x10, 0, 0],
            length: 0x10_0000,
            isDecodable: false,
        },
        { name: "a tag of a byte array", head: [0xd8, 0x40, 0x41, 0], length: 0, isDecodable: true },
        { name: "a tag of a big number", head: [0xc2, 0x41, 0], length: 0, isDecodable: false },
        { name: "a tag of a reference", head: [0xd8, 0x1d, 0x00], length: 0, isDecodable: false },
        { name: "a head that is cut off", head: [0x9b, 0, 0], length: 0, isDecodable: true },
    ])("of $name may be decoded: $isDecodable", ({ head, length, isDecodable }) => {
        const data = Buffer.concat([Buffer.from(head), Buffer.alloc(length, 0xa0)]);
        vitest.expect(cborChecks.isDecodable(data)).toBe(isDecodable);
    });
});
