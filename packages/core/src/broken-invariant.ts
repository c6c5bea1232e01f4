/**
 * Thrown when the program contradicts itself. The process stops; every other outcome is a value.
 */
export class BrokenInvariant extends Error {
	override readonly name = 'BrokenInvariant';
}
