/**
 * Deletes the entry of a map that was set first.
 *
 * @param entries - the map, updated in place
 * @example
 * if (cache.size > maximumCached) evictOldest(cache);
 */
export function evictOldest<Key>(entries: Map<Key, unknown>): void {
	const oldest = entries.keys().next();
	if (oldest.done !== true) {
		entries.delete(oldest.value);
	}
}
