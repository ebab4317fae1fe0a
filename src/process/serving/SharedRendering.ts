/**
 * Renders a page at most once in an interval, however often it is asked for. Requests in between share the next
 * rendering, so that none gets a state from before it asked.
 */
import * as clocks from "../../common/Clock";

/** Shortest time between two renderings. */
const INTERVAL_MS = 100;

/** The renderings of one page. */
export class SharedRendering {
    private renderedMs = -Infinity;
    private pending: Promise<string> | undefined;

    constructor(
        private readonly clock: clocks.Clock,
        private readonly render: () => Promise<string>,
    ) {}

    /** The next rendering. */
    async next(): Promise<string> {
        if (this.pending !== undefined) {
            return this.pending;
        }
        const waitMs = this.renderedMs + INTERVAL_MS - this.clock.now();
        if (waitMs <= 0) {
            return this.renderNow();
        }
        this.pending = clocks.sleep(this.clock, waitMs).then(() => this.renderNow());
        return this.pending;
    }

    private renderNow(): Promise<string> {
        this.pending = undefined;
        this.renderedMs = this.clock.now();
        return this.render();
    }
}
