import {type BaseContext} from 'clipanion';
import {type Path} from '@rosemaryquay/core/jobs/configuration/finding';
import {type ParsedConfiguration} from '@rosemaryquay/core/jobs/configuration/parsed-configuration';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';

/**
 * Decoded settings of a process, or the problems that were found. `instance` is the name of the process; `openPlatform` connects to
 * the platform that the settings describe.
 */
export type DecodedSettings =
	| {readonly ok: true; readonly instance: string; readonly openPlatform: () => Platform}
	| {readonly ok: false; readonly problems: readonly string[]};

/** Format in which operators write a configuration on the platform. */
export type ConfigurationFormat = {
	/** Validates a configuration as the daemon does. Paths of findings are those of the format. */
	readonly parse: (value: unknown) => ParsedConfiguration;
	/** Translates the path of a value in a `Configuration` to its path in the format. */
	readonly translatePath: (path: Path) => Path;
};

/** Context of the commands. The package that implements the platform supplies the decoders, because it defines the formats of settings and configurations. */
export type FleetCliContext = BaseContext & {
	/** Decodes and validates the text of a settings file. */
	readonly decodeSettings: (text: string) => DecodedSettings;
	readonly configurationFormat: ConfigurationFormat;
};
