/** Limits the start orders that are unanswered at the same time. */
export type OrderWindow = {
	/** Largest number of unanswered start orders to responsive workers. */
	size: number;
	/** Local time in milliseconds before which an unanswered order does not reduce the window again. */
	reducedUntil: number;
};
