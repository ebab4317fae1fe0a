/**
 * The library's public parts. typings/cumincrank.d.ts documents them.
 */
export { systemClock } from "./common/Clock";
