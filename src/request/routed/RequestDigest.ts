/**
 * Identifies a request that comes again: by its path, its caller and its body, whatever the attempt.
 */
import * as crypto from "node:crypto";
import * as crashMonitors from "../../process/crashes/CrashMonitor";
import * as calls from "./RoutedCall";

/** Length of a digest in hexadecimal digits. */
const DIGEST_LENGTH = 32;

/**
 * Digests of a request: of path, caller and body, and with a prompt also of that, as requests may differ in it alone.
 * The caller is the team, whichever of its keys it uses.
 */
export function digestRequest(
    call: Pick<calls.RoutedCall, "route" | "path" | "team" | "body" | "metadata">,
): readonly string[] {
    const { route, path, team, body, metadata } = call;
    const request = JSON.stringify([route.host, path, team?.name ?? ""]);
    const prompt = metadata.promptParts.map(({ id }) => id).join(",");
    return [digest(request, body), ...(prompt === "" ? [] : [digest(`${request}${prompt}`, body)])];
}

const observedCalls = new WeakMap<calls.RoutedCall, crashMonitors.ObservedCall>();

/** A call as it is observed for crashes of instances; its digests are computed at most once. */
export function observedCall(call: calls.RoutedCall): crashMonitors.ObservedCall {
    let observed = observedCalls.get(call);
    if (observed === undefined) {
        const { attempt, promptParts } = call.metadata;
        let digests: readonly string[] | undefined;
        observed = { attempt, promptParts, requestDigests: () => digests ??= digestRequest(call) };
        observedCalls.set(call, observed);
    }
    return observed;
}

function digest(text: string, body: Buffer | undefined): string {
    const hash = crypto.createHash("sha256").update(text).update("\0").update(body ?? "");
    return hash.digest("hex").slice(0, DIGEST_LENGTH);
}
