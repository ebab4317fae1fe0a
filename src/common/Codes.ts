/**
 * The numbered result codes. Every answer, rejection, alarm and error of the system carries one.
 * docs/RESULT-CODES.md is generated from this table.
 */

/** Whether a request was executed, as far as is known. */
export type Outcome = "completed" | "not-run" | "unknown";

/** One row of the table of codes. */
export interface ResultCode {
    readonly code: number;
    readonly name: string;
    /** The outcome of a request that ends with this code; undefined for codes that never end one. */
    readonly outcome: Outcome | undefined;
    /** The HTTP status that callers receive. */
    readonly status: number;
    readonly text: string;
}

function row(
    code: number,
    name: string,
    outcome: Outcome | undefined,
    status: number,
    text: string,
): ResultCode {
    return { code, name, outcome, status, text };
}

/** All codes by name. */
export const codes = {
    ok: row(0, "ok", "completed", 200, "The whole answer was produced."),
    upstreamRejected: row(1, "upstream-rejected", "completed", 422, "The upstream answered that it rejects the input."),

    invalidRequest: row(100, "invalid-request", "not-run", 400, "The body or a header is malformed."),
    unknownPipeline: row(101, "unknown-pipeline", "not-run", 404, "No published pipeline has this name."),
    unknownOperation: row(102, "unknown-operation", "not-run", 404, "No published service or operation has this name."),
    unknownTeam: row(103, "unknown-team", "not-run", 403, "No published team has this name."),
    bodyTooLarge: row(104, "body-too-large", "not-run", 413, "The body exceeds the size limit."),
    keyReused: row(105, "key-reused", "not-run", 409, "The idempotency key was used with another body."),
    requestTimeout: row(106, "request-timeout", "not-run", 408, "The caller sent the request too slowly."),
    unknownPath: row(107, "unknown-path", "not-run", 404, "No such path or method."),
    headersTooLarge: row(108, "headers-too-large", "not-run", 431, "The headers exceed the size limit."),
    unknownKey: row(109, "unknown-key", "not-run", 401, "No published team holds this key."),

    deadlineUnreachable: row(200, "deadline-unreachable", "not-run", 503, "The work can't finish within the deadline."),
    overloaded: row(201, "overloaded", "not-run", 503, "The concurrency limit and the queue are full."),
    expired: row(202, "expired", "not-run", 504, "The deadline passed before the work was dispatched."),
    upstreamOut: row(203, "upstream-out", "not-run", 503, "The upstream is out of service."),
    domainOut: row(204, "domain-out", "not-run", 503, "The failure domain is out of service."),
    draining: row(205, "draining", "not-run", 503, "The instance is leaving and takes no new work."),
    otherIncarnation: row(
        206,
        "other-incarnation",
        "not-run",
        503,
        "The agent restarted; the call was for its predecessor.",
    ),
    noInstance: row(207, "no-instance", "not-run", 503, "No instance of the service can be reached."),
    homeUnavailable: row(
        208,
        "home-unavailable",
        "not-run",
        503,
        "The instance responsible for this key is unavailable.",
    ),
    handoverPending: row(209, "handover-pending", "not-run", 503, "The previous home of this key hasn't yielded yet."),
    ledgerFull: row(211, "ledger-full", "not-run", 503, "The at-most-once ledger is full."),
    notReady: row(212, "not-ready", "not-run", 503, "The process doesn't know the configuration yet."),
    refreshing: row(213, "refreshing", "not-run", 503, "The process woke from a pause and is refreshing its view."),
    connectFailed: row(214, "connect-failed", "not-run", 503, "The upstream accepted no connection."),
    retryBudgetSpent: row(215, "retry-budget-spent", "not-run", 503, "No retries are left in the budget."),
    notHome: row(216, "not-home", "not-run", 503, "Another instance is responsible for this key."),
    cancelled: row(217, "cancelled", "not-run", 499, "The caller went away before the work was dispatched."),
    shed: row(218, "shed", "not-run", 503, "Shed by priority under the preset in force."),
    tombstoned: row(219, "tombstoned", "not-run", 503, "The call never arrived, and is refused if it arrives late."),
    modelNotLoaded: row(220, "model-not-loaded", "not-run", 503, "The engine doesn't hold the model now."),
    viewStale: row(221, "view-stale", "not-run", 503, "The key's home is out of touch and may have been replaced."),
    originUnknown: row(
        222,
        "origin-unknown",
        "not-run",
        503,
        "No entry reached knows which software version began it.",
    ),
    versionGone: row(223, "version-gone", "not-run", 503, "No instance of the software version that began it serves."),
    partsHeldBack: row(
        224,
        "parts-held-back",
        "not-run",
        503,
        "This call, or prompts with these parts, crashed several instances.",
    ),
    buffersFull: row(225, "buffers-full", "not-run", 503, "The process has no room for the body at the moment."),

    connectionLost: row(300, "connection-lost", "unknown", 502, "The connection to the agent was lost after dispatch."),
    upstreamReset: row(
        301,
        "upstream-reset",
        "unknown",
        502,
        "The connection to the upstream was lost after dispatch.",
    ),
    upstreamTimeout: row(302, "upstream-timeout", "unknown", 504, "The upstream didn't answer in time."),
    upstreamFailed: row(303, "upstream-failed", "unknown", 502, "The upstream answered with an error of its own."),
    partlyRun: row(304, "partly-run", "unknown", 502, "A stage failed after earlier stages had run."),
    cancelledRunning: row(305, "cancelled-running", "unknown", 499, "The caller went away after dispatch."),
    malformedAnswer: row(306, "malformed-answer", "unknown", 502, "The upstream's answer couldn't be read."),
    streamBroken: row(307, "stream-broken", "unknown", 502, "The stream broke and couldn't be resumed."),
    stopLimit: row(308, "stop-limit", "unknown", 503, "A planned stop reached its time limit and cut the work."),
    stillRunning: row(309, "still-running", "unknown", 504, "The call is still running; ask again with the same key."),
    keyTooOld: row(310, "key-too-old", "unknown", 409, "The key's home restarted; an earlier call may have run."),
    internalError: row(311, "internal-error", "unknown", 500, "The process failed to serve the request; see its log."),
    answerTooLarge: row(312, "answer-too-large", "unknown", 502, "The answer exceeds the size limit."),

    frameTooLarge: row(400, "frame-too-large", undefined, 500, "A frame exceeds the size limit."),
    frameMalformed: row(401, "frame-malformed", undefined, 500, "A frame isn't valid CBOR or fails its schema."),
    protocolUnknown: row(402, "protocol-unknown", undefined, 500, "The peer speaks another protocol version."),
    peerSilent: row(403, "peer-silent", undefined, 500, "The peer sent nothing within the silence limit."),
    peerUnreachable: row(404, "peer-unreachable", undefined, 500, "The peer accepted no connection."),
    peerClosed: row(405, "peer-closed", undefined, 500, "The peer closed the connection."),
    peerSlow: row(406, "peer-slow", undefined, 500, "The peer doesn't read what is sent to it."),

    configurationInvalid: row(
        500,
        "configuration-invalid",
        undefined,
        500,
        "A published configuration fails its checks.",
    ),
    configurationOlder: row(
        501,
        "configuration-older",
        undefined,
        500,
        "A version below the one in force was offered and ignored.",
    ),
    configurationConflict: row(
        502,
        "configuration-conflict",
        undefined,
        500,
        "Two contents were seen under one version.",
    ),
    configurationGap: row(503, "configuration-gap", undefined, 500, "A delta doesn't apply to the version in force."),
    sourceUnavailable: row(
        504,
        "source-unavailable",
        undefined,
        500,
        "A platform service didn't answer or answered malformed.",
    ),
    orderRefused: row(505, "order-refused", undefined, 500, "The engine refused an order for its fencing number."),

    settingsInvalid: row(600, "settings-invalid", undefined, 500, "A settings file can't be read or fails its schema."),
    addressUnavailable: row(601, "address-unavailable", undefined, 500, "A listening address can't be used."),
    platformUnsupported: row(602, "platform-unsupported", undefined, 500, "The process environment isn't supported."),
} as const satisfies Record<string, ResultCode>;

const byNumber = new Map<number, ResultCode>(Object.values(codes).map(entry => [entry.code, entry]));

/** Finds a code by its number; undefined if there is none. */
export function findCode(code: number): ResultCode | undefined {
    return byNumber.get(code);
}

/** An error as a value: a code and its details. */
export interface Failure {
    readonly code: ResultCode;
    readonly detail: string;
    /** Delay before a retry, in milliseconds; undefined when waiting doesn't help. */
    readonly retryAfterMs?: number | undefined;
}

export function failure(code: ResultCode, detail: string, retryAfterMs?: number): Failure {
    return { code, detail, retryAfterMs };
}
