/**
 * Types of the operator API's handlers: request, response and route.
 */

/** A request of an authenticated operator. */
export type OperatorRequest = {
	/** Name of the operator in the catalogue or the settings. */
	readonly operator: string;
	readonly parameters: Readonly<Record<string, string | undefined>>;
	/** Parsed JSON body, or `undefined` without a body. */
	readonly body: unknown;
};

export type OperatorResponse = {
	readonly status: number;
	readonly body: unknown;
};

export type OperatorHandler = (request: OperatorRequest) => Promise<OperatorResponse> | OperatorResponse;

/** A handler with its HTTP method and path. */
export type OperatorRoute = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly handler: OperatorHandler;
};
