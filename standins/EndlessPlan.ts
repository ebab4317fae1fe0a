/**
 * What a faulty peer sends without an end, and what it reports of it.
 */

/** A unit that is sent again and again; `{n}` in a text stands for a number that is higher each time. */
export interface Repetition {
    /** What precedes the units on each connection. */
    readonly start: string;
    /** Characters are bytes; empty if nothing is repeated. */
    readonly unit: string;
    /** Least number of bytes that are written at once; the next write follows when these were taken. */
    readonly writeBytes: number;
}

/** How requests are answered. */
export interface Answers extends Repetition {
    /** Whether each request gets `start` and one unit; `{length}` in `start` stands for the length of the unit. */
    readonly answersEach?: boolean;
}

/** Answers requests; `{attempt}` in its texts stands for the attempt of the answered request. */
export interface ServerPlan extends Answers {
    readonly kind: "server";
    /** Address to which connections are relayed until the peer is told to begin. */
    readonly relay?: string;
}

/** Opens connections, each of which begins with `start`, once the peer is told to begin. */
export interface ClientPlan extends Repetition {
    readonly kind: "client";
    readonly address: string;
    /** Most connections at a time. */
    readonly connections: number;
    readonly openIntervalMs: number;
    readonly readsAnswers: boolean;
    /** Time after which a connection is closed; undefined if it stays. */
    readonly lifetimeMs?: number;
}

/** Makes a client open its connections, a server that relays answer itself, or relay again. */
export interface Command {
    readonly kind: "begin" | "relay";
    /** Answers in place of those of the plan. */
    readonly answers?: Answers;
}

export type Plan = ServerPlan | ClientPlan;

/** Address on which a server listens; empty for a client. */
export interface Listening {
    readonly address: string;
}

/** What has happened so far. */
export interface Progress {
    readonly connections: number;
    readonly openedConnections: number;
    readonly answeredRequests: number;
    /** Bytes that the operating system has taken. */
    readonly sentBytes: number;
}
