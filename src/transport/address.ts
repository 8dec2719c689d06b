/** Addresses of the form `host:port`, as the platform's settings and the workers' heartbeats give them. */

import type { Server } from "node:net";

/** The parts of an address. */
export interface HostAndPort {
	host: string;
	port: number;
}

/** Splits an address at its last colon. The form of an address is checked where it comes in, not here. */
export function parseAddress(address: string): HostAndPort {
	const colon = address.lastIndexOf(":");
	return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/** The port that a listening server is bound to; null: it is bound to no port. */
export function boundPort(server: Server): number | null {
	const address = server.address();
	return typeof address === "object" && address ? address.port : null;
}
