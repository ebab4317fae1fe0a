// Bundles the programs into dist/; with --binary, also builds the single executable dist/cumincrank.
import * as esbuild from "esbuild";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";

const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

const shared = { bundle: true, platform: "node", target: "node20", logLevel: "warning" };
/** Defines `require` for the CommonJS libraries in an ES module bundle. */
const requireBanner = "import { createRequire as makeBundleRequire } from 'node:module';"
    + " const require = makeBundleRequire(import.meta.url);";

const bundles = [
    { entryPoints: ["src/commands/Main.ts"], outfile: "dist/cumincrank.cjs", format: "cjs" },
    { entryPoints: ["src/Library.ts"], outfile: "dist/library.mjs", format: "esm", banner: { js: requireBanner } },
    {
        entryPoints: ["examples/EmbedTwoParts.ts"],
        outfile: "dist/example.mjs",
        format: "esm",
        external: ["cumincrank"],
    },
    { entryPoints: ["bench/Main.ts"], outfile: "dist/bench.mjs", format: "esm", banner: { js: requireBanner } },
    { entryPoints: ["soak/Main.ts"], outfile: "dist/soak.mjs", format: "esm", banner: { js: requireBanner } },
    { entryPoints: ["fuzz/Main.ts"], outfile: "dist/fuzz.mjs", format: "esm", banner: { js: requireBanner } },
    { entryPoints: ["standins/Main.ts"], outfile: "dist/standins.cjs", format: "cjs" },
    { entryPoints: ["standins/Bare.ts"], outfile: "dist/bare.cjs", format: "cjs" },
];

// --target builds only the main program, into target/, from where a deployment takes it.
const isTarget = process.argv.includes("--target");
const targetBundle = { ...bundles[0], outfile: "target/cumincrank.cjs" };

fs.mkdirSync(isTarget ? "target" : "dist", { recursive: true });
for (const bundle of isTarget ? [targetBundle] : bundles) {
    if (fs.existsSync(bundle.entryPoints[0])) {
        await esbuild.build({ ...shared, ...bundle });
    }
}

if (process.argv.includes("--binary")) {
    const sea = {
        main: "dist/cumincrank.cjs",
        output: "dist/cumincrank.blob",
        disableExperimentalSEAWarning: true,
    };
    fs.writeFileSync("dist/sea.json", JSON.stringify(sea));
    childProcess.execFileSync(process.execPath, ["--experimental-sea-config", "dist/sea.json"], { stdio: "inherit" });
    fs.copyFileSync(process.execPath, "dist/cumincrank");
    fs.chmodSync("dist/cumincrank", 0o755);
    const postject = [
        "postject",
        "dist/cumincrank",
        "NODE_SEA_BLOB",
        "dist/cumincrank.blob",
        "--sentinel-fuse",
        SEA_FUSE,
    ];
    childProcess.execFileSync("npx", postject, { stdio: "inherit" });
}
