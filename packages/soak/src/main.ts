/**
 * Command line of the soak; docs/operations/soak.md describes it.
 */
import path from 'node:path';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {z} from 'zod';
import {runSoak} from './run-soak.js';

const violationExitCode = 1;
const interruptedExitCode = 2;
const millisecondsPerMinute = 60_000;

for (const signal of ['SIGINT', 'SIGTERM'] as const) {
	process.once(signal, () => {
		process.exit(interruptedExitCode);
	});
}

const {values} = parseArgs({
	options: {
		seed: {type: 'string', default: '1'},
		minutes: {type: 'string', default: '0.4'},
		processes: {type: 'string', default: '3'},
		only: {type: 'string'},
		folder: {type: 'string'},
	},
});
const {seed, minutes, processes, only, folder} = z.object({
	seed: z.coerce.number().int(),
	minutes: z.coerce.number().positive(),
	processes: z.coerce.number().int().positive(),
	only: z.string().transform(text => text.split(',').filter(part => part !== '').map(Number)).optional(),
	folder: z.string().default(path.join('target', 'soak', values.seed)),
}).parse(values);

const {faults, jobs, violations} = await runSoak({
	seed,
	durationMs: minutes * millisecondsPerMinute,
	processCount: processes,
	...(only !== undefined && {only}),
	folder,
	bundle: path.resolve('target', 'rosemaryquay.mjs'),
	write: line => process.stdout.write(`${line}\n`),
});
for (const {rule, at, text} of violations) {
	process.stdout.write(`${new Date(at).toISOString()} ${rule}: ${text}\n`);
}

process.stdout.write(`Seed ${seed}: ${faults.length} faults, ${JSON.stringify(jobs)}, ${violations.length} violations; events and logs in ${folder}\n`);
process.exitCode = violations.length === 0 ? 0 : violationExitCode;
