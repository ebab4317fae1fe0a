/**
 * The prompt parts that one instance probably keeps, since this process has recently sent them there. Callers choose the
 * names, and a name is part of a header of up to its size limit.
 */

/** Number of parts that are remembered. */
const MAX_PARTS = 2_000;
/** Parts with longer names aren't remembered. */
const MAX_NAME_LENGTH = 200;

/** The names of the parts, the latest last. */
export class CachedParts {
    private readonly names = new Set<string>();

    has(name: string): boolean {
        return this.names.has(name);
    }

    add(names: readonly string[]): void {
        for (const name of names.filter(({ length }) => length <= MAX_NAME_LENGTH)) {
            this.names.delete(name);
            this.names.add(copyText(name));
        }
        while (this.names.size > MAX_PARTS) {
            const [oldest] = this.names;
            this.names.delete(oldest!);
        }
    }

    clear(): void {
        this.names.clear();
    }
}

/** A copy of a text that doesn't keep the longer one alive that the text was cut from, as JavaScript engines let it. */
function copyText(text: string): string {
    return Buffer.from(text, "utf8").toString("utf8");
}
