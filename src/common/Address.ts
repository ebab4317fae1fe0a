/**
 * Addresses as settings and lists write them: an IP number and a port, joined by a colon.
 */

/** An address in the form that Node's own modules take. */
export interface Address {
    readonly host: string;
    readonly port: number;
}

/** Splits an address into its IP number and port. */
export function parseAddress(address: string): Address {
    const separator = address.lastIndexOf(":");
    return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
}
