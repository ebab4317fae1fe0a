import * as vitest from "vitest";
import type * as declared from "../typings/cumincrank";
import * as library from "./Library";

const { expect, it } = vitest;

/** Classes with private constructors can't be compared as a whole; their instances can. */
type Comparable = Omit<typeof declared, "PeerConnection">;

it("offers what the typings declare", () => {
    const checked: Comparable = library;
    const open: typeof declared.PeerConnection.open = library.PeerConnection.open;
    expect(Object.values(checked).every(part => part !== undefined)).toBe(true);
    expect(open).toBeTypeOf("function");
});
