/**
 * Deletes the oldest entry of a map, in insertion order.
 *
 * @param entries - the map, updated in place; an empty one is left as it is
 * @example
 * if (cache.size > maximumCached) evictOldest(cache);
 */
export function evictOldest<Key>(entries: Map<Key, unknown>): void {
	const oldest = entries.keys().next();
	if (oldest.done !== true) {
		entries.delete(oldest.value);
	}
}
