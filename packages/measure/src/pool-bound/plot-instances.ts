import {
	areaY, lineY, plot, ruleY, text,
} from '@observablehq/plot';
import {parseHTML} from 'linkedom';
import {slotMs} from './flatten-demand.js';

const widthPixels = 900;
const heightPixels = 360;

/** Height of a line of the legend. */
const labelPixels = 14;

/** Part of an element of the document; the types of browsers are not part of the build. */
type Figure = {readonly outerHTML: string; setAttribute(name: string, value: string): void};

/**
 * Plots the instances outside the spare pool over time: those of the planner of the product, and those of one that knows the
 * day in advance.
 *
 * @param series - number of instances in each slot, by name
 * @returns an SVG document
 * @example
 * await writeFile('pool-bound.svg', plotInstances({planner: [3, 4], bound: [1, 4]}));
 */
export function plotInstances(series: Readonly<Record<string, readonly number[]>>): string {
	const {document} = parseHTML('<html><body></body></html>') as unknown as {document: never};
	const rows = Object.entries(series).flatMap(([planner, counts]) => counts.map((instances, slot) => ({planner, instances, seconds: slot * slotMs / 1000})));
	const channels = {x: 'seconds', y: 'instances'} as const;
	const figure: unknown = plot({
		document,
		width: widthPixels,
		height: heightPixels,
		x: {label: 'seconds since the start of the load'},
		y: {label: 'instances outside the spare pool', grid: true},
		color: {type: 'ordinal', domain: Object.keys(series), scheme: 'Set1'},
		marks: [
			areaY(rows, {
				...channels, z: 'planner', fill: 'planner', fillOpacity: 0.15, curve: 'step-after',
			}),
			lineY(rows, {...channels, stroke: 'planner', curve: 'step-after'}),
			...Object.keys(series).map((planner, position) => text([{planner}], {
				text: 'planner', fill: 'planner', frameAnchor: 'top-right', dy: position * labelPixels,
			})),
			ruleY([0]),
		],
	});
	const element = figure as Figure;
	element.setAttribute('xmlns', 'http://www.w3.org/2000/svg');
	return element.outerHTML;
}
