/** Factor by which an instance has to be larger than the owner's; a takeover pauses the orders for some tenths of a second. */
const minimumSizeRatio = 2;

/** Time without requests after this process has lost the ownership, in milliseconds; what cost it the ownership may last. */
const lossPauseMs = 10_000;

/**
 * Tells whether this instance should ask the owner of the schedule to hand it over. Answers the load after a restart of many
 * instances at once, when a small one has claimed the ownership before larger ones were up: an instance with a third of a
 * core then left most of the free capacity of 246 workers unused, for want of processor time to send orders.
 *
 * @param sizes - sizes of this instance and of the owner's, as fractions of an ample one
 * @param options - time in milliseconds since this process has lost the ownership, `Infinity` if it never had it
 * @returns whether to ask
 * @example
 * isHandoverWorthwhile({own: 1, owner: 0.3}, {sinceLossMs: Number.POSITIVE_INFINITY}); // true
 */
export function isHandoverWorthwhile(sizes: {own: number; owner: number}, {sinceLossMs}: {sinceLossMs: number}): boolean {
	return sizes.own >= sizes.owner * minimumSizeRatio && sinceLossMs >= lossPauseMs;
}
