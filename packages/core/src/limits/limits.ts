/**
 * State of the upper limits in one node.
 */

export type Limits = {
	/** Running tasks of this node by team. */
	readonly running: Map<string, number>;
};
