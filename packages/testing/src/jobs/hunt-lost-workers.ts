/**
 * Runs many seeds of `simulateLostWorkers` by hand and prints those with a late long-running task or a violation, with the
 * reasons of the waits: `node packages/testing/dist/jobs/hunt-lost-workers.js FIRST LAST`.
 */
import process from 'node:process';
import {simulateLostWorkers} from './simulate-lost-workers.js';

const [first = '1', last = '100'] = process.argv.slice(2);
let failedCount = 0;
for (let seed = Number(first); seed <= Number(last); seed++) {
	const {fleet: {checker: {violations}}, late} = simulateLostWorkers(seed);
	if (late.length > 0 || violations.length > 0) {
		failedCount++;
		const reasons = [...new Set(late.map(({reason}) => reason))].join(', ');
		process.stdout.write(`seed ${seed}: ${late.length} late (${reasons || 'none'}), first: ${JSON.stringify(late[0]) ?? 'none'}; violations: ${violations[0] ?? 'none'}\n`);
	}
}

process.stdout.write(`${failedCount} of ${Number(last) - Number(first) + 1} seeds\n`);
