import * as vitest from "vitest";
import * as clocks from "../../common/Clock";
import * as instanceSpeeds from "./InstanceSpeed";

const STATEMENT_INTERVAL_MS = 500;

function createSpeed(clock: clocks.ManualClock, statements: readonly number[]): instanceSpeeds.InstanceSpeed {
    const speed = new instanceSpeeds.InstanceSpeed(clock);
    for (const statement of statements) {
        speed.state(statement);
        clock.advance(STATEMENT_INTERVAL_MS);
    }
    return speed;
}

vitest.describe("the speed of an instance", () => {
    const cases: readonly {
        readonly name: string;
        readonly statements: readonly number[];
        /** Measured by expected time of calls. */
        readonly measured?: readonly number[];
        readonly min: number;
        readonly max: number;
    }[] = [
        {
            name: "is usual without statements, whatever was measured",
            statements: [],
            measured: [4, 4],
            min: 1,
            max: 1,
        },
        { name: "is that of its statements", statements: [1.6, 1.6, 1.6], min: 1.6, max: 1.6 },
        { name: "isn't that of a moment in which others use the machine", statements: [1, 2.5, 1, 1], min: 1, max: 1 },
        {
            name: "isn't changed by calls that waited behind others",
            statements: [1, 1, 1],
            measured: [0.6, 1, 2, 4, 1],
            min: 1,
            max: 1,
        },
        {
            name: "is corrected by calls that all take much longer than stated",
            statements: [1, 1, 1],
            measured: new Array<number>(31).fill(6),
            min: 1.8,
            max: 2.4,
        },
    ];
    vitest.it.each(cases)("$name", ({ statements, measured = [], min, max }) => {
        const clock = new clocks.ManualClock();
        const speed = createSpeed(clock, statements);
        measured.forEach(ratio => speed.record(100, 100 * ratio));
        vitest.expect(speed.currentSlowness).toBeGreaterThanOrEqual(min - 1e-9);
        vitest.expect(speed.currentSlowness).toBeLessThanOrEqual(max + 1e-9);
    });

    vitest.it("follows its last statement for a short time", () => {
        const clock = new clocks.ManualClock();
        const speed = createSpeed(clock, [1, 1, 1]);
        speed.state(2.5);
        vitest.expect(speed.currentSlowness).toBeCloseTo(2.5);
        clock.advance(300);
        vitest.expect(speed.currentSlowness).toBeCloseTo(1);
    });

    vitest.it("yields to new statements after a change of the machine", () => {
        const clock = new clocks.ManualClock();
        const speed = createSpeed(clock, [...new Array<number>(31).fill(0.6), ...new Array<number>(16).fill(1.6)]);
        vitest.expect(speed.currentSlowness).toBeCloseTo(1.6);
    });

    vitest.it("is told once", () => {
        const speed = createSpeed(new clocks.ManualClock(), [2, 2]);
        vitest.expect(speed.takeUntold()).toEqual([Math.log(2), Math.log(2)]);
        vitest.expect(speed.takeUntold()).toEqual([]);
    });

    vitest.it("has the same class at entries that received different statements", () => {
        const pool = [0.6, 1, 1.6];
        const noisy = (speed: number): number[] => [speed, 2.5 * speed, speed, speed, speed];
        const classesOf = (shift: number): number[] => {
            const clock = new clocks.ManualClock();
            const speeds = pool.map(speed => createSpeed(clock, noisy(speed).slice(0, 3 + shift)));
            const mean = instanceSpeeds.meanLogSlowness(speeds);
            return speeds.map(speed => speed.classOf(mean));
        };
        vitest.expect([0, 1, 2].map(classesOf)).toEqual([[-1, 0, 1], [-1, 0, 1], [-1, 0, 1]]);
    });

    vitest.it("keeps its class while the estimate moves little", () => {
        const clock = new clocks.ManualClock();
        const speed = createSpeed(clock, [1, 1, 1]);
        const classes = [0, 0.2, -0.2, 0.25].map(mean => speed.classOf(mean));
        vitest.expect(new Set(classes)).toEqual(new Set([0]));
    });
});
