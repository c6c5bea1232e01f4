import {isDeepStrictEqual} from 'node:util';

/**
 * Lists the top-level fields in which two objects differ.
 *
 * @param before - the object before the change
 * @param after - the object after the change
 * @returns names of the fields whose values are not deeply equal
 * @example
 * listChangedFields({port: 1, host: 'a'}, {port: 2, host: 'a'}); // ['port']
 */
export function listChangedFields<Type extends Record<string, unknown>>(before: Type, after: Type): string[] {
	return Object.keys({...before, ...after}).filter(field => !isDeepStrictEqual(before[field as keyof Type], after[field as keyof Type]));
}
