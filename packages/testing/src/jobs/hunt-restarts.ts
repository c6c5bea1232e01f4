/**
 * Runs many seeds of `simulateRestarts` by hand and prints those with a violation, or with jobs that do not end:
 * `node packages/testing/dist/jobs/hunt-restarts.js FIRST LAST [kills,lostAnswers,lateListings,lateCalls]`. Without a list, all faults are drawn.
 */
import process from 'node:process';
import {type RestartFaults, simulateRestarts} from './simulate-restarts.js';

const [first = '1', last = '100', names] = process.argv.slice(2);
const drawn = names?.split(',');
const faults: RestartFaults = drawn === undefined
	? {}
	: {
		kills: drawn.includes('kills'), lostAnswers: drawn.includes('lostAnswers'), lateListings: drawn.includes('lateListings'), lateCalls: drawn.includes('lateCalls'),
	};
let failedCount = 0;
for (let seed = Number(first); seed <= Number(last); seed++) {
	const {checker: {violations}, unfinishedJobs} = simulateRestarts(seed, faults);
	if (violations.length > 0 || unfinishedJobs.length > 0) {
		failedCount++;
		process.stdout.write(`seed ${seed}: ${violations.length} violations, first: ${violations[0] ?? 'none'}; unfinished: ${unfinishedJobs.join(' ') || 'none'}\n`);
	}
}

process.stdout.write(`${failedCount} of ${Number(last) - Number(first) + 1} seeds\n`);
