/**
 * Bundles the program of the entry instances from the sources of all packages into `target/rosemaryquay.mjs`.
 */
import path from 'node:path';
import process from 'node:process';
import {build} from 'esbuild';

/** Resolves the workspace's packages to their sources, so that bundling does not need a build first. */
const workspaceSources = {
	name: 'workspace-sources',
	setup({onResolve}) {
		onResolve({filter: /^@rosemaryquay\//}, ({path: specifier}) => {
			const [, name, ...rest] = specifier.split('/');
			return {path: path.resolve('packages', name, 'src', `${rest.join('/')}.ts`)};
		});
	},
};

const result = await build({
	entryPoints: ['platform/src/main.ts'],
	outfile: 'target/rosemaryquay.mjs',
	bundle: true,
	platform: 'node',
	format: 'esm',
	target: 'node20',
	minify: true,
	// Optional dependencies of Bunyan, which it tries to load at run time.
	external: ['dtrace-provider', 'mv', 'safe-json-stringify', 'source-map-support'],
	// Bunyan is a CommonJS package and needs `require`.
	banner: {js: 'import {createRequire} from "node:module"; const require = createRequire(import.meta.url);'},
	plugins: [workspaceSources],
	logLevel: 'warning',
});
process.exitCode = result.errors.length === 0 ? 0 : 1;
