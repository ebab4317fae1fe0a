import * as vitest from "vitest";
import * as fits from "./LinearFit";

const { expect, it } = vitest;

const tables: [string, [number, number][], fits.Line][] = [
    ["a line", [[1, 5], [2, 7], [4, 11]], { slope: 2, fixed: 3, residual: 0 }],
    ["a constant", [[1, 4], [2, 4], [3, 4]], { slope: 0, fixed: 4, residual: 0 }],
    ["a point off the line", [[0, 0], [1, 4], [2, 2]], { slope: 1, fixed: 1, residual: 0.5 }],
];
it.each(tables)("fits %s", (_, points, expected) => {
    const line = fits.fit(points.map(([size, value]) => ({ size, value })));
    expect(line.slope).toBeCloseTo(expected.slope);
    expect(line.fixed).toBeCloseTo(expected.fixed);
    expect(line.residual).toBeCloseTo(expected.residual);
});
