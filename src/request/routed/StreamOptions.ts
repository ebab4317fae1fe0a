/**
 * What the run of a stream gets from the run of its call.
 */
import * as streamTurns from "../../process/streams/StreamTurns";
import * as sinks from "./EventSink";
import * as senders from "./UpstreamSender";

/** What a stream needs in addition to the sender's context. */
export interface StreamOptions {
    /** The inputs that are held; undefined if they have to be computed before the next send. */
    readonly inputs: () => readonly senders.CallInput[] | undefined;
    /** Computes the inputs again; resolves to false on failure. */
    readonly computeInputs: (signal: AbortSignal) => Promise<boolean>;
    /** Releases the inputs: one of them is lost, or the instance has read them. */
    readonly releaseInputs: () => void;
    /** The version of the software that began the stream in an earlier attempt; undefined if any will do. */
    readonly softwareVersion: string | undefined;
    /** Called before the first event of this answer is forwarded, with the version of the instance that sent it. */
    readonly onFirstEvent: (softwareVersion: string) => void;
    readonly sink: sinks.EventSink;
    /** Shares the event loop with other streams. */
    readonly turns: streamTurns.StreamTurns;
}
