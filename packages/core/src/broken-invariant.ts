/**
 * Thrown when an internal invariant is violated, which stops the process. Expected failures are returned as values instead.
 */
export class BrokenInvariant extends Error {
	override readonly name = 'BrokenInvariant';
}
