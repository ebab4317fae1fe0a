/**
 * Assembles a stream from parts that may come from several upstreams one after another.
 */

/** Consecutive tokens of a stream, the first of them at `offset`. */
export interface StreamPart {
    readonly offset: number;
    readonly tokens: readonly string[];
}

/** What was done with a part. */
export type PartOutcome = "delivered" | "duplicate" | "gap";

/** Delivers each token exactly once and in order. */
export class StreamAssembly {
    private nextOffset = 0;

    constructor(private readonly onToken: (offset: number, token: string) => void) {}

    /** Offset of the next token to deliver, counted in tokens. */
    get next(): number {
        return this.nextOffset;
    }

    /** Delivers the new tokens of `part`; delivers none if it starts after the next token. */
    accept(part: StreamPart): PartOutcome {
        if (part.offset > this.nextOffset) {
            return "gap";
        }
        const duplicates = this.nextOffset - part.offset;
        if (duplicates >= part.tokens.length) {
            return "duplicate";
        }
        for (const token of part.tokens.slice(duplicates)) {
            const offset = this.nextOffset;
            this.nextOffset++;
            this.onToken(offset, token);
        }
        return "delivered";
    }
}
