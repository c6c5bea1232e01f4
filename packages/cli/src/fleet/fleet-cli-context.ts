import {type BaseContext} from 'clipanion';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';

/**
 * Decoded settings of a process, or the problems that were found. `instance` is the name of the process; `openPlatform` connects to
 * the platform that the settings describe.
 */
export type DecodedSettings =
	| {readonly ok: true; readonly instance: string; readonly openPlatform: () => Platform}
	| {readonly ok: false; readonly problems: readonly string[]};

/** Context of the commands. The package that implements the platform supplies the decoder, because it defines the format of the settings. */
export type FleetCliContext = BaseContext & {
	/** Decodes and validates the text of a settings file. */
	readonly decodeSettings: (text: string) => DecodedSettings;
};
