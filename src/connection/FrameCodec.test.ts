import * as fc from "fast-check";
import * as vitest from "vitest";
import * as codes from "../common/Codes";
import * as heapFixtures from "../common/HeapFixture";
import * as messages from "../common/Messages";
import * as frames from "./FrameCodec";

const { describe, expect, it } = vitest;

const SEED = 11;

const samples: messages.Envelope[] = [
    { version: 0, message: { kind: "fetch", from: 3 } },
    { version: 7, message: { kind: "part", call: 1, offset: 40, tokens: ["gold", " leaf"] } },
    { version: 7, message: { kind: "cancel", call: 9 } },
    { version: 7, era: 1, message: { kind: "parts", request: 1, contents: [new Uint8Array(300)] } },
];

/** A frame with an integer of this size, whose decoding takes a time that grows with the square of it. */
function encodeBigNumber(bytes: number): Buffer {
    const head = Buffer.from([0, 0, 0, 0, 0xc2, 0x5a, 0, 0, 0, 0]);
    head.writeUInt32BE(head.length - 4 + bytes, 0);
    head.writeUInt32BE(bytes, head.length - 4);
    return Buffer.concat([head, Buffer.alloc(bytes, 0xff)]);
}

describe("FrameDecoder", () => {
    it("decodes the same envelopes wherever the bytes are split", () => {
        const bytes = Buffer.concat(samples.map(frames.encodeFrame));
        fc.assert(
            fc.property(fc.array(fc.integer({ min: 1, max: bytes.length - 1 })), cuts => {
                const decoder = new frames.FrameDecoder();
                const edges = [0, ...cuts.sort((a, b) => a - b), bytes.length];
                const decoded = edges.slice(1).flatMap((edge, index) =>
                    decoder.push(bytes.subarray(edges[index], edge)).unwrapOr([])
                );
                expect(decoded).toEqual(samples);
            }),
            { seed: SEED },
        );
    });

    // Guards against a frame that takes a hundred times its bytes until it's complete.
    it("keeps little more than the bytes of a frame that arrives byte by byte", () => {
        const bytes = 300_000;
        const frame = frames.encodeFrame({
            version: 7,
            era: 1,
            message: { kind: "parts", request: 1, contents: [new Uint8Array(bytes)] },
        });
        const decoder = new frames.FrameDecoder();
        const before = heapFixtures.usedBytes();
        for (let index = 0; index < bytes; index++) {
            const chunk = Buffer.allocUnsafeSlow(1);
            chunk[0] = frame[index]!;
            expect(decoder.push(chunk).isOk).toBe(true);
        }
        expect(heapFixtures.usedBytes() - before).toBeLessThan(2 * bytes + 1024 * 1024);
        expect(decoder.bufferedBytes).toBe(bytes);
        expect(decoder.push(frame.subarray(bytes)).unwrapOr([])).toHaveLength(1);
        expect(decoder.bufferedBytes).toBe(0);
    });

    const malformed: [string, Buffer, codes.ResultCode][] = [
        ["an oversized frame", Buffer.from([0xff, 0, 0, 0]), codes.codes.frameTooLarge],
        ["bytes that are not CBOR", Buffer.from([0, 0, 0, 2, 0xff, 0xff]), codes.codes.frameMalformed],
        ["a value of the wrong shape", Buffer.from([0, 0, 0, 1, 0x01]), codes.codes.frameMalformed],
        ["a number of a megabyte, within seconds", encodeBigNumber(1_000_000), codes.codes.frameMalformed],
    ];
    it.each(malformed)("rejects %s", (_name, bytes, code) => {
        const decoded = new frames.FrameDecoder().push(bytes);
        expect(decoded.isErr && decoded.error.code).toBe(code);
    });

    it("never throws on random bytes", () => {
        fc.assert(
            fc.property(fc.uint8Array({ maxLength: 200 }), bytes => {
                const content = Buffer.from(bytes);
                const prefix = Buffer.alloc(4);
                prefix.writeUInt32BE(content.length);
                const decoded = new frames.FrameDecoder().push(Buffer.concat([prefix, content]));
                expect(decoded.isErr || decoded.value.length <= 1).toBe(true);
            }),
            { seed: SEED },
        );
    });
});
