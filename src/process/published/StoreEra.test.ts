import * as vitest from "vitest";
import * as positions from "../../common/Position";
import * as routing from "../../common/Routing";
import * as storeEras from "./StoreEra";

const { MISSING_INSTANCE_MS, SERVICE_STATE_MS, LEFT_INSTANCE_MS } = storeEras;
const APPLY: storeEras.Decision = { kind: "apply", delayMs: 0 };
const IGNORE: storeEras.Decision = { kind: "ignore" };
const KEEP: storeEras.Decision = { kind: "keep" };

const outOfService: routing.PublishedRecord = { kind: "out-of-service", failureDomain: "a" };

function at(era: number, revision: number): positions.Position {
    return { era, revision };
}

function instance(state: "ready" | "draining", startedMs = 5, recordNumber?: number): routing.PublishedRecord {
    const place = { service: "desk", softwareVersion: "v1", address: "10.0.0.1:1", failureDomain: "a" };
    const fixed = { id: "i", ...place, slots: 1, coldLeftMs: 0 };
    return { kind: "instance", instance: { ...fixed, state, startedMs, recordNumber } };
}

function configuration(version: number): routing.PublishedRecord {
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return {
        kind: "configuration",
        configuration: { version, routes: [], services: [], teams: undefined, limits },
    };
}

function known(
    record: routing.PublishedRecord | undefined,
    position = at(1, 90),
    deleted: { readonly isDeleted: boolean; readonly startedMs?: number; readonly recordNumber?: number } = {
        isDeleted: false,
    },
): storeEras.KnownKey {
    const { isDeleted, startedMs, recordNumber } = deleted;
    const deletedInstance = startedMs === undefined ? undefined : { startedMs, recordNumber };
    return { position, record, isDeleted, deletedInstance };
}

/** An item that a backup of era 2 has, or the lack of one. */
function backedUp(record: routing.PublishedRecord | undefined, revision = 70): storeEras.ArrivedItem {
    return { position: at(2, revision), record, isFromBackup: true };
}

/** An item that was written after the restore. */
function written(record: routing.PublishedRecord | undefined, position = at(2, 75)): storeEras.ArrivedItem {
    return { position, record, isFromBackup: false };
}

const nothing = known(undefined, positions.START);

vitest.describe("an item of the store", () => {
    const cases: readonly {
        readonly name: string;
        readonly known: storeEras.KnownKey;
        readonly item: storeEras.ArrivedItem;
        readonly graceMs?: number;
        readonly expected: storeEras.Decision;
    }[] = [
        { name: "of an unknown key", known: nothing, item: backedUp(instance("ready")), expected: APPLY },
        {
            name: "of a later revision",
            known: known(instance("ready")),
            item: written(instance("draining"), at(1, 91)),
            expected: APPLY,
        },
        {
            name: "of an earlier revision",
            known: known(instance("ready")),
            item: written(instance("draining"), at(1, 89)),
            expected: IGNORE,
        },
        {
            name: "of an earlier era, whatever its revision",
            known: known(instance("ready"), at(2, 3)),
            item: written(instance("draining"), at(1, 900)),
            expected: IGNORE,
        },
        {
            name: "that deletes an instance after an outage",
            known: known(instance("ready")),
            item: written(undefined, at(1, 91)),
            graceMs: 500,
            expected: { kind: "remove", delayMs: 500 },
        },
    ];
    vitest.it.each(cases)("$name", ({ known: knownKey, item, graceMs, expected }) => {
        vitest.expect(storeEras.decide(knownKey, item, graceMs ?? 0)).toEqual(expected);
    });
});

vitest.describe("a configuration", () => {
    const inForce = known(configuration(7));
    vitest.it.each([
        { name: "of a lower version in a backup", item: backedUp(configuration(6)), expected: KEEP },
        { name: "of a lower version written in a later era", item: written(configuration(6)), expected: KEEP },
        { name: "of a lower version in the same era", item: written(configuration(6), at(1, 95)), expected: KEEP },
        { name: "of the same version", item: written(configuration(7)), expected: KEEP },
        { name: "of a higher version", item: written(configuration(8)), expected: APPLY },
        { name: "of a higher version from an earlier era", item: written(configuration(8), at(1, 9)), expected: APPLY },
        { name: "that a backup lacks", item: backedUp(undefined), expected: KEEP },
        { name: "that can't be read", item: written({ kind: "unreadable", reason: "test" }), expected: KEEP },
    ])("$name", ({ item, expected }) => {
        vitest.expect(storeEras.decide(inForce, item, 0)).toEqual(expected);
    });
});

