import {type Configuration} from '@rosemaryquay/core/jobs/state/configuration-schema';
import {waitReasons, type WaitReason} from '@rosemaryquay/core/jobs/placement/wait-reason';
import {type Job} from '@rosemaryquay/core/jobs/state/job-schema';
import {type View} from '@rosemaryquay/core/jobs/views/view-schema';

/** Why a job waits, in figures of the view. Work is in core-seconds, all else in thousandths of a core. */
export type Place = {
	readonly service: string;
	/** Place in the order of the service from 1; undefined if the job is not among the first ones. */
	readonly place: number | undefined;
	readonly workAhead: number | undefined;
	readonly waitingJobs: number;
	readonly pool: View['pools'][number] | undefined;
	readonly share: View['shares'][number] | undefined;
	readonly lines: readonly string[];
};

/**
 * Describes where an unfinished job stands in the order of placement, and how much its organisation uses of its share.
 *
 * @param job - the job
 * @param options - the view in force, and the configuration in force
 * @returns the figures, and one sentence for each of them
 * @example
 * describePlace(job, {view, configuration}).lines;
 */
export function describePlace(job: Job, options: {view: View; configuration: Configuration}): Place {
	const {view, configuration} = options;
	const service = configuration.queues.find(({name}) => name === job.queue)?.service ?? job.service;
	const waitingJobs = view.backlogs.find(backlog => backlog.service === service)?.jobs ?? 0;
	const listed = view.jobs.filter(([of]) => of === service);
	const found = listed.find(([, id]) => id === job.id);
	const place = found?.[2];
	const workAhead = found?.[3];
	const pool = view.pools.find(({name}) => name === service);
	const share = view.shares.find(candidate => candidate.service === service && candidate.organisation === job.organisation);
	const lines = [describeOrder({
		service, place, workAhead, waitingJobs, listed: listed.length,
	})];
	const wait = view.waits.find(([id]) => id === job.id);
	if (wait !== undefined) {
		lines.push(describeReason(wait));
	}

	if (pool !== undefined) {
		lines.push(`Pool ${service} uses ${pool.used / 1000} of ${pool.capacity / 1000} cores on ${pool.workers} workers, of which ${pool.schedulable} may get tasks; ${pool.arriving} instances are moving to it.`);
	}

	if (share !== undefined) {
		const comparison = share.used < share.share ? 'below its share, so its jobs go before those of organisations above theirs' : 'at or above its share, so its jobs wait for what the others leave';
		lines.push(`Organisation ${job.organisation || 'none'} uses ${share.used / 1000} cores of a share of ${share.share / 1000} (weight ${share.weight}), and ${share.waiting / 1000} more wait: it is ${comparison}.`);
	} else if (view.shares.some(candidate => candidate.service === service)) {
		lines.push(`Organisations compete for ${service}; ${job.organisation || 'none'} is not among those with the most waiting work.`);
	} else {
		lines.push(`Organisations do not compete for ${service}, so no share holds the job back.`);
	}

	return {
		service, place, workAhead, waitingJobs, pool, share, lines,
	};
}

function describeReason([, reason, sinceMs]: View['waits'][number]): string {
	// An owner of a later version may know further reasons.
	const endsWhen = waitReasons[reason as WaitReason] ?? 'see event 641 of the owner';
	return `A task of it has waited since ${new Date(sinceMs).toISOString()}, reason ${reason}; it ends when: ${endsWhen}.`;
}

function describeOrder({service, place, workAhead, waitingJobs, listed}: {service: string; place: number | undefined; workAhead: number | undefined; waitingJobs: number; listed: number}): string {
	if (place !== undefined) {
		return `It is number ${place} of ${waitingJobs} waiting jobs of ${service}; ${workAhead} core-seconds of work are ahead of it.`;
	}

	return listed < waitingJobs
		? `If it waits, it is not among the first ${listed} of ${waitingJobs} waiting jobs of ${service}, which the view lists.`
		: `None of its tasks waits to be placed: ${service} has ${waitingJobs} waiting jobs, and it is not among them.`;
}
