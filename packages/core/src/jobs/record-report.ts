import {type RunningTask, type WorkerReport} from './event.js';
import {limitFillers} from './limit-fillers.js';
import {loseMembers} from './lose-members.js';
import {occupyWorker} from './occupy-worker.js';
import {type Pass} from './pass.js';
import {recordEnd} from './record-end.js';
import {releaseMember} from './release-member.js';
import {type Member, type Worker} from './scheduler.js';
import {stopMember} from './stop-member.js';

/**
 * Takes in a worker's report: what ended, what runs, and what is missing.
 *
 * @param pass - the pass; its state is changed
 * @param worker - the worker
 * @param answer - the report and the local time at which it was asked for
 * @example
 * recordReport(pass, worker, {sentAt, report});
 */
export function recordReport(pass: Pass, worker: Worker, answer: {sentAt: number; report: WorkerReport}): void {
	const {sentAt, report} = answer;
	recordContact(pass, worker, report);
	for (const ended of report.ended) {
		if (ended.number > worker.seenEnd) {
			recordEnd(pass, worker, ended);
		}
	}

	worker.seenEnd = Math.max(worker.seenEnd, ...report.ended.map(({number}) => number));
	const shown = new Map(report.running.map(running => [running.task, running]));
	for (const running of shown.values()) {
		recordRunning(pass, worker, running);
	}

	for (const member of worker.members) {
		if (sentAt >= member.settledAt && shown.get(member.task)?.run !== member.run) {
			pass.effects.push({
				type: 'log', level: 'warn', event: 'task-missing', fields: {task: member.task, run: member.run, worker: worker.id},
			});
			releaseMember(pass, member);
		}
	}

	limitFillers(pass, worker, shown);
	worker.reportDueAt = pass.now;
}

function recordContact(pass: Pass, worker: Worker, report: WorkerReport): void {
	if (worker.bornMs !== report.bornMs) {
		if (worker.bornMs !== 0) {
			loseMembers(pass, worker, 'worker-restarted');
			worker.seenEnd = 0;
			worker.storedEnd = 0;
			worker.leaseUntilMs = 0;
		}

		worker.bornMs = report.bornMs;
	}

	worker.clockMs = report.clockMs;
	worker.clockAt = pass.now;
	worker.answeredAt = pass.now;
	worker.heardAt = pass.now;
	worker.silent = false;
	worker.unresolvedUntil = 0;
	if (!worker.confirmed) {
		worker.confirmed = true;
		// A former owner may have given a lease of this length just before.
		worker.leaseUntilMs = Math.max(worker.leaseUntilMs, Math.ceil(report.clockMs + pass.scheduler.leaseMs));
	}

	pass.scheduler.holdersDirty ||= !worker.recorded;
}

function recordRunning(pass: Pass, worker: Worker, running: RunningTask): void {
	const member = pass.scheduler.members.get(running.task);
	if (member === undefined || isUnwanted(member)) {
		if (member?.worker !== worker || member.state !== 'stopping') {
			orderStop(pass, worker, running);
		}

		return;
	}

	if (member.worker === undefined && running.run >= member.unit.run) {
		occupyWorker(pass.scheduler, member, {worker, run: running.run, state: 'running'});
		member.settledAt = pass.now;
		member.progressedAt = pass.now;
	}

	if (member.worker !== worker || member.run !== running.run) {
		orderStop(pass, worker, running);
		return;
	}

	recordProgress(pass, member, running);
}

function isUnwanted({unit}: Member): boolean {
	return unit.done || unit.job.cancelled || unit.job.end !== undefined;
}

function orderStop(pass: Pass, worker: Worker, {task, run}: RunningTask): void {
	const member = pass.scheduler.members.get(task);
	if (member?.worker === worker && member.run === run) {
		stopMember(pass, member);
		return;
	}

	pass.effects.push({
		type: 'stop', worker: worker.id, address: worker.address, task, run,
	});
}

function recordProgress(pass: Pass, member: Member, running: RunningTask): void {
	const {unit} = member;
	if (member.state === 'starting') {
		member.state = 'running';
		member.settledAt = pass.now;
		member.progressedAt = pass.now;
	}

	unit.job.begun = true;
	if (running.percent !== member.percent) {
		member.percent = running.percent;
		member.progressedAt = pass.now;
	}

	if (member.percent >= 100 && member.state === 'running') {
		unit.orderedAwayAt = undefined;
	}

	if (running.checkpoint !== '') {
		unit.checkpoint = running.checkpoint;
	}
}
