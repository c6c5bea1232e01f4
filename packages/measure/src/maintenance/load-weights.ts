import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {type Weights} from '@rosemaryquay/core/maintenance/create-plan';
import {parseSettings} from '@rosemaryquay/core/settings/parse-settings';

const examples = fileURLToPath(new URL('../../../../examples', import.meta.url));

/**
 * Loads the weights for the planner's cost function from a user's example settings.
 *
 * @param name - name of the directory in `examples/`
 * @returns the weights
 * @throws {Error} if the settings in `examples/` are invalid
 * @example
 * const weights = loadWeights(listUsers()[0]);
 */
export function loadWeights(name: string): Weights {
	const parsed = parseSettings(readFileSync(`${examples}/${name}/settings.yaml`, 'utf8'));
	if (!parsed.ok) {
		throw new Error(`examples/${name}/settings.yaml is invalid: ${JSON.stringify(parsed.problems)}`);
	}

	return parsed.settings.maintenance.weights;
}
