/**
 * Combines the tokens of a stream that arrive in one turn of the event loop into one part, so that a fast stream
 * costs one frame per turn rather than one per token.
 */
import * as ports from "../common/Ports";

/** Maximum number of tokens in a combined part. */
export const MAX_BATCH_TOKENS = 1_000;
/** Maximum number of characters in a combined part, which keeps it far below the frame size limit. */
export const MAX_BATCH_CHARACTERS = 64 * 1024;

/** Batches the parts of one stream before they are sent to an entry. */
export class PartBatch {
    private offset = 0;
    private tokens: string[] = [];
    private characters = 0;

    /** `defer` schedules a callback after the current turn of the event loop. */
    constructor(
        private readonly send: (part: ports.UpstreamPart) => void,
        private readonly defer: (callback: () => void) => void = setImmediate,
    ) {}

    /** Adds a part. It is combined with the previous one only if it starts where that one ends. */
    add(part: ports.UpstreamPart): void {
        const characters = part.tokens.reduce((sum, token) => sum + token.length, 0);
        if (!this.canJoin(part, characters)) {
            this.flush();
        }
        if (this.tokens.length === 0) {
            this.offset = part.offset;
            this.defer(() => this.flush());
        }
        this.tokens.push(...part.tokens);
        this.characters += characters;
    }

    /** Sends the batched tokens; must be called before the answer is sent. */
    flush(): void {
        if (this.tokens.length > 0) {
            const { offset, tokens } = this;
            this.tokens = [];
            this.characters = 0;
            this.send({ offset, tokens });
        }
    }

    private canJoin(part: ports.UpstreamPart, characters: number): boolean {
        return part.offset === this.offset + this.tokens.length
            && this.tokens.length + part.tokens.length <= MAX_BATCH_TOKENS
            && this.characters + characters <= MAX_BATCH_CHARACTERS;
    }
}
