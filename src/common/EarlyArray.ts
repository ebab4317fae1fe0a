/**
 * Schemas of arrays whose check ends at the first element that is wrong. Others collect an issue for each of them, which
 * takes more memory than a process has if a long array has elements of another kind.
 */
import * as z from "zod";

/** An array of elements of `schema`. */
export function createSchema<T extends z.ZodType>(schema: T): z.ZodType<z.output<T>[]> {
    return z.array(z.unknown()).transform((values, context) => {
        const elements: z.output<T>[] = [];
        for (const [index, value] of values.entries()) {
            const parsed = schema.safeParse(value);
            if (!parsed.success) {
                const [issue] = parsed.error.issues;
                const path = [index, ...issue?.path ?? []];
                context.addIssue({ code: "custom", path, message: issue?.message ?? "malformed" });
                return z.NEVER;
            }
            elements.push(parsed.data);
        }
        return elements;
    });
}
