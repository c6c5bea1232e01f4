/**
 * Checks that generated pages are up to date, relative links resolve, capacity totals add up and the module
 * diagram matches the imports, and that no index file exists. `--write` writes the generated pages.
 */
import {execFileSync} from 'node:child_process';
import {
	existsSync, readdirSync, readFileSync, writeFileSync,
} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {generateDocs} from './generate-docs.js';

const write = process.argv.includes('--write');
const problems = [];
for (const [file, text] of Object.entries(generateDocs())) {
	if (write) {
		writeFileSync(file, text);
	} else if (!existsSync(file) || readFileSync(file, 'utf8') !== text) {
		problems.push(`${file} is out of date; run npm run docs -- --write`);
	}
}

const files = execFileSync('git', ['ls-files', '--cached', '--others', '--exclude-standard'], {encoding: 'utf8'}).trim().split('\n').filter(file => existsSync(file));
for (const file of files.filter(file => file.endsWith('.md'))) {
	for (const {groups} of readFileSync(file, 'utf8').matchAll(/]\((?<target>[^)#:\s]+)(?:#[^)]*)?\)/g)) {
		if (!existsSync(path.join(path.dirname(file), groups.target))) {
			problems.push(`${file} links to ${groups.target}, which does not exist`);
		}
	}
}

for (const file of files.filter(file => /(?:^|\/)index\.[jt]s$/.test(file))) {
	problems.push(`${file} is an index file`);
}

/** Tolerance relative to the total, because totals are rounded to their last digit. */
const roundingTolerance = 0.01;
for (const {role, quantity, base, slopes, total} of JSON.parse(readFileSync('docs/capacity.json', 'utf8')).rows) {
	const sum = slopes.reduce((value, {slope, amount}) => value + (slope * amount), base);
	if (!(Math.abs(sum - total) <= total * roundingTolerance)) {
		problems.push(`docs/capacity.json: ${role}, ${quantity}: the parts add up to ${sum}, but the stated total is ${total}`);
	}

	if (!readFileSync('docs/CAPACITY.md', 'utf8').includes(`| ${total} `)) {
		problems.push(`docs/CAPACITY.md does not state the total of ${role}, ${quantity}`);
	}
}

/** Lists the packages that the sources of a package import, without its tests. */
function listImports(packageName) {
	const sources = readdirSync(`packages/${packageName}/src`, {recursive: true}).filter(file => file.endsWith('.ts') && !file.endsWith('.test.ts'));
	const imported = new Set();
	for (const file of sources) {
		for (const {groups} of readFileSync(`packages/${packageName}/src/${file}`, 'utf8').matchAll(/from '@rosemaryquay\/(?<name>[a-z]+)\//g)) {
			imported.add(groups.name);
		}
	}

	return [...imported].toSorted();
}

const documentedEdges = [...readFileSync('docs/design.md', 'utf8').matchAll(/^ {2}(?<from>[a-z]+) --> (?<to>[a-z]+)$/gm)].map(({groups}) => `${groups.from} --> ${groups.to}`);
const importedEdges = readdirSync('packages').flatMap(from => listImports(from).map(to => `${from} --> ${to}`));
for (const edge of new Set([...documentedEdges, ...importedEdges])) {
	if (documentedEdges.includes(edge) !== importedEdges.includes(edge)) {
		problems.push(`docs/design.md: the module diagram ${documentedEdges.includes(edge) ? 'has' : 'lacks'} the import ${edge}`);
	}
}

for (const problem of problems) {
	process.stderr.write(`${problem}\n`);
}

process.stdout.write(`Documentation: ${files.filter(file => file.endsWith('.md')).length} pages, ${problems.length} problems\n`);
process.exitCode = problems.length === 0 ? 0 : 1;
