import * as vitest from "vitest";
import type * as declared from "../typings/cumincrank";
import * as library from "./Library";

const { expect, it } = vitest;

/** A class with a private constructor isn't assignable to its declaration; instances, as `open` returns, are. */
type Comparable = Omit<typeof declared, "PeerConnection">;

it("exports everything that the typings declare", () => {
    const checked: Comparable = library;
    const open: typeof declared.PeerConnection.open = library.PeerConnection.open;
    expect(Object.values(checked).every(part => part !== undefined)).toBe(true);
    expect(open).toBeTypeOf("function");
});
