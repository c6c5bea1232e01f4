/** Breach of a requirement, seen from outside; `at` is in milliseconds since 1970. */
export type Violation = {
	readonly rule: string;
	readonly at: number;
	readonly text: string;
};
