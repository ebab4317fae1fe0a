// Bundles the programs into dist/; with --binary, also builds the single executable dist/cumincrank. With --target,
// builds only the main program, into target/, from where a deployment takes it.
import * as esbuild from "esbuild";
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";

const SEA_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/** The file that starts the main program, and the one that it loads. */
const START_FILE = "cumincrank.cjs";
const MAIN_FILE = "cumincrank-main.cjs";

const { engines } = JSON.parse(fs.readFileSync("package.json", "utf8"));
const oldestNode = engines.node.replace(">=", "node");
const shared = { bundle: true, platform: "node", target: oldestNode, logLevel: "warning" };
/** Defines `require` for the CommonJS libraries in an ES module bundle. */
const requireBanner = "import { createRequire as makeBundleRequire } from 'node:module';"
    + " const require = makeBundleRequire(import.meta.url);";

/** Keeps the command line out of the bundle that imports it. */
const mainInOwnFile = {
    name: "main-in-own-file",
    setup: build => build.onResolve({ filter: /^\.\/Main$/ }, () => ({ path: `./${MAIN_FILE}`, external: true })),
};

const bundles = [
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
    { entryPoints: ["standins/EndlessPeer.ts"], outfile: "dist/endless-peer.cjs", format: "cjs" },
    { entryPoints: ["standins/ProcessorQuota.ts"], outfile: "dist/processor-quota.cjs", format: "cjs" },
];

/** Bundles the main program into two files in a folder. */
async function buildProgram(folder) {
    await esbuild.build({
        ...shared,
        entryPoints: ["src/commands/Main.ts"],
        outfile: path.join(folder, MAIN_FILE),
        format: "cjs",
    });
    await esbuild.build({
        ...shared,
        entryPoints: ["src/commands/Start.ts"],
        outfile: path.join(folder, START_FILE),
        format: "cjs",
        // An older Node.js has to be able to parse the file that says so.
        target: "es2015",
        supported: { "dynamic-import": false },
        plugins: [mainInOwnFile],
    });
}

/** Replaces the program in target/ by one that has run; a process that starts meanwhile finds either one whole. */
async function buildTarget() {
    fs.mkdirSync("target", { recursive: true });
    const folder = fs.mkdtempSync("target/build-");
    try {
        await buildProgram(folder);
        childProcess.execFileSync(process.execPath, [path.join(folder, START_FILE), "--version"], { stdio: "inherit" });
        for (const file of [MAIN_FILE, START_FILE]) {
            fs.renameSync(path.join(folder, file), path.join("target", file));
        }
    }
    finally {
        fs.rmSync(folder, { recursive: true });
    }
}

async function buildAll() {
    fs.mkdirSync("dist", { recursive: true });
    await buildProgram("dist");
    for (const bundle of bundles) {
        if (fs.existsSync(bundle.entryPoints[0])) {
            await esbuild.build({ ...shared, ...bundle });
        }
    }
}

/** Builds the single executable, which loads no other files. */
async function buildBinary() {
    const main = "dist/cumincrank-binary.cjs";
    await esbuild.build({ ...shared, entryPoints: ["src/commands/Start.ts"], outfile: main, format: "cjs" });
    const sea = { main, output: "dist/cumincrank.blob", disableExperimentalSEAWarning: true };
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

if (process.argv.includes("--target")) {
    await buildTarget();
}
else {
    await buildAll();
}
if (process.argv.includes("--binary")) {
    await buildBinary();
}
