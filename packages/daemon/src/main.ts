#!/usr/bin/env node
/**
 * Entry point of the binary `rosemaryquayd`.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseSettings} from '@rosemaryquay/core/settings/parse-settings';
import {createLogger} from './create-logger.js';
import {Daemon} from './daemon.js';

const exitCodeInvalidSettings = 2;
/** The daemon failed or stopped with requests unfinished. */
const exitCodeFailure = 1;

async function run(settingsPath: string): Promise<void> {
	const parsed = parseSettings(await readFile(settingsPath, 'utf8'));
	if (!parsed.ok) {
		const logger = createLogger({name: 'rosemaryquayd'});
		for (const problem of parsed.problems) {
			logger.log('process-settings-invalid', {file: settingsPath, ...problem});
		}

		process.exitCode = exitCodeInvalidSettings;
		return;
	}

	const {settings} = parsed;
	const logger = createLogger({name: settings.instance, level: settings.log.level});
	const daemon = new Daemon({settings, logger});
	process.once('uncaughtException', error => {
		logger.log('process-invariant-broken', {error: error.stack});
		process.exit(exitCodeFailure);
	});
	await daemon.start();
	const stop = async (): Promise<void> => {
		// A SIGTERM during the shutdown ends the process at once.
		process.once('SIGTERM', () => {
			process.exit(exitCodeFailure);
		});
		const unfinished = await daemon.shutDown();
		process.exit(unfinished === 0 ? 0 : exitCodeFailure);
	};

	process.once('SIGTERM', () => {
		void stop();
	});
	process.once('SIGINT', () => {
		void stop();
	});
}

const [settingsPath] = process.argv.slice(2);
if (settingsPath === undefined) {
	process.stderr.write('Usage: rosemaryquayd SETTINGS.yaml\n');
	process.exitCode = exitCodeInvalidSettings;
} else {
	await run(settingsPath);
}
