/**
 * Types that the fleet handlers share: their context, request and response.
 */
import {z} from 'zod';
import {type Catalogue} from '@rosemaryquay/core/catalogue/schema';
import {type Weights} from '@rosemaryquay/core/maintenance/create-plan';
import {type Store} from '@rosemaryquay/core/store/store';

export type FleetContext = {
	readonly store: Store;
	/** Prefix of all keys in the store. */
	readonly prefix: string;
	readonly catalogue: Catalogue;
	readonly utcMs: number;
	/** Default weights of a plan. */
	readonly weights: Weights;
	/** Default expected duration of a step. */
	readonly stepMs: number;
};

/** Status and JSON body of the response to an operator. */
export type FleetResponse = {readonly status: number; readonly body: Readonly<Record<string, unknown>>};

/** An operator request without the operator, after routing: path parameters and the parsed JSON body. */
export type FleetRequest = {readonly params: Readonly<Record<string, string | undefined>>; readonly body: unknown};

export type FleetHandler = (context: FleetContext, request: FleetRequest) => Promise<FleetResponse>;

/** Common body of commands that write: the revision that the operator saw. */
export const conditionalWriteSchema = z.strictObject({
	revision: z.int().min(0),
	/** Returns what the command would write without writing it. */
	dryRun: z.boolean().default(false),
});