vitest.describe("an instance", () => {
    const left = { isDeleted: true, startedMs: 5 };
    const holdLeft: storeEras.Decision = { kind: "apply", delayMs: LEFT_INSTANCE_MS };
    const removeMissing: storeEras.Decision = { kind: "remove", delayMs: MISSING_INSTANCE_MS };
    const cases: readonly {
        readonly name: string;
        readonly known: storeEras.KnownKey;
        readonly item: storeEras.ArrivedItem;
        readonly expected: storeEras.Decision;
    }[] = [
        {
            name: "that the backup has as known",
            known: known(instance("ready")),
            item: backedUp(instance("ready")),
            expected: APPLY,
        },
        {
            name: "that the backup lacks",
            known: known(instance("ready")),
            item: backedUp(undefined),
            expected: removeMissing,
        },
        {
            name: "that drains, where the backup has it ready",
            known: known(instance("draining")),
            item: backedUp(instance("ready")),
            expected: holdLeft,
        },
        {
            name: "that drains, and has started again in the backup",
            known: known(instance("draining")),
            item: backedUp(instance("ready", 6)),
            expected: APPLY,
        },
        {
            name: "that drains, and has written since the restore",
            known: known(instance("draining")),
            item: written(instance("ready")),
            expected: APPLY,
        },
        {
            name: "that was deleted, where the backup has it",
            known: known(undefined, at(1, 90), left),
            item: backedUp(instance("ready")),
            expected: holdLeft,
        },
        {
            name: "whose deletion is delayed, where the backup has it",
            known: known(instance("ready"), at(1, 90), { isDeleted: true }),
            item: backedUp(instance("ready")),
            expected: holdLeft,
        },
        {
            name: "that was deleted, and has started again in the backup",
            known: known(undefined, at(1, 90), left),
            item: backedUp(instance("ready", 6)),
            expected: APPLY,
        },
        {
            name: "that was deleted, and has written since the restore",
            known: known(undefined, at(1, 90), left),
            item: written(instance("ready")),
            expected: APPLY,
        },
        {
            name: "of whose deletion no start is known",
            known: known(undefined, at(1, 90), { isDeleted: true }),
            item: backedUp(instance("ready", 6)),
            expected: holdLeft,
        },
        {
            name: "that an earlier backup lacked, where the next one has it",
            known: known(undefined, at(1, 90), { isDeleted: false, startedMs: 5 }),
            item: backedUp(instance("ready")),
            expected: APPLY,
        },
        {
            name: "whose predecessor of the same ID the backup has",
            known: known(instance("ready", 6)),
            item: backedUp(instance("ready", 5)),
            expected: removeMissing,
        },
    ];
    vitest.it.each(cases)("$name", ({ known: knownKey, item, expected }) => {
        vitest.expect(storeEras.decide(knownKey, item, 0)).toEqual(expected);
    });
});

vitest.describe("a failure domain out of service", () => {
    vitest.it.each([
        {
            name: "that the backup has in service",
            known: known(outOfService),
            item: backedUp(undefined),
            expected: { kind: "remove", delayMs: SERVICE_STATE_MS },
        },
        {
            name: "that is back in service after the restore",
            known: known(outOfService),
            item: written(undefined),
            expected: { kind: "remove", delayMs: 0 },
        },
        {
            name: "in the backup, which was back in service",
            known: known(undefined, at(1, 90), { isDeleted: true }),
            item: backedUp(outOfService),
            expected: { kind: "apply", delayMs: SERVICE_STATE_MS },
        },
        {
            name: "since the restore, which was back in service",
            known: known(undefined, at(1, 90), { isDeleted: true }),
            item: written(outOfService),
            expected: APPLY,
        },
        { name: "in the backup, which was never known", known: nothing, item: backedUp(outOfService), expected: APPLY },
    ])("$name", ({ known: knownKey, item, expected }) => {
        vitest.expect(storeEras.decide(knownKey, item, 0)).toEqual(expected);
    });
});

vitest.describe("a record that follows another one of its instance", () => {
    const LATE: storeEras.Decision = { kind: "late" };
    const later = at(1, 91);
    const draining = known(instance("draining", 5, 9));
    const deleted = known(undefined, at(1, 90), { isDeleted: true, startedMs: 5, recordNumber: 9 });
    const unstatedStart = routing.UNSTATED_START_MS;
    // Guards against an instance that leaves and seems to be ready again (review/14): the store has done a write late.
    vitest.it.each([
        { name: "is late if it was written before", known: draining, record: instance("ready", 5, 5), expected: LATE },
        { name: "isn't if it was written after", known: draining, record: instance("ready", 5, 10), expected: APPLY },
        { name: "isn't if it has the same number", known: draining, record: instance("ready", 5, 9), expected: APPLY },
        { name: "isn't if it has none", known: draining, record: instance("ready", 5), expected: APPLY },
        {
            name: "isn't if the one in force has none",
            known: known(instance("draining", 5)),
            record: instance("ready", 5, 1),
            expected: APPLY,
        },
        { name: "isn't if it is of a new start", known: draining, record: instance("ready", 6, 1), expected: APPLY },
        {
            name: "is late without a stated start",
            known: known(instance("draining", unstatedStart, 9)),
            record: instance("ready", unstatedStart, 5),
            expected: LATE,
        },
        { name: "is late after a deletion", known: deleted, record: instance("ready", 5, 8), expected: LATE },
        {
            name: "isn't after a deletion if it was written after it",
            known: deleted,
            record: instance("ready", 5, 10),
            expected: APPLY,
        },
        {
            name: "isn't after a deletion if it is of a new start",
            known: deleted,
            record: instance("ready", 6, 1),
            expected: APPLY,
        },
        {
            name: "isn't after a deletion without a stated start",
            known: known(undefined, at(1, 90), { isDeleted: true, startedMs: unstatedStart, recordNumber: 9 }),
            record: instance("ready", unstatedStart, 1),
            expected: APPLY,
        },
    ])("$name", ({ known: knownKey, record, expected }) => {
        vitest.expect(storeEras.decide(knownKey, written(record, later), 0)).toEqual(expected);
    });

    vitest.it("isn't late if it is of a restored backup", () => {
        const expected: storeEras.Decision = { kind: "apply", delayMs: LEFT_INSTANCE_MS };
        vitest.expect(storeEras.decide(draining, backedUp(instance("ready", 5, 5)), 0)).toEqual(expected);
    });
});
