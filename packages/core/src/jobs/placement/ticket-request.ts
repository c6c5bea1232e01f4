import {type TicketRule} from '../state/configuration-schema.js';
import {type StepState, type TicketState, type Worker} from '../state/scheduler.js';

/** A step that needs tickets, with the rule of its queue, its service, and the workers that may get new tasks. */
export type TicketRequest = {
	readonly stepState: StepState;
	readonly tickets: TicketState;
	readonly rule: TicketRule;
	readonly service: string;
	readonly workers: readonly Worker[];
};
