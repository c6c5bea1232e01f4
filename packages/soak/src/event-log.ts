import {
	appendFileSync, existsSync, readdirSync, readFileSync,
} from 'node:fs';
import path from 'node:path';
import {type FleetEvent, fleetEventSchema} from '@rosemaryquay/testing/jobs/fleet-event';

type Fields<Type extends FleetEvent['type']> = Omit<Extract<FleetEvent, {type: Type}>, 'type' | 'at'>;

const suffix = '.events.jsonl';

/** Events of all processes of a run, in one file for each process that writes them, so that none is lost in a kill. */
export class EventLog {
	readonly #folder: string;

	constructor(folder: string) {
		this.#folder = folder;
	}

	/** Path of the file of one process. */
	fileOf(name: string): string {
		return path.join(this.#folder, `${name}${suffix}`);
	}

	/** Records what this process has seen, by default now. */
	record<Type extends FleetEvent['type']>(type: Type, fields: Fields<Type>, at = Date.now()): void {
		appendFileSync(this.fileOf('runner'), `${JSON.stringify({type, at, ...fields})}\n`);
	}

	/** Reads the events of all processes. A line that a kill cut short is left out. */
	readAll(): FleetEvent[] {
		const files = existsSync(this.#folder) ? readdirSync(this.#folder).filter(file => file.endsWith(suffix)) : [];
		return files.flatMap(file => {
			const lines = readFileSync(path.join(this.#folder, file), 'utf8').split('\n');
			lines.pop();
			return lines.map(line => fleetEventSchema.parse(JSON.parse(line)));
		});
	}
}
