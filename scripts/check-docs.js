/**
 * Checks the documentation: generated pages are current, links lead to files, and no index file exists.
 * `--write` writes the generated pages.
 */
import {execFileSync} from 'node:child_process';
import {existsSync, readFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {generateDocs} from './generate-docs.js';

const write = process.argv.includes('--write');
const problems = [];
for (const [file, text] of Object.entries(generateDocs())) {
	if (write) {
		writeFileSync(file, text);
	} else if (!existsSync(file) || readFileSync(file, 'utf8') !== text) {
		problems.push(`${file} is not current; run npm run docs -- --write`);
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

for (const problem of problems) {
	process.stderr.write(`${problem}\n`);
}

process.stdout.write(`Documentation: ${files.filter(file => file.endsWith('.md')).length} pages, ${problems.length} problems\n`);
process.exitCode = problems.length === 0 ? 0 : 1;
