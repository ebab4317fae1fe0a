/**
 * The engines of a soak.
 */
import * as engines from "../standins/platform/PlatformEngineStandIn";
import * as stores from "../standins/platform/PlatformStoreStandIn";
import * as relays from "../standins/TcpRelay";
import * as limitChecks from "./LimitCheck";
import * as checks from "./SoakChecks";
import * as histories from "./SoakHistory";

/** Processing time of an engine per call, and its time between two events of a stream. */
const CALL_WORK_MS = 20;
const EVENT_INTERVAL_MS = 40;
/** Number of software versions of the engines that stream. */
const VERSION_COUNT = 3;
/** Number of the first engine. */
export const FIRST_NUMBER = 1;
/** The engines at the start, by service; those with events stream. */
export const ENGINE_GROUPS: readonly { readonly service: string; readonly count: number; readonly events?: number }[] =
    [
        { service: "desk", count: 3 },
        { service: "model", count: 6, events: checks.EVENT_COUNT },
        { service: "archive", count: 2 },
        { service: "ledger", count: 2 },
    ];

/** The engine with this number. Those that stream have one of several software versions; the first one has a limit. */
export function createStandIn(
    number: number,
    service: string,
    failureDomain: string,
    events: number | undefined,
): engines.PlatformEngineStandIn {
    const id = `${service}-${number}`;
    const options = { id, service, failureDomain, serviceMs: CALL_WORK_MS, eventIntervalMs: EVENT_INTERVAL_MS };
    const softwareVersion = `v${1 + Math.floor(number / 2) % VERSION_COUNT}`;
    const standIn = new engines.PlatformEngineStandIn(
        events === undefined ? options : { ...options, events, softwareVersion },
    );
    standIn.limitPerSecond = number === FIRST_NUMBER ? limitChecks.LIMIT_PER_SECOND : undefined;
    return standIn;
}

/** An engine and the link on which entries reach it. */
export interface Engine {
    readonly standIn: engines.PlatformEngineStandIn;
    readonly link: relays.TcpRelay;
}

/** A part of prompts that crashes the engines that begin to answer them. */
export const CRASH_PART = "bad0";

/** The body of a request that crashes the engines that run it. */
export const CRASH_BODY = "crash";

/** Lets prompts with this part, and requests with this body, end an engine, whose link refuses connections until it has started again. */
export function letCrash(
    { standIn, link }: Engine,
    events: { readonly onCrash: (attempt: string) => void; readonly onRestart: () => void },
): void {
    standIn.crashPart = CRASH_PART;
    standIn.crashBody = CRASH_BODY;
    standIn.onCrash = attempt => {
        if (standIn.faults.unframed === true) {
            link.mode = "reset"; // A FIN would complete an answer that ends with its connection, and nobody could tell.
        }
        link.refuse();
        events.onCrash(attempt);
    };
    standIn.onRestart = () => {
        if (!standIn.isLeaving) { // Otherwise it is gone.
            link.acceptAgain();
            events.onRestart();
        }
    };
}

/** Puts an engine's record into the store, unless it was published as draining. */
export function publish(
    store: stores.PlatformStoreStandIn,
    history: histories.SoakHistory,
    { standIn, link }: Engine,
): void {
    const { id } = standIn.options;
    if (!history.drainingSinceMs.has(id)) {
        store.put(`servers/${id}`, standIn.createStoreRecord("ready", link.address));
    }
}
