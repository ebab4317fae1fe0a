import * as http from "node:http";
import * as timers from "node:timers/promises";
import * as vitest from "vitest";
import * as answers from "./CallerAnswer";

const { expect, it } = vitest;

const end: answers.AnswerBody = { outcome: "completed", code: 1_000, name: "ok" };
const token = (offset: number): string => `id: ${offset}\nevent: token\ndata: "t${offset}"\n\n`;
const last = `event: end\ndata: ${JSON.stringify(end)}\n\n`;

/** A response that records what is written to it. */
class RecordingResponse {
    headersSent = false;
    isDestroyed = false;
    readonly written: string[] = [];

    constructor(readonly writableLength: number) {}

    writeHead(): void {
        this.headersSent = true;
    }

    write(text: string): void {
        this.written.push(text);
    }

    end(text: string): void {
        this.written.push(text);
    }

    destroy(): void {
        this.isDestroyed = true;
    }
}

/** Tokens by turn of the event loop, whether the last turn also writes the end event, and the expected writes. */
const cases: [string, number[][], boolean, string[]][] = [
    ["the tokens of one turn at once", [[0, 1, 2]], false, [token(0) + token(1) + token(2)]],
    ["the tokens of each turn separately", [[0, 1], [2]], false, [token(0) + token(1), token(2)]],
    ["the end together with the tokens of its turn", [[0], [1, 2]], true, [token(0), token(1) + token(2) + last]],
    ["the end alone", [[]], true, [last]],
];
it.each(cases)("writes %s", async (_, turns, hasEnd, expected) => {
    const response = new RecordingResponse(0);
    const stream = new answers.EventStream(response as unknown as http.ServerResponse);
    for (const [index, offsets] of turns.entries()) {
        offsets.forEach(offset => stream.writeToken(offset, `t${offset}`));
        if (hasEnd && index === turns.length - 1) {
            stream.writeEnd(end);
        }
        await timers.setImmediate();
    }
    await timers.setImmediate();
    expect(response.written).toEqual(expected);
    expect(stream.hasBegun).toBe(true);
});

it("closes the connection of a caller that does not read", async () => {
    const response = new RecordingResponse(5 * 1024 * 1024);
    new answers.EventStream(response as unknown as http.ServerResponse).writeToken(0, "t0");
    await timers.setImmediate();
    expect(response.isDestroyed).toBe(true);
});
