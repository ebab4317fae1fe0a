/**
 * Experiment `backlog`: entries send prompts of very different size to engines of three speeds, each knowing its own
 * calls and what answers state. Compared with one chooser that knows every speed, queue and cached part, and with the
 * same entries while the engines state nothing of their speed. Virtual time.
 */
import * as clocks from "../src/common/Clock";
import * as logs from "../src/common/Log";
import * as randoms from "../src/common/Random";
import * as routingPorts from "../src/common/RoutingPorts";
import * as pools from "../src/process/instances/InstancePool";
import * as leavingInstances from "../src/process/instances/LeavingInstances";
import * as views from "../src/process/published/PublishedView";
import * as fleetFixtures from "../src/process/shares/FleetFixture";
import * as worlds from "./BacklogWorld";
import * as experiments from "./Experiment";

const ENTRIES = 30;
const ENGINES = 36;
const CALLS = 8_000;
/** Calls at the start that aren't measured: what an entry learns in 200 calls. */
const WARM_UP_CALLS = 200 * ENTRIES / 4;
const CALL_INTERVAL_MS = 8;
const SHARED_PARTS = 400;
const SHARED_TOKENS = 4_000;
const MEAN_OWN_TOKENS = 2_000;
/** Spread of the own parts' sizes, and the share of those that are several times as large. */
const SIZE_SPREAD = 1.6;
const LARGE_SHARE = 0.01;
const LARGE_FACTOR = 5;
/** Interval at which an entry tells others what it has learnt, and the number that it tells. */
const TELL_INTERVAL_CALLS = 125;
const TOLD_ENTRIES = 8;
/** What the operators ask for, relative to the chooser that knows everything. */
const MAX_MEAN_RATIO = 1.15;
const MAX_P99_RATIO = 1.3;
const P99 = 0.99;

interface Outcome {
    readonly meanMs: number;
    readonly p99Ms: number;
}

type Choose = (parts: readonly routingPorts.PromptPart[], engines: readonly worlds.BacklogEngine[], nowMs: number) => {
    readonly engine: worlds.BacklogEngine;
    /** Called with the answer of the engine. */
    readonly onAnswer: (load: routingPorts.InstanceLoad) => void;
};

/** Sends all calls; `choose` picks the engine of each. */
function play(seed: number, clock: clocks.ManualClock, choose: Choose): Outcome {
    const random = randoms.createRandom(seed);
    const engines = Array.from({ length: ENGINES }, (_, index) => new worlds.BacklogEngine(index, seed));
    const times: number[] = [];
    for (let call = 0; call < CALLS; call++) {
        const nowMs = clock.now();
        const size = SIZE_SPREAD ** (2 * random() - 1) * (random() < LARGE_SHARE ? LARGE_FACTOR : 1);
        const parts = [
            { id: `shared-${Math.floor(random() * SHARED_PARTS)}`, tokens: SHARED_TOKENS },
            { id: `own-${call}`, tokens: Math.round(MEAN_OWN_TOKENS * size) },
        ];
        const { engine, onAnswer } = choose(parts, engines, nowMs);
        const firstEventAtMs = engine.accept(parts, nowMs);
        clock.schedule(firstEventAtMs - nowMs, () => onAnswer(engine.answer(clock.now())));
        if (call >= WARM_UP_CALLS) {
            times.push(firstEventAtMs - nowMs);
        }
        clock.advance(CALL_INTERVAL_MS);
    }
    times.sort((left, right) => left - right);
    return {
        meanMs: times.reduce((sum, time) => sum + time, 0) / times.length,
        p99Ms: times[Math.floor(P99 * times.length)]!,
    };
}

/** The engine whose first event would come first. */
function chooseKnowing(
    parts: readonly routingPorts.PromptPart[],
    engines: readonly worlds.BacklogEngine[],
    nowMs: number,
): ReturnType<Choose> {
    const times = engines.map(engine => engine.firstEventAtMs(parts, nowMs));
    return { engine: engines[times.indexOf(Math.min(...times))]!, onAnswer: () => undefined };
}

