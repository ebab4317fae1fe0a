// Model engines of the scripts: they stream events of a known number.
import * as kit from "./kit.mjs";

/** The events of a whole stream. */
export function wholeBody(attempt, events) {
    return Array.from({ length: events }, (_, index) => event(attempt, index + 1)).join("");
}

function event(attempt, id) {
    return `id: ${id}\ndata: ${attempt} piece ${id}\n\n`;
}

/** Starts a model engine. `choose` returns how one answer is written: `{ events, gapMs, firstMs, isUnframed }`. */
export function startModel(zone, record, choose, onRun = () => undefined) {
    return new kit.Engine("bench", zone, 64, async (request, response, body, engine) => {
        const attempt = request.headers["attempt-id"];
        if (attempt === undefined) {
            response.writeHead(400, { "Not-Executed": "1" }).end();
            return;
        }
        const rejected = onRun(attempt, request, engine);
        if (rejected !== undefined) {
            response.writeHead(rejected, { "Not-Executed": "1", "Attempt-Id": attempt }).end();
            return;
        }
        const { events, gapMs, firstMs = 100, isUnframed = false } = choose(engine, attempt);
        record.add(`engine ${engine.id} runs ${attempt}${isUnframed ? ", answers without a length" : ""}`);
        await kit.sleep(firstMs);
        if (isUnframed) {
            response.shouldKeepAlive = false;
            response.useChunkedEncodingByDefault = false;
        }
        response.writeHead(200, {
            "Attempt-Id": attempt,
            "Route-Stamp": `3e1b.07.${engine.id}`,
            "Engine-Load": "1,0,64",
            "Content-Type": "text/event-stream",
        });
        const from = Number(request.headers["last-event-id"] ?? 0) + 1;
        for (let id = from; id <= events && !response.destroyed; id++) {
            response.write(event(attempt, id));
            await kit.sleep(gapMs);
        }
        response.end();
    }).start();
}
