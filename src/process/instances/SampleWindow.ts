/**
 * The median of the latest samples. Single samples that are far off, such as the time of a call that waited behind others,
 * don't move it.
 */

/** A bounded window of samples; old ones don't count. */
export class SampleWindow {
    private samples: { readonly value: number; readonly atMs: number }[] = [];
    private cached = 0;

    /** `maxSamples`: number of samples that are kept; `lifetimeMs`: time after which a sample is dropped. */
    constructor(private readonly maxSamples: number, private readonly lifetimeMs: number) {}

    /** Number of samples. */
    get count(): number {
        return this.samples.length;
    }

    /** Median of the samples; 0 without any. */
    get median(): number {
        return this.cached;
    }

    add(value: number, nowMs: number): void {
        const recent = this.samples.filter(sample => nowMs - sample.atMs < this.lifetimeMs);
        this.samples = [...recent.slice(1 - this.maxSamples), { value, atMs: nowMs }];
        const sorted = this.samples.map(sample => sample.value).sort((left, right) => left - right);
        const middle = (sorted.length - 1) / 2;
        this.cached = (sorted[Math.floor(middle)]! + sorted[Math.ceil(middle)]!) / 2;
    }
}
