/**
 * The events of the streams of an engine's stand-in.
 */
import * as http from "node:http";

/** What the events of an engine's streams are like. */
export interface StreamEvents {
    /** Number of events of each stream; undefined for an engine that doesn't stream. */
    readonly events?: number;
    /** The id of each event, which is given by its number; undefined for one without. The number if not set. */
    readonly eventIdOf?: (event: number) => string | undefined;
    /** Least size of the data of each event. */
    readonly eventBytes?: number;
}

/** The lines of an event before its data. */
export function encodeId(event: number, { eventIdOf = String }: StreamEvents): string {
    const id = eventIdOf(event);
    return id === undefined ? "" : `id: ${id}\n`;
}

/** A complete event. */
export function encodeEvent(event: number, writer: string, stream: StreamEvents): string {
    const data = `part ${event}${writer}`.padEnd(stream.eventBytes ?? 0);
    return `${encodeId(event, stream)}data: ${data}\n\n`;
}

/** The number of the event after which a request goes on; 0 to begin with the first one. */
export function findLastEvent(
    { "last-event-id": lastId }: http.IncomingHttpHeaders,
    { events = 0, eventIdOf = String }: StreamEvents,
): number {
    if (lastId === undefined) {
        return 0;
    }
    const numbers = Array.from({ length: events }, (_, index) => index + 1);
    return numbers.find(event => eventIdOf(event) === lastId) ?? 0;
}
