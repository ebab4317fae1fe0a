import * as vitest from "vitest/config";

export default vitest.defineConfig({
    test: {
        include: [
            "src/**/*.test.ts",
            "platform/**/*.test.ts",
            "standins/**/*.test.ts",
            "bench/**/*.test.ts",
            "soak/**/*.test.ts",
            "fuzz/**/*.test.ts",
            "tests/**/*.test.ts",
        ],
        testTimeout: 60_000,
        hookTimeout: 60_000,
        pool: "forks",
        maxWorkers: 6,
    },
});
