import {type View} from './view-schema.js';

/** Latest forecasts of a pool and their errors, in thousandths of a core, the oldest first. */
export type ForecastHistory = {readonly forecasts: number[]; readonly errors: number[]};

/** What the owner needs to publish the view of the schedule. */
export type ViewState = {
	/** The view as it was last measured. */
	latest: View | undefined;
	/** The view as it was last published; empty if none was, or if it was not stored. */
	published: string;
	readonly forecasts: Map<string, ForecastHistory>;
	/** Local time at which the wait of the jobs of an organisation was last logged, by service, organisation and reason. */
	readonly loggedWaits: Map<string, number>;
};
