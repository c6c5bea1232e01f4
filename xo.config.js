/** @type {import('xo').FlatXoConfig} */
const config = [
	{ignores: ['**/dist/**', 'package-lock.json', 'target/**', 'journal/**']},
	{
		rules: {
			// Loops that renew, retry or poll have to await each iteration.
			'no-await-in-loop': 'off',
			// A lookup table keyed by the discriminant of a union needs one assertion at its call.
			'@typescript-eslint/no-unsafe-type-assertion': 'off',
			// The first member of a multi-line union starts on its own line.
			'@stylistic/operator-linebreak': ['error', 'before', {overrides: {'=': 'after'}}],
			// Regular expressions stay within the ES2023 target.
			'require-unicode-regexp': 'off',
		},
	},
	{
		// Counter names are dotted, as StatsD has them.
		files: ['packages/core/src/node/counters.ts', '**/reduce.ts', '**/reduce-scheduler.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// The fields of etcd's JSON gateway are in snake case.
		files: ['packages/platform/src/etcd-*.ts', 'packages/testing/src/store-server.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// The fields of the users' platform are in snake case.
		files: ['platform/src/**', 'packages/testing/src/jobs/*-http.ts'],
		rules: {
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		// An example stands for a service outside this workspace, which would list the library itself.
		files: ['examples/**'],
		rules: {
			'import-x/no-extraneous-dependencies': 'off',
			'n/no-extraneous-import': 'off',
		},
	},
	{
		// The factories of clipanion are capitalised functions, called without `new`.
		files: ['packages/cli/src/**/*.ts'],
		rules: {
			'new-cap': 'off',
		},
	},
	{
		files: ['**/*.test.ts'],
		rules: {
			// `node:test` returns promises that the runner itself awaits.
			'@typescript-eslint/no-floating-promises': 'off',
			// Table-driven cases share a fixture that `beforeEach` recreates.
			'@typescript-eslint/no-loop-func': 'off',
		},
	},
];

export default config;
