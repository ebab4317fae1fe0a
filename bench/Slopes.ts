/**
 * Measures the slopes for the formulas of docs/CAPACITY.md on the code of the system, and writes their table into that
 * page between two markers.
 */
import * as fs from "node:fs";
import * as fits from "./LinearFit";
import * as slopes from "./Slope";
import * as bytes from "./SlopeBytes";
import * as inFlight from "./SlopeInFlight";
import * as memory from "./SlopeMemory";
import * as times from "./SlopeTime";

const PAGE = "docs/CAPACITY.md";
const BEGIN = "<!-- slopes: written by npm run bench -- slopes -->";
const END = "<!-- end of slopes -->";

/** Measures all slopes and replaces the page's table; resolves to false if the page lacks the markers. */
export async function writeSlopes(): Promise<boolean> {
    const measured = [
        ...bytes.measureAll(),
        ...await memory.measureAll(),
        ...await inFlight.measureAll(),
        ...times.measureAll(),
    ];
    const table = formatTable(measured);
    console.log(table);
    const page = fs.readFileSync(PAGE, "utf8");
    const begin = page.indexOf(BEGIN);
    const end = page.indexOf(END);
    if (begin < 0 || end < begin) {
        console.error(`${PAGE} has no markers for the table`);
        return false;
    }
    fs.writeFileSync(PAGE, `${page.slice(0, begin + BEGIN.length)}\n\n${table}\n${page.slice(end)}`);
    return true;
}

function formatTable(measured: readonly slopes.Slope[]): string {
    const rows = measured.map(slope => {
        const line = fits.fit(slope.points);
        const points = slope.points.map(({ size, value }) => `${size}: ${formatValue(value)}`).join(", ");
        const residual = `${Math.round(line.residual * 100)}%`;
        const cells = [
            slope.symbol,
            slope.quantity,
            slope.unit,
            formatValue(line.intercept),
            formatValue(line.slope),
            slope.per,
        ];
        return `| ${[...cells, residual, points].join(" | ")} |`;
    });
    return [
        "| symbol | quantity | unit | fixed | slope | per | residual | measured (size: value) |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
        ...rows,
        "",
    ].join("\n");
}

function formatValue(value: number): string {
    return String(Number(value.toPrecision(value >= 1_000 ? 4 : 3)));
}
