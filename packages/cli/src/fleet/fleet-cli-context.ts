import {type BaseContext} from 'clipanion';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';

/** Decoded settings of a process: its name and a function that opens its platform, or the problems that were found. */
export type DecodedSettings =
	| {readonly ok: true; readonly instance: string; readonly open: () => Platform}
	| {readonly ok: false; readonly problems: readonly string[]};

/** Context of the commands; the entry point of the program supplies the format of its settings. */
export type FleetCliContext = BaseContext & {
	/** Decodes and validates the text of a settings file. */
	readonly decodeSettings: (text: string) => DecodedSettings;
};
