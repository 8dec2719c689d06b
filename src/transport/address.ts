/** Addresses of the form `host:port`, as in the platform's settings and in workers' heartbeats. */

import type { Server } from "node:net";

/** The parts of an address. */
export interface HostAndPort {
	host: string;
	port: number;
}

/** Splits an address at its last colon. Does not check the form of the address, which is checked on input. */
export function parseAddress(address: string): HostAndPort {
	const colon = address.lastIndexOf(":");
	return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** Returns the port of a listening server; null: it is not bound to a port. */
export function boundPort(server: Server): number | null {
	const address = server.address();
	return typeof address === "object" && address ? address.port : null;
}
