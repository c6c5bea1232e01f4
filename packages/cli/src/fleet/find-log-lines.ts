import {z} from 'zod';

const lineSchema = z.looseObject({
	name: z.string(),
	time: z.string(),
	event: z.string(),
	msg: z.string().default(''),
});

/** A line of a process's log. */
export type LogLine = z.infer<typeof lineSchema>;

/** Changes of the ownership explain delays of every request. */
const ownershipEvents = new Set(['owner-elected', 'owner-took-over', 'owner-stepped-down', 'store-lost', 'store-regained']);

/**
 * Finds what the logs of several processes say about a request or job, in the order of time, with the changes of the
 * ownership and of the contact with the store in between. Lines of other programs are left out and counted.
 *
 * @param texts - contents of the logs, one JSON object a line
 * @param id - identifier of a request or of a job
 * @returns the lines, and the number of those that could not be read
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
		} else if (ownershipEvents.has(line.event) || isAbout(line, id)) {
			lines.push(line);
		}
	}

	lines.sort((left, right) => left.time.localeCompare(right.time));
	const first = lines.findIndex(line => isAbout(line, id));
	const last = lines.findLastIndex(line => isAbout(line, id));
	return {lines: first === -1 ? [] : lines.slice(first, last + 1), unreadable};
}

function parseLine(text: string): LogLine | undefined {
	try {
		return lineSchema.safeParse(JSON.parse(text)).data;
	} catch {
		return undefined;
	}
}

/** Tasks begin with the identifier of their job, paths end with it. */
function isAbout(line: LogLine, id: string): boolean {
	const {request, job, task, tasks, path} = line;
	return request === id
		|| job === id
		|| (typeof task === 'string' && task.startsWith(`${id}.`))
		|| (Array.isArray(tasks) && tasks.some(name => typeof name === 'string' && name.startsWith(`${id}.`)))
		|| (typeof path === 'string' && path.endsWith(`/${id}`));
}
