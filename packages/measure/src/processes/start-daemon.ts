import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {stringify} from 'yaml';
import {type Platform} from './start-platform.js';
import {type Child, startProcess} from './start-process.js';

/** A daemon that runs in a child process. */
export type DaemonProcess = Child & {readonly url: string};

type DaemonOptions = {
	readonly instance: string;
	readonly zone: string;
	readonly settings?: Record<string, unknown>;
	readonly flags?: readonly string[];
	readonly onLine?: (line: string) => void;
};

type StartedLine = {event?: string; url?: string};

/**
 * Starts `rosemaryquayd` in a child process on loopback and waits until it listens.
 *
 * @param platform - fake servers of the platform
 * @param options - instance identifier, availability zone, further settings, command-line flags for Node.js and a listener for log lines
 * @returns the process and the URL at which the daemon listens
 * @example
 * const daemon = await startDaemon(platform, {instance: 'entry-1', zone: 'zone-a'});
 */
export async function startDaemon(platform: Platform, options: DaemonOptions): Promise<DaemonProcess> {
	const {instance, zone, settings = {}, flags = [], onLine} = options;
	const directory = await mkdtemp(path.join(tmpdir(), 'rosemaryquay-'));
	const file = path.join(directory, 'settings.yaml');
	await writeFile(file, stringify({
		instance,
		zone,
		http: {host: '127.0.0.1', port: 0},
		store: {url: platform.store.url},
		instanceList: {url: platform.instanceList.url},
		...settings,
	}));
	const child = startProcess('daemon/dist/main.js', {
		args: [file],
		flags,
		...(onLine !== undefined && {onLine}),
		select(line) {
			const entry = JSON.parse(line) as StartedLine;
			return entry.event === 'process-started' ? entry.url : undefined;
		},
	});
	return {...child, url: await child.ready};
}
