#!/usr/bin/env node
/**
 * Binary `rosemaryquayd`.
 */
import {readFile} from 'node:fs/promises';
import process from 'node:process';
import {parseSettings} from '@rosemaryquay/core/settings/parse-settings';
import {createLogger} from './create-logger.js';
import {Daemon} from './daemon.js';

const exitInvalidSettings = 2;
const exitRequestsCut = 1;

async function run(path: string): Promise<void> {
	const parsed = parseSettings(await readFile(path, 'utf8'));
	if (!parsed.ok) {
		const logger = createLogger({name: 'rosemaryquayd'});
		for (const problem of parsed.problems) {
			logger.log('process-settings-invalid', {file: path, ...problem});
		}

		process.exitCode = exitInvalidSettings;
		return;
	}

	const {settings} = parsed;
	const logger = createLogger({name: settings.instance, level: settings.log.level});
	const daemon = new Daemon({settings, logger});
	process.once('uncaughtException', error => {
		logger.log('process-invariant-broken', {error: error.stack});
		process.exit(exitRequestsCut);
	});
	await daemon.start();
	const stop = async (): Promise<void> => {
		process.once('SIGTERM', () => {
			process.exit(exitRequestsCut);
		});
		const unfinished = await daemon.shutDown();
		process.exit(unfinished === 0 ? 0 : exitRequestsCut);
	};

	process.once('SIGTERM', () => {
		void stop();
	});
	process.once('SIGINT', () => {
		void stop();
	});
}

const [path] = process.argv.slice(2);
if (path === undefined) {
	process.stderr.write('Usage: rosemaryquayd SETTINGS.yaml\n');
	process.exitCode = exitInvalidSettings;
} else {
	await run(path);
}
