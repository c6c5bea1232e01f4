/**
 * What handlers of the operators' interface take and return.
 */

/** A request of an authenticated operator. */
export type OperatorRequest = {
	/** Name of the operator in the catalogue or the settings. */
	readonly operator: string;
	readonly parameters: Readonly<Record<string, string | undefined>>;
	/** Parsed JSON body, `undefined` without one. */
	readonly body: unknown;
};

export type OperatorResponse = {
	readonly status: number;
	readonly body: unknown;
};

export type OperatorHandler = (request: OperatorRequest) => Promise<OperatorResponse> | OperatorResponse;

/** A handler by HTTP method and path. */
export type OperatorRoute = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly handler: OperatorHandler;
};
