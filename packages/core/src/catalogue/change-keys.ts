/**
 * Changes of a team's keys. Each returns the updated team, to be stored by an edit of its catalogue entry.
 */
import {type Team} from './schema.js';

export type KeyChange =
	| {readonly type: 'give'; readonly name: string; readonly hash: string; readonly note?: string}
	| {readonly type: 'withdraw'; readonly name: string}
	/** Adds a key that replaces another. Both are valid until the old one is withdrawn. */
	| {readonly type: 'rotate'; readonly from: string; readonly name: string; readonly hash: string};

export type ChangedKeys =
	| {readonly ok: true; readonly team: Team}
	| {readonly ok: false; readonly reason: 'key-exists' | 'key-missing'};

type Handler<Type extends KeyChange['type']> = (team: Team, change: Extract<KeyChange, {type: Type}>) => ChangedKeys;

const handlers: {readonly [Type in KeyChange['type']]: Handler<Type>} = {
	give(team, {name, hash, note}) {
		return Object.hasOwn(team.keys, name)
			? {ok: false, reason: 'key-exists'}
			: {ok: true, team: {...team, keys: {...team.keys, [name]: {hash, ...(note !== undefined && {note})}}}};
	},
	withdraw(team, {name}) {
		if (!Object.hasOwn(team.keys, name)) {
			return {ok: false, reason: 'key-missing'};
		}

		const {[name]: _, ...keys} = team.keys;
		return {ok: true, team: {...team, keys}};
	},
	rotate(team, {from, name, hash}) {
		return Object.hasOwn(team.keys, from)
			? handlers.give(team, {
				type: 'give', name, hash, note: `replaces ${from}`,
			})
			: {ok: false, reason: 'key-missing'};
	},
};

/**
 * Changes the keys of a team.
 *
 * @param team - the team's catalogue entry
 * @param change - the change
 * @returns the updated team, or the reason why the change does not apply
 * @example
 * const changed = changeKeys(team, {type: 'withdraw', name: 'first'});
 */
export function changeKeys(team: Team, change: KeyChange): ChangedKeys {
	return (handlers[change.type] as Handler<KeyChange['type']>)(team, change);
}
