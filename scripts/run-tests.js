/**
 * Runs every built test. Tests listed in KNOWN-RED.txt (lines `test: <source file>`) run separately:
 * they are printed and do not affect the exit code. Tests of whole processes (`*.process.test.ts`) run after the others,
 * one at a time.
 */
import {spawnSync} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';

const concurrency = 4;

function listTests() {
	const tests = [];
	const folders = [...readdirSync('packages').map(name => path.join('packages', name)), 'platform'];
	for (const folder of folders) {
		const sources = path.join(folder, 'src');
		for (const file of readdirSync(sources, {recursive: true})) {
			if (file.endsWith('.test.ts')) {
				tests.push(path.join(sources, file));
			}
		}
	}

	return tests.toSorted();
}

function listKnownFailures() {
	if (!existsSync('KNOWN-RED.txt')) {
		return [];
	}

	return [...readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^test: (?<file>\S+)/gm)].map(match => match.groups.file);
}

function run(sources) {
	const isProcessTest = file => file.endsWith('.process.test.ts');
	const status = runTogether(sources.filter(file => !isProcessTest(file)), concurrency);
	return runTogether(sources.filter(file => isProcessTest(file)), 1) || status;
}

function runTogether(sources, filesAtOnce) {
	if (sources.length === 0) {
		return 0;
	}

	const built = sources.map(file => file.replace(`${path.sep}src${path.sep}`, `${path.sep}dist${path.sep}`).replace(/\.ts$/, '.js'));
	return spawnSync(process.execPath, ['--test', `--test-concurrency=${filesAtOnce}`, ...built], {stdio: 'inherit'}).status ?? 1;
}

const knownFailures = new Set(listKnownFailures());
const tests = listTests();
if (tests.length === 0) {
	process.stderr.write('No test was found\n');
	process.exitCode = 1;
} else {
	for (const file of knownFailures) {
		if (!tests.includes(file)) {
			process.stderr.write(`KNOWN-RED.txt names ${file}, which does not exist\n`);
			process.exitCode = 1;
		}
	}

	const failing = tests.filter(file => knownFailures.has(file));
	if (failing.length > 0) {
		process.stdout.write(`Known failures, which do not affect the exit code: ${failing.join(', ')}\n`);
		run(failing);
	}

	const status = run(tests.filter(file => !knownFailures.has(file)));
	process.exitCode = status === 0 ? process.exitCode : status;
}