/** The choice of one of several entries by turns; `isStated`: whether answers state how long work takes. */
function createEntries(seed: number, clock: clocks.ManualClock, isStated: boolean): Choose {
    const random = randoms.createRandom(seed + 1);
    const entries = Array.from({ length: ENTRIES }, () => createPool(clock, random));
    let calls = 0;
    return (parts, engines) => {
        const entry = entries[Math.floor(random() * ENTRIES)]!;
        if (calls++ % TELL_INTERVAL_CALLS === 0) {
            entries.forEach(teller => tell(teller, entries, random));
        }
        const chosen = entry.choose({
            service: "model",
            promptTokens: parts.reduce((sum, part) => sum + part.tokens, 0),
            promptParts: parts,
            inputBytesByDomain: new Map(),
            triedIncarnations: new Set(),
            softwareVersion: undefined,
        })!;
        const ticket = chosen.traffic.begin(chosen.missingTokens, parts.map(part => part.id), true);
        return {
            engine: engines.find(({ instance }) => instance.id === chosen.instance.id)!,
            onAnswer: load => {
                chosen.traffic.recordLoadReport(isStated ? load : { ...load, slowdown: undefined });
                ticket.recordEvent();
                ticket.end("ok");
            },
        };
    };
}

function createPool(clock: clocks.ManualClock, random: () => number): pools.InstancePool {
    const instances = Array.from({ length: ENGINES }, (_, index) => new worlds.BacklogEngine(index, 0).instance);
    const view = new views.PublishedView({
        clock,
        log: logs.silentLog,
        decode: item => ({ kind: "instance", instance: instances.find(instance => instance.id === item.key)! }),
    });
    const items = instances.map(({ id }) => ({ key: id, era: 0, revision: 1, content: Buffer.from(id) }));
    view.apply({ items, era: 0, revision: 1, isWhole: true }, "store");
    return new pools.InstancePool({
        clock,
        log: logs.silentLog,
        random,
        view,
        leaving: new leavingInstances.LeavingInstances(clock),
        failureDomain: "a",
        fleet: fleetFixtures.knownFleet(["entry"]),
        coldRateLimit: () => ({ factor: 1, extra: 0 }),
    });
}

/** Tells some entries, picked at random, what one has learnt since it last did. */
function tell(teller: pools.InstancePool, entries: readonly pools.InstancePool[], random: () => number): void {
    const told = Array.from({ length: TOLD_ENTRIES }, () => entries[Math.floor(random() * entries.length)]!);
    for (const [incarnation, speed] of teller.speeds()) {
        const statements = speed.takeUntold();
        new Set(told).forEach(entry => entry === teller || entry.findSpeed(incarnation)?.add(statements));
    }
}

export const backlog: experiments.Experiment = {
    name: "backlog",
    run(seed) {
        const knowing = play(seed, new clocks.ManualClock(), chooseKnowing);
        const outcomeOf = (isStated: boolean): Outcome => {
            const clock = new clocks.ManualClock();
            return play(seed, clock, createEntries(seed, clock, isStated));
        };
        const unstated = outcomeOf(false);
        const stated = outcomeOf(true);
        return Promise.resolve({
            baseline: {
                knowingMeanMs: knowing.meanMs,
                knowingP99Ms: knowing.p99Ms,
                unstatedMeanRatio: unstated.meanMs / knowing.meanMs,
                unstatedP99Ratio: unstated.p99Ms / knowing.p99Ms,
            },
            policy: {
                meanRatio: stated.meanMs / knowing.meanMs,
                p99Ratio: stated.p99Ms / knowing.p99Ms,
                shareOfUnstated: stated.meanMs / unstated.meanMs,
            },
            bounds: {
                meanRatio: { atMost: MAX_MEAN_RATIO },
                p99Ratio: { atMost: MAX_P99_RATIO },
                shareOfUnstated: { atMost: 1 },
            },
        });
    },
};
