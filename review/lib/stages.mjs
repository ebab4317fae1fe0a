// Stage engines of the scripts: they make one result for each piece and remember whose it is.
import * as kit from "./kit.mjs";

const CALL_MS = 150;
const ITEM_MS = 21.3;
const HANDLE_LIFETIME_MS = 4_000;

/** All results by their handles, with the piece that each was made for. */
export class Results {
    byHandle = new Map();

    add(engine, { Id, Stage, Piece }) {
        const handle = `${engine.address}/${kit.randomId()}`;
        this.byHandle.set(handle, {
            attempt: Id,
            stage: Stage,
            piece: Piece,
            untilMs: performance.now() + HANDLE_LIFETIME_MS,
        });
        return handle;
    }

    free(handle) {
        const result = this.byHandle.get(handle);
        if (result !== undefined) {
            result.untilMs = -Infinity;
        }
    }

    /** The result if its maker still holds it. */
    held(handle) {
        const result = this.byHandle.get(handle);
        return result !== undefined && result.untilMs > performance.now() ? result : undefined;
    }
}

/**
 * Starts a stage engine, which works on one call after the other. `comesTwice` decides for each answer whether it is sent
 * a second time, late: where the answer to the next request on its connection is expected.
 */
export function startStage(service, zone, record, results, comesTwice = () => false) {
    let turn = Promise.resolve();
    const lateAnswers = new WeakMap();
    return new kit.Engine(service, zone, 1, async (request, response, body, engine) => {
        const { socket } = request;
        const late = lateAnswers.get(socket);
        if (late !== undefined) {
            lateAnswers.delete(socket);
            record.add(`stage engine ${engine.id} sends its earlier answer a second time: ${late.handles.join(" ")}`);
            socket.write(late.text);
        }
        const content = JSON.parse(body);
        if (request.url === "/stage-free") {
            content.Handles.forEach(handle => results.free(handle));
            response.writeHead(200, { "Content-Type": "application/json" }).end("{}");
            return;
        }
        const items = content.Items;
        const work = turn.then(() => kit.sleep(CALL_MS + ITEM_MS * items.length));
        turn = work;
        await work;
        const handles = items.map(item => results.add(engine, item));
        record.add(`stage engine ${engine.id} makes ${items.map(({ Id, Piece }) => `${Id}/${Piece}`).join(" ")}`);
        const text = JSON.stringify({ Items: handles.map(Handle => ({ Handle })) });
        response.writeHead(200, {
            "Content-Type": "application/json",
            "Content-Length": text.length,
            "Engine-Load": "1,0,1",
        });
        response.end(text);
        if (comesTwice(engine)) {
            const head = [
                "HTTP/1.1 200 OK",
                "Content-Type: application/json",
                `Content-Length: ${text.length}`,
                "Engine-Load: 1,0,1",
            ];
            lateAnswers.set(socket, { text: `${head.join("\r\n")}\r\n\r\n${text}`, handles });
        }
    }).start();
}
