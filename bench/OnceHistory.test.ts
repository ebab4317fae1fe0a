import * as vitest from "vitest";
import * as codes from "../src/common/Codes";
import * as histories from "./OnceHistory";

const { describe, expect, it } = vitest;

function call(changes: Partial<histories.CallRecord> = {}): histories.CallRecord {
    return {
        key: "k",
        token: "t",
        entry: "e",
        request: "r",
        outcome: "completed",
        code: codes.codes.ok.code,
        instance: "a",
        resultToken: "t",
        startMs: 1_000,
        endMs: 1_100,
        deadlineMs: 1_000,
        ...changes,
    };
}

function fault(changes: Partial<histories.FaultRecord> = {}): histories.FaultRecord {
    return { kind: "kill", members: ["a"], isLink: false, startMs: 900, endMs: 950, recoveryMs: 100, ...changes };
}

const execution = { key: "k", request: "r" };
const unknown = call({ outcome: "unknown", code: codes.codes.connectionLost.code, resultToken: undefined });
const rejection = call({ outcome: "not-run", code: codes.codes.homeUnavailable.code, resultToken: undefined });

function check(parts: Partial<histories.History>): Partial<histories.Verdict> {
    const verdict = histories.checkHistory({ calls: [], executions: [], faults: [], instances: ["a", "b"], ...parts });
    const violations = Object.entries(verdict).filter(([name, count]) =>
        count > 0 && !["calls", "completed", "notRun", "executions", "unknowns", "repeats"].includes(name)
    );
    return Object.fromEntries(violations);
}

const cases: [string, Partial<histories.History>, Partial<histories.Verdict>][] = [
    ["a history without violations", { calls: [call(), call({ request: "other" })], executions: [execution] }, {}],
    ["a key executed twice", { executions: [execution, { key: "k", request: "other" }] }, { runsOverOne: 1 }],
    ["a request without a key executed twice", {
        executions: [{ key: undefined, request: "r" }, { key: undefined, request: "r" }],
    }, { runsOverOne: 1 }],
    ["two requests without a key", {
        executions: [{ key: undefined, request: "r" }, { key: undefined, request: "s" }],
    }, {}],
    ["a call answered not-run that was executed", { calls: [rejection], executions: [execution] }, { notRunButRan: 1 }],
    ["a call answered not-run whose key was executed by another request", {
        calls: [rejection],
        executions: [{ key: "k", request: "other" }],
    }, {}],
    ["a call answered with another call's result", { calls: [call({ resultToken: "u" })], executions: [execution] }, {
        otherResult: 1,
    }],
    ["a completed call without an execution", { calls: [call()] }, { completedWithoutRun: 1 }],
    ["an unknown outcome without a fault", { calls: [unknown] }, { unknownsWithoutFault: 1 }],
    ["an unknown outcome after a fault on its path", { calls: [unknown], faults: [fault()] }, {}],
    ["an unknown outcome of a key whose earlier call was affected by a fault", {
        calls: [unknown, call({ ...unknown, startMs: 5_000, endMs: 5_100 })],
        faults: [fault()],
    }, {}],
    ["an unknown outcome long after a fault", {
        calls: [unknown],
        faults: [fault({ startMs: 0, endMs: 10 })],
    }, { unknownsWithoutFault: 1 }],
    ["a key rejected as too old long after its home was lost", {
        calls: [call({ ...unknown, code: codes.codes.keyTooOld.code })],
        faults: [fault({ startMs: 0, endMs: 10, ledgerRecoveryMs: 1_000 })],
    }, {}],
    ["another unknown outcome long after the home was lost", {
        calls: [unknown],
        faults: [fault({ startMs: 0, endMs: 10, ledgerRecoveryMs: 1_000 })],
    }, { unknownsWithoutFault: 1 }],
    ["an unknown outcome before a fault", {
        calls: [unknown],
        faults: [fault({ startMs: 1_101, endMs: 1_200 })],
    }, { unknownsWithoutFault: 1 }],
    ["an unknown outcome with a fault off its path", {
        calls: [unknown],
        faults: [fault({ members: ["b"] })],
    }, { unknownsWithoutFault: 1 }],
    ["an unknown outcome with a cut link on its path", {
        calls: [unknown],
        faults: [fault({ members: ["e", "a"], isLink: true })],
    }, {}],
    ["an unknown outcome with a cut link that isn't on its path", {
        calls: [unknown],
        faults: [fault({ members: ["e", "b"], isLink: true })],
    }, { unknownsWithoutFault: 1 }],
    ["an unknown outcome without an instance, with a fault at any instance", {
        calls: [call({ ...unknown, instance: undefined })],
        faults: [fault({ members: ["b"] })],
    }, {}],
    ["a delayed rejection", { calls: [call({ ...rejection, endMs: 1_600 })] }, { refusalsHeld: 1 }],
    ["a rejection delayed by a fault", { calls: [call({ ...rejection, endMs: 1_600 })], faults: [fault()] }, {}],
];

describe("checkHistory", () => {
    it.each(cases)("checks %s", (_name, history, expected) => {
        expect(check(history)).toEqual(expected);
    });
});
