import {type Configuration} from '../state/configuration-schema.js';
import {type Finding} from './finding.js';

/** A configuration that was read from its text, or what is wrong with it. */
export type ParsedConfiguration =
	| {readonly ok: true; readonly configuration: Configuration}
	| {readonly ok: false; readonly findings: readonly Finding[]};
