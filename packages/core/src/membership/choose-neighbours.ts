import {maximumNeighbours} from '../constants.js';

/** A member and where it is. */
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

/** Successors at distance 1 and about the root of the size, which bounds the hops around the ring. */
function stepsOf(size: number): number[] {
	const long = Math.floor(Math.sqrt(size));
	return size < 2 ? [] : [...new Set([1, long])].filter(step => step > 0 && step < size);
}

/** Links in both directions: rings within each availability zone, and rings over the availability zones. */
function listLinks(members: readonly Location[]): Array<[string, string]> {
	const zones = [...groupByZone(members).values()];
	const links: Array<[string, string]> = [];
	for (const [position, ids] of zones.entries()) {
		for (const [index, id] of ids.entries()) {
			for (const step of stepsOf(ids.length)) {
				links.push([id, ids[(index + step) % ids.length] ?? id]);
			}

			for (const step of stepsOf(zones.length)) {
				const others = zones[(position + step) % zones.length] ?? [];
				const target = Math.floor((index * others.length) / ids.length);
				const previous = Math.floor(((index - 1) * others.length) / ids.length);
				// Each member of the other availability zone gets at most one link, so that a large one does not overload a small one.
				if (index === 0 || target !== previous) {
					links.push([id, others[target] ?? id]);
				}
			}
		}
	}

	return links;
}

/**
 * Chooses the members that a member sends its summary to: all of them in a small fleet, otherwise
 * at most `maximumNeighbours` on a connected graph, own availability zone first. All members
 * that know the same list choose the same links, and each link goes both ways.
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
