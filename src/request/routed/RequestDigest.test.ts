import * as vitest from "vitest";
import * as requestDigests from "./RequestDigest";
import * as calls from "./RoutedCall";

interface Request {
    readonly attempt: string;
    readonly host: string;
    readonly path: string;
    readonly apiKey: string;
    readonly team: string | undefined;
    readonly body: string | undefined;
    readonly prompt: readonly string[];
}

const base: Request = {
    attempt: "a",
    host: "desk.example",
    path: "/look/1?x=2",
    apiKey: "k1",
    team: "gilders",
    body: "text",
    prompt: [],
};

function digest(request: Request): readonly string[] {
    const { attempt, host, path, apiKey, team, body, prompt } = request;
    const metadata = { attempt, apiKey, promptParts: prompt.map(id => ({ id, tokens: 1 })) };
    return requestDigests.digestRequest({
        route: { host },
        path,
        team: team === undefined ? undefined : { name: team },
        body: body === undefined ? undefined : Buffer.from(body),
        metadata,
    } as unknown as calls.RoutedCall);
}

vitest.describe("a request", () => {
    vitest.it.each<{ readonly name: string; readonly change: Partial<Request>; readonly isSame: boolean }>([
        { name: "with another attempt", change: { attempt: "b" }, isSame: true },
        { name: "with another key of its team", change: { apiKey: "k2" }, isSame: true },
        { name: "with another path", change: { path: "/look/2?x=2" }, isSame: false },
        { name: "with another query", change: { path: "/look/1?x=3" }, isSame: false },
        { name: "to another host", change: { host: "press.example" }, isSame: false },
        { name: "of another team", change: { team: "binders" }, isSame: false },
        { name: "without a team", change: { team: undefined }, isSame: false },
        { name: "with another body", change: { body: "texts" }, isSame: false },
        { name: "without a body", change: { body: undefined }, isSame: false },
    ])("$name is the same: $isSame", ({ change, isSame }) => {
        vitest.expect(digest({ ...base, ...change })[0] === digest(base)[0]).toBe(isSame);
    });

    vitest.it("has a digest with its prompt too, since others may differ in that alone", () => {
        const [one, withPrompt] = digest({ ...base, prompt: ["x", "y"] });
        const [other, withOther] = digest({ ...base, prompt: ["x", "z"] });
        vitest.expect(one).toBe(other);
        vitest.expect(withPrompt).not.toBe(withOther);
        vitest.expect(digest(base)).toHaveLength(1);
    });
});
