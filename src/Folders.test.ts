import * as fs from "node:fs";
import * as path from "node:path";
import * as vitest from "vitest";

const SOURCE_FOLDER = __dirname;
const IMPORT_PATTERN = /from "(\.[^"]+)"/g;

/** The folders that each folder imports from, tests aside. */
function readImports(): Map<string, Set<string>> {
    const imports = new Map<string, Set<string>>();
    for (const file of fs.readdirSync(SOURCE_FOLDER, { recursive: true, encoding: "utf8" })) {
        if (!file.endsWith(".ts") || file.endsWith(".test.ts")) {
            continue;
        }
        const folder = path.dirname(file);
        const imported = imports.get(folder) ?? new Set();
        imports.set(folder, imported);
        for (const [, target] of fs.readFileSync(path.join(SOURCE_FOLDER, file), "utf8").matchAll(IMPORT_PATTERN)) {
            imported.add(path.dirname(path.join(folder, target!)));
        }
        imported.delete(folder);
    }
    return imports;
}

/** The folders that can't be put into an order in which each imports from earlier ones only. */
function findUnordered(imports: ReadonlyMap<string, ReadonlySet<string>>): string[] {
    let remaining = [...imports.keys()];
    for (;;) {
        const unordered = remaining.filter(folder =>
            [...imports.get(folder)!].some(imported => remaining.includes(imported))
        );
        if (unordered.length === remaining.length) {
            return remaining;
        }
        remaining = unordered;
    }
}

vitest.it("folders import each other one way", () => {
    vitest.expect(findUnordered(readImports())).toEqual([]);
});
