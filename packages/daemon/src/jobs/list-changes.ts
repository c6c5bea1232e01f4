import {isDeepStrictEqual} from 'node:util';

/**
 * Lists the fields in which two objects differ.
 *
 * @param before - an object
 * @param after - another one of the same type
 * @returns names of the fields
 * @example
 * listChanges({port: 1, host: 'a'}, {port: 2, host: 'a'}); // ['port']
 */
export function listChanges<Type extends Record<string, unknown>>(before: Type, after: Type): string[] {
	return Object.keys({...before, ...after}).filter(field => !isDeepStrictEqual(before[field as keyof Type], after[field as keyof Type]));
}
