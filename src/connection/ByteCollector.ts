/**
 * Collects the chunks of a body or a frame. A chunk that is kept as a buffer of its own costs some hundred bytes beside
 * its content, and its sender decides how small the chunks are: small ones are copied into blocks that grow.
 */

/** Chunks from this size on are kept as they are. */
const LARGE_CHUNK_BYTES = 4 * 1024;
/** What Node.js reads at once. */
const MAX_READ_BYTES = 64 * 1024;
const MIN_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 64 * 1024;

/** The bytes collected so far; what is held for them is at most twice as much, and a small constant. */
export class ByteCollector {
    private parts: Buffer[] = [];
    /** The block into which small chunks are copied now. */
    private block: Buffer | undefined;
    private blockBytes = 0;
    private nextBlockBytes = MIN_BLOCK_BYTES;
    private collectedBytes = 0;
    private partsBytes = 0;

    /** `expectedBytes`: the size that is stated for the whole, up to which blocks are allocated. */
    constructor(private readonly expectedBytes = Infinity) {}

    /** Number of bytes collected. */
    get size(): number {
        return this.collectedBytes;
    }

    /** Number of bytes that are held for them. */
    get heldBytes(): number {
        return this.partsBytes + (this.block?.length ?? 0);
    }

    /** Adds a chunk, which must not be changed afterwards. */
    add(chunk: Buffer): void {
        // A single chunk is the usual content.
        const isKept = chunk.length >= LARGE_CHUNK_BYTES || this.collectedBytes === 0;
        if (isKept && isMostOfItsBuffer(chunk)) {
            this.closeBlock();
            this.keep(chunk);
        }
        else {
            this.copy(chunk);
        }
        this.collectedBytes += chunk.length;
    }

    /** Removes and returns all bytes, in one buffer. */
    take(): Buffer {
        this.closeBlock();
        const { parts, collectedBytes } = this;
        this.parts = [];
        this.partsBytes = 0;
        this.collectedBytes = 0;
        return parts.length === 1 ? parts[0]! : Buffer.concat(parts, collectedBytes);
    }

    private keep(part: Buffer): void {
        if (part.length > 0) {
            this.parts.push(part);
            this.partsBytes += part.length;
        }
    }

    /** Copies a chunk into the block, and what it has no room for into a new one. */
    private copy(chunk: Buffer): void {
        const copied = this.block === undefined ? 0 : chunk.copy(this.block, this.blockBytes);
        this.blockBytes += copied;
        if (copied === chunk.length) {
            return;
        }
        if (this.block !== undefined) {
            this.keep(this.block);
        }
        const restBytes = chunk.length - copied;
        const expectedBytes = Math.max(restBytes, this.expectedBytes - this.collectedBytes - copied);
        this.block = Buffer.allocUnsafeSlow(Math.min(expectedBytes, Math.max(restBytes, this.nextBlockBytes)));
        this.blockBytes = chunk.copy(this.block, 0, copied);
        this.nextBlockBytes = Math.min(MAX_BLOCK_BYTES, this.nextBlockBytes * 2);
    }

    /** Ends the block; what it has left unused isn't kept. */
    private closeBlock(): void {
        if (this.block !== undefined) {
            const isFull = this.blockBytes === this.block.length;
            this.keep(isFull ? this.block : Buffer.from(this.block.subarray(0, this.blockBytes)));
            this.block = undefined;
            this.blockBytes = 0;
            this.nextBlockBytes = MIN_BLOCK_BYTES;
        }
    }
}

/** Whether keeping a chunk keeps little else: it may be a small part of what was read at once, or of a frame. */
function isMostOfItsBuffer(chunk: Buffer): boolean {
    const maxBytes = chunk.length >= LARGE_CHUNK_BYTES ? MAX_READ_BYTES : LARGE_CHUNK_BYTES;
    return chunk.buffer.byteLength <= 2 * chunk.length + maxBytes;
}
