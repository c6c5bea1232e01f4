import {maximumNeighbours} from '../constants.js';

/** A member and its availability zone. */
export type Location = {readonly id: string; readonly zone: string};

function groupByZone(members: readonly Location[]): Map<string, string[]> {
	const zones = new Map<string, string[]>();
	for (const {id, zone} of members.toSorted((a, b) => (a.id < b.id ? -1 : 1))) {
		const ids = zones.get(zone) ?? [];
		ids.push(id);
		zones.set(zone, ids);
	}

	return new Map([...zones].toSorted(([a], [b]) => (a < b ? -1 : 1)));
}

/** Distances of the ring successors to link: 1, and the square root of the size, which bounds the number of hops around the ring. */
function listSteps(size: number): number[] {
	const stride = Math.floor(Math.sqrt(size));
	return size < 2 ? [] : [...new Set([1, stride])].filter(step => step > 0 && step < size);
}

/** Bidirectional links: rings within each availability zone, and rings across the availability zones. */
function listLinks(members: readonly Location[]): Array<[string, string]> {
	const zones = [...groupByZone(members).values()];
	const links: Array<[string, string]> = [];
	for (const [position, ids] of zones.entries()) {
		for (const [index, id] of ids.entries()) {
			for (const step of listSteps(ids.length)) {
				links.push([id, ids[(index + step) % ids.length] ?? id]);
			}

			for (const step of listSteps(zones.length)) {
				const others = zones[(position + step) % zones.length] ?? [];
				const target = Math.floor((index * others.length) / ids.length);
				const previous = Math.floor(((index - 1) * others.length) / ids.length);
				// Each member of the other availability zone gets at most one link, so that a large zone does not overload a small one.
				if (index === 0 || target !== previous) {
					links.push([id, others[target] ?? id]);
				}
			}
		}
	}

	return links;
}

/**
 * Chooses the members that a member sends its summary to: all of them in a small fleet, otherwise those
 * linked to it on a connected graph, by the rings within its availability zone and across the availability zones. Two
 * distances in both directions on two rings make at most 8, which is `maximumNeighbours`. Members with the same list
 * compute the same links, and each link is used in both directions.
 *
 * @param self - the member that chooses
 * @param members - all members
 * @returns identifiers of the neighbours
 * @example
 * const neighbours = chooseNeighbours({id: 'entry-1', zone: 'zone-a'}, members);
 */
export function chooseNeighbours(self: Location, members: readonly Location[]): string[] {
	const others = members.filter(({id}) => id !== self.id);
	if (others.length <= maximumNeighbours) {
		return others.map(({id}) => id).toSorted();
	}

	const neighbours = new Set<string>();
	for (const [a, b] of listLinks([...others, self])) {
		if (a === self.id && b !== self.id) {
			neighbours.add(b);
		} else if (b === self.id) {
			neighbours.add(a);
		}
	}

	neighbours.delete(self.id);
	return [...neighbours].toSorted();
}
