/**
 * Checks CBOR data without decoding it. Decoders give many tags a meaning, such as big numbers, patterns and references,
 * whose cost isn't bounded by the size of the data; and an empty map takes one byte there, and many times that in memory.
 */

/** Tag of a byte string that holds unsigned 8-bit integers. */
const BYTE_ARRAY_TAG = 64;
/** Number of maps and arrays, more than any message has. */
const MAX_CONTAINERS = 300_000;

const MAJOR_TYPE_SHIFT = 5;
const ARGUMENT_MASK = 0x1f;
/** Larger arguments are in the bytes that follow. */
const MAX_SHORT_ARGUMENT = 23;
const MAX_ARGUMENT_CODE = 27;

const BYTE_STRING = 2;
const TEXT_STRING = 3;
const ARRAY = 4;
const MAP = 5;
const TAG = 6;

/** Whether the cost of decoding the data is bounded. Malformed data is left to the decoder. */
export function isDecodable(data: Uint8Array): boolean {
    const view = new DataView(data.buffer, data.byteOffset, data.byteLength);
    let offset = 0;
    let containers = 0;
    while (offset < data.length) {
        const majorType = data[offset]! >> MAJOR_TYPE_SHIFT;
        const code = data[offset]! & ARGUMENT_MASK;
        offset++;
        const size = argumentBytes(code);
        if (offset + size > data.length) {
            return true; // Ends within an item.
        }
        const argument = size === 0 ? code : readArgument(view, offset, size);
        offset += size;
        containers += majorType === ARRAY || majorType === MAP ? 1 : 0;
        if (containers > MAX_CONTAINERS || (majorType === TAG && argument !== BYTE_ARRAY_TAG)) {
            return false;
        }
        if (majorType === BYTE_STRING || majorType === TEXT_STRING) {
            offset += argument;
        }
    }
    return true;
}

/** Number of bytes after the first one of an item that hold its argument. */
function argumentBytes(code: number): number {
    return code > MAX_SHORT_ARGUMENT && code <= MAX_ARGUMENT_CODE ? 2 ** (code - MAX_SHORT_ARGUMENT - 1) : 0;
}

function readArgument(view: DataView, offset: number, size: number): number {
    switch (size) {
        case 1:
            return view.getUint8(offset);
        case 2:
            return view.getUint16(offset);
        case 4:
            return view.getUint32(offset);
        default:
            return Number(view.getBigUint64(offset));
    }
}
