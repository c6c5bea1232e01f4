/**
 * Peer addresses in the text form `host:port`, with IPv6 addresses in brackets.
 */
import {isIP, isIPv6} from 'node:net';

/** Network address of another member. */
export type PeerAddress = {
	readonly memberId: string;
	readonly host: string;
	readonly port: number;
};

const addressPattern = /^(?:\[(?<six>[^\]]+)]|(?<four>[^:]+)):(?<port>\d{1,5})$/;

export function formatPeerAddress(host: string, port: number): string {
	return isIPv6(host) ? `[${host}]:${port}` : `${host}:${port}`;
}

/**
 * Parses the address of a member.
 *
 * @param memberId - identifier of the member
 * @param address - its address as `host:port`
 * @returns the address in a list, for use with `flatMap`; the list is empty when the text is not an IP address with a port from 1 to 65535
 * @example
 * parsePeerAddress('entry-1', '127.0.0.1:8081');
 */
export function parsePeerAddress(memberId: string, address: string): PeerAddress[] {
	const groups = addressPattern.exec(address)?.groups;
	const host = groups?.six ?? groups?.four ?? '';
	const port = Number(groups?.port);
	return isIP(host) === 0 || port < 1 || port > 65_535 ? [] : [{memberId, host, port}];
}
