/**
 * Gathers the tokens of one stream that arrive in one turn of the event loop into one part, so that a fast
 * stream costs a frame for each turn and not for each token.
 */
import * as ports from "../common/Ports";

/** Most tokens of one part. */
export const MAX_BATCH_TOKENS = 1_000;
/** Most characters of a part that joins several; keeps it far below the largest frame. */
export const MAX_BATCH_CHARACTERS = 64 * 1024;

/** The parts of one stream on their way to an entry. */
export class PartBatch {
    private offset = 0;
    private tokens: string[] = [];
    private characters = 0;

    /** `defer` calls back when the turn of the event loop has ended. */
    constructor(
        private readonly send: (part: ports.UpstreamPart) => void,
        private readonly defer: (callback: () => void) => void = setImmediate,
    ) {}

    /** Takes in a part. One that doesn't follow on the last is never joined with it. */
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

    /** Sends what was gathered; call it before the answer. */
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
