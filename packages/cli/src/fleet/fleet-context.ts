import {type BaseContext} from 'clipanion';
import {type Platform} from '@rosemaryquay/daemon/jobs/ports';

/** Settings of a process, checked, and how to reach its platform. */
export type OpenedSettings =
	| {readonly ok: true; readonly instance: string; readonly open: () => Platform}
	| {readonly ok: false; readonly problems: readonly string[]};

/** What the commands get from the program that they are part of. */
export type FleetContext = BaseContext & {
	/** Decodes the text of a settings file. */
	readonly decodeSettings: (text: string) => OpenedSettings;
};
