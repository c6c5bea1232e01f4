import {z} from 'zod';

const logLineSchema = z.looseObject({
	name: z.string(),
	time: z.string(),
	event: z.string(),
	msg: z.string().default(''),
});

/** A line of the log of a process. */
export type LogLine = z.infer<typeof logLineSchema>;

/** Changes of ownership of the schedule and of the connection to the store, which can delay any request. */
const contextEvents = new Set(['owner-elected', 'owner-took-over', 'owner-stepped-down', 'store-lost', 'store-regained']);

/**
 * Finds the lines about a request or job in the logs of several processes, in order of time, with the changes of ownership
 * and of the connection to the store in between. Lines that are not in the log format are skipped and counted.
 *
 * @param texts - contents of the logs, one JSON object a line
 * @param id - identifier of a request or of a job
 * @returns the lines, and the number of lines that were skipped
 * @example
 * findLogLines([await readFile('entry-1.log', 'utf8')], '00000000000000a1').lines;
 */
export function findLogLines(texts: readonly string[], id: string): {lines: LogLine[]; unreadable: number} {
	const lines: LogLine[] = [];
	let unreadable = 0;
	for (const text of texts.flatMap(content => content.split('\n')).filter(line => line.trim() !== '')) {
		const line = parseLine(text);
		if (line === undefined) {
			unreadable++;
		} else if (contextEvents.has(line.event) || isRelatedTo(line, id)) {
			lines.push(line);
		}
	}

	lines.sort((left, right) => left.time.localeCompare(right.time));
	const first = lines.findIndex(line => isRelatedTo(line, id));
	const last = lines.findLastIndex(line => isRelatedTo(line, id));
	return {lines: first === -1 ? [] : lines.slice(first, last + 1), unreadable};
}

function parseLine(text: string): LogLine | undefined {
	try {
		return logLineSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

/** Whether a line is about a request or job. The name of a task begins with the identifier of its job; a path ends with it. */
function isRelatedTo(line: LogLine, id: string): boolean {
	const {request, job, task, tasks, path} = line;
	return request === id
		|| job === id
		|| (typeof task === 'string' && task.startsWith(`${id}.`))
		|| (Array.isArray(tasks) && tasks.some(name => typeof name === 'string' && name.startsWith(`${id}.`)))
		|| (typeof path === 'string' && path.endsWith(`/${id}`));
}
