/**
 * Addresses as written in settings and lists: an IP address and a port, joined by a colon.
 */

/** An address split as Node's `net` module expects it. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** Splits an address into its IP address and port. */
export function parseAddress(address: string): Address {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
