/**
 * `npm run measure`: runs one experiment and prints its measures, targets and baselines. `--plot FILE` writes the plot of an
 * experiment that has one.
 */
import {execFileSync} from 'node:child_process';
import {writeFile} from 'node:fs/promises';
import process from 'node:process';
import {parseArgs} from 'node:util';
import {experiments} from './experiments.js';

function readCurrentCommit(): string {
	try {
		const commit = execFileSync('git', ['rev-parse', '--short=12', 'HEAD'], {encoding: 'utf8'}).trim();
		const changes = execFileSync('git', ['status', '--porcelain'], {encoding: 'utf8'}).trim();
		return changes === '' ? commit : `${commit}+changes`;
	} catch {
		return 'unknown';
	}
}

const {values, positionals} = parseArgs({
	allowPositionals: true,
	options: {
		list: {type: 'boolean', default: false}, json: {type: 'boolean', default: false}, seed: {type: 'string', default: '1'}, plot: {type: 'string', default: ''},
	},
});

async function runExperiment(name: string): Promise<number> {
	const experiment = Object.hasOwn(experiments, name) ? experiments[name] : undefined;
	const seed = Number(values.seed);
	if (experiment === undefined || !Number.isSafeInteger(seed)) {
		process.stderr.write(experiment === undefined ? `Unknown experiment "${name}"; see --list\n` : `--seed must be an integer, not "${values.seed}"\n`);
		return 2;
	}

	const {plot, ...result} = await experiment.run({seed});
	if (plot !== undefined && values.plot !== '') {
		await writeFile(values.plot, plot);
		process.stderr.write(`Plot written to ${values.plot}\n`);
	}

	const output = {
		name, seed, commit: readCurrentCommit(), ...result,
	};
	if (values.json) {
		process.stdout.write(`${JSON.stringify(output)}\n`);
	} else {
		for (const bound of result.bounds) {
			process.stdout.write(`${bound.holds ? 'holds' : 'FAILS'}  ${bound.measure}: ${bound.value} ${bound.unit} (target ${bound.target})\n`);
		}

		for (const baseline of result.baselines) {
			process.stdout.write(`baseline ${baseline.name}  ${baseline.measure}: ${baseline.value} ${baseline.unit}\n`);
		}
	}

	return result.bounds.every(bound => bound.holds) ? 0 : 1;
}

const [name] = positionals;
if (values.list || name === undefined) {
	for (const [key, experiment] of Object.entries(experiments)) {
		process.stdout.write(`${key}: ${experiment.summary}\n`);
	}

	process.exitCode = values.list ? 0 : 2;
} else {
	process.exitCode = await runExperiment(name);
}
