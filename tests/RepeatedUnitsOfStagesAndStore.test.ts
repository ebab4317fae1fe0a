import * as vitest from "vitest";
import * as reports from "../standins/platform/EndlessReport";
import * as trials from "../standins/platform/EndlessTrial";

const WRITE_BYTES = 1024 * 1024;
const ANSWER = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nStore-Era: 1\r\n";
const REJECTION = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 1\r\n";
const CHUNKED = "Transfer-Encoding: chunked\r\n\r\n";
const CHUNK = `4000\r\n${" ".repeat(0x4000)}\r\n`;
const WITH_LENGTH = "Content-Length: {length}\r\n\r\n";
const REDIRECT = "HTTP/1.1 302 Found\r\nLocation: /kv-range?Prefix=&After={n}\r\nContent-Length: 0\r\n\r\n";

interface RepeatedUnit {
    readonly name: string;
    readonly start: string;
    readonly unit: string;
    readonly answersEach?: boolean;
}

/** What stage workers and the store can repeat alike. */
const SHARED_CASES: readonly RepeatedUnit[] = [
    { name: "chunks of one byte", start: ANSWER + CHUNKED, unit: "1\r\n \r\n" },
    { name: "chunks of 16 KB", start: ANSWER + CHUNKED, unit: CHUNK },
    { name: "trailers", start: `${ANSWER}${CHUNKED}0\r\n`, unit: "A: b\r\n" },
    { name: "answers of status 100", start: "", unit: "HTTP/1.1 100 Continue\r\n\r\n" },
    { name: "answers of status 103", start: "", unit: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" },
    { name: "lines of a head", start: ANSWER, unit: "A: b\r\n" },
    { name: "empty lines before an answer", start: "", unit: "\r\n" },
    { name: "further answers", start: "", unit: `${ANSWER}Content-Length: 2\r\n\r\n{}` },
    { name: "chunks of a rejection", start: REJECTION + CHUNKED, unit: CHUNK },
];

const STORE_CASES: readonly RepeatedUnit[] = [
    {
        name: "pages",
        start: ANSWER + WITH_LENGTH,
        unit: "{\"Items\":[{\"Key\":\"other/{n}\",\"Rev\":1}],\"CurrentRev\":{n},\"Truncated\":true}",
        answersEach: true,
    },
    {
        name: "watches that end at once",
        start: ANSWER + WITH_LENGTH,
        unit: "{\"events\":[],\"Items\":[],\"CurrentRev\":30}",
        answersEach: true,
    },
    {
        name: "changes",
        start: ANSWER + WITH_LENGTH,
        unit: "{\"events\":[{\"Key\":\"other/{n}\",\"Rev\":{n},\"Value\":\"AAAA\"}],\"Items\":[],\"CurrentRev\":{n}}",
        answersEach: true,
    },
    { name: "redirects", start: REDIRECT, unit: "", answersEach: true },
];

let trial: trials.EndlessTrial | undefined;

vitest.afterEach(() => trial?.dispose());

vitest.describe("an entry serves beside a stage worker or a store that sends without an end", () => {
    const rows = [
        ...SHARED_CASES.map(unit => ({ ...unit, at: "archive" as const })),
        ...[...SHARED_CASES, ...STORE_CASES].map(unit => ({ ...unit, at: "store" as const })),
    ];
    vitest.it.for(rows)("$at: $name", async ({ at, start, unit, answersEach = false }, { task }) => {
        trial = await trials.EndlessTrial.start([{ at, start, unit, answersEach, writeBytes: WRITE_BYTES }]);
        const report = await trial.run();
        Object.assign(task.meta, { report });
        vitest.expect(reports.findViolations(report)).toEqual([]);
    });
});
