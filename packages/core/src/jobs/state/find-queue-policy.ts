import {type TicketRule} from './configuration-schema.js';
import {type ActiveJob, type Scheduler} from './scheduler.js';

/** Scheduling policy of a queue. */
export type QueuePolicy = {
	readonly service: string;
	readonly priority: number;
	readonly maximumAttempts: number;
	readonly stretch: number;
	readonly targetLatencyMs: number;
	readonly ticketRule: TicketRule | undefined;
};

/**
 * Finds the policy that applies to a job: that of its queue, or the one stored with the job if the queue no longer exists.
 *
 * @param scheduler - the state
 * @param job - the job
 * @returns the policy
 * @example
 * findQueuePolicy(scheduler, job).maximumAttempts;
 */
export function findQueuePolicy(scheduler: Scheduler, job: ActiveJob): QueuePolicy {
	const queue = scheduler.configuration.queues.find(({name}) => name === job.definition.queue);
	const {service, priority, maximumAttempts, stretch, targetLatencyMs, ticketRule} = queue ?? {...job.definition, ticketRule: undefined};
	return {
		service, priority, maximumAttempts, stretch, targetLatencyMs, ticketRule,
	};
}
