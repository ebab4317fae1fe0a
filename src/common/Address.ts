/**
 * Addresses as written in settings and lists: an IP address and a port, joined by a colon.
 */
import * as net from "node:net";

/** An address split as Node's `net` module expects it. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

const MAX_PORT = 65_535;

/** Splits an address into its IP address and port. */
export function parseAddress(address: string): Address {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}

/** Whether a connection can be opened to an address; Node.js throws on a port out of range. */
export function isConnectable({ host, port }: Address): boolean {
    return net.isIP(host) !== 0 && Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}
