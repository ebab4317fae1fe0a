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
    ["a true history", { calls: [call(), call({ request: "other" })], executions: [execution] }, {}],
    ["a key run twice", { executions: [execution, { key: "k", request: "other" }] }, { runsOverOne: 1 }],
    ["a request without a key run twice", {
        executions: [{ key: undefined, request: "r" }, { key: undefined, request: "r" }],
    }, { runsOverOne: 1 }],
    ["two requests without a key", {
        executions: [{ key: undefined, request: "r" }, { key: undefined, request: "s" }],
    }, {}],
    ["told not run and ran", { calls: [rejection], executions: [execution] }, { notRunButRan: 1 }],
    ["told not run while another request of the key ran", {
        calls: [rejection],
        executions: [{ key: "k", request: "other" }],
    }, {}],
    ["another call's result", { calls: [call({ resultToken: "u" })], executions: [execution] }, { otherResult: 1 }],
    ["completed without a run", { calls: [call()] }, { completedWithoutRun: 1 }],
    ["unknown without a fault", { calls: [unknown] }, { unknownsWithoutFault: 1 }],
    ["unknown after a fault on its path", { calls: [unknown], faults: [fault()] }, {}],
    ["unknown of a key whose earlier call was touched", {
        calls: [unknown, call({ ...unknown, startMs: 5_000, endMs: 5_100 })],
        faults: [fault()],
    }, {}],
    ["unknown long after a fault", {
        calls: [unknown],
        faults: [fault({ startMs: 0, endMs: 10 })],
    }, { unknownsWithoutFault: 1 }],
    ["a key too old long after its home was lost", {
        calls: [call({ ...unknown, code: codes.codes.keyTooOld.code })],
        faults: [fault({ startMs: 0, endMs: 10, ledgerRecoveryMs: 1_000 })],
    }, {}],
    ["another unknown long after its home was lost", {
        calls: [unknown],
        faults: [fault({ startMs: 0, endMs: 10, ledgerRecoveryMs: 1_000 })],
    }, { unknownsWithoutFault: 1 }],
    ["unknown before a fault", {
        calls: [unknown],
        faults: [fault({ startMs: 1_101, endMs: 1_200 })],
    }, { unknownsWithoutFault: 1 }],
    ["unknown with a fault elsewhere", {
        calls: [unknown],
        faults: [fault({ members: ["b"] })],
    }, { unknownsWithoutFault: 1 }],
    ["unknown with a link cut on its path", {
        calls: [unknown],
        faults: [fault({ members: ["e", "a"], isLink: true })],
    }, {}],
    ["unknown with a link cut off its path", {
        calls: [unknown],
        faults: [fault({ members: ["e", "b"], isLink: true })],
    }, { unknownsWithoutFault: 1 }],
    ["unknown without an instance, and a fault at any", {
        calls: [call({ ...unknown, instance: undefined })],
        faults: [fault({ members: ["b"] })],
    }, {}],
    ["a refusal held back", { calls: [call({ ...rejection, endMs: 1_600 })] }, { refusalsHeld: 1 }],
    ["a refusal that a fault delayed", { calls: [call({ ...rejection, endMs: 1_600 })], faults: [fault()] }, {}],
];

describe("checkHistory", () => {
    it.each(cases)("judges %s", (_name, history, expected) => {
        expect(check(history)).toEqual(expected);
    });
});
