import * as vitest from "vitest";
import * as fits from "./LinearFit";

const { expect, it } = vitest;

const tables: [string, [number, number][], fits.Line][] = [
    ["points on a line", [[1, 5], [2, 7], [4, 11]], { slope: 2, intercept: 3, residual: 0 }],
    ["a constant value", [[1, 4], [2, 4], [3, 4]], { slope: 0, intercept: 4, residual: 0 }],
    ["a point off the line", [[0, 0], [1, 4], [2, 2]], { slope: 1, intercept: 1, residual: 0.5 }],
];
it.each(tables)("fits %s", (_, points, expected) => {
    const line = fits.fit(points.map(([size, value]) => ({ size, value })));
    expect(line.slope).toBeCloseTo(expected.slope);
    expect(line.intercept).toBeCloseTo(expected.intercept);
    expect(line.residual).toBeCloseTo(expected.residual);
});
