// Builds the main program into target/, from where a deployment takes it, whatever state node_modules is in.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";

/** npm writes this file last, when everything is installed. */
const INSTALLED_LOCK = "node_modules/.package-lock.json";

function readPackages(lockFile) {
    return JSON.parse(fs.readFileSync(lockFile, "utf8")).packages;
}

/** The packages of the last complete installation; none if it is missing or can't be read. */
function readInstalledPackages() {
    try {
        return readPackages(INSTALLED_LOCK) ?? {};
    }
    catch {
        return {};
    }
}

/** Whether everything that the lock file names is installed; optional packages may be for other machines. */
function isInstalled() {
    const installed = readInstalledPackages();
    return Object.entries(readPackages("package-lock.json")).every(([path, { integrity, optional }]) =>
        path === "" || (path in installed ? installed[path].integrity === integrity : optional === true)
    );
}

/** Whether the command ended with exit code 0. */
function run(command, args) {
    return childProcess.spawnSync(command, args, { stdio: "inherit" }).status === 0;
}

function install() {
    if (!run("npm", ["ci", "--silent", "--include=dev"])) {
        console.error("npm ci failed");
    }
}

function build() {
    return run(process.execPath, ["scripts/build.mjs", "--target"]);
}

if (!isInstalled()) {
    console.error("node_modules isn't complete; installing");
    install();
}
if (!build()) {
    console.error("the build failed; installing anew and building once more");
    install();
    if (!build()) {
        console.error("the build failed; what was in target/ is unchanged");
        process.exit(1);
    }
}
