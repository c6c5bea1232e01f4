import {
	Counter, Gauge, Histogram, Registry,
} from 'prom-client';
import {type Logger} from '../create-logger.js';

/** Upper bounds of the latency buckets, from a fast answer of the store to the longest wait of a caller. */
const latencyBucketsSeconds = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5];

/** Most series of a gauge with labels; later ones are left out, so that a scrape stays small however many names a deployment has. */
const maximumSeries = 400;

/** One value of a gauge with labels. */
export type LabelledValue = {readonly labels: Readonly<Record<string, string>>; readonly value: number};

type GaugeSource = {readonly help: string; read(): number};
type LabelledGaugeSource = {readonly help: string; readonly labelNames: readonly string[]; read(): readonly LabelledValue[]};

/** Counters, gauges and latency histograms of a process, formatted for a Prometheus scraper. */
export class ProcessMetrics {
	readonly #registry = new Registry();
	readonly #events = new Counter({
		name: 'rosemaryquay_events_total', help: 'Log events by name and outcome', labelNames: ['event', 'outcome'], registers: [this.#registry],
	});

	readonly #calls = new Histogram({
		name: 'rosemaryquay_call_seconds', help: 'Time to answer a caller', labelNames: ['method', 'status'], buckets: latencyBucketsSeconds, registers: [this.#registry],
	});

	constructor(options: {gauges: Readonly<Record<string, GaugeSource>>; labelledGauges?: Readonly<Record<string, LabelledGaugeSource>>}) {
		for (const [name, {help, read}] of Object.entries(options.gauges)) {
			const gauge = new Gauge({
				name: `rosemaryquay_${formatMetricName(name)}`,
				help,
				registers: [this.#registry],
				collect() {
					gauge.set(read());
				},
			});
		}

		for (const [name, {help, labelNames, read}] of Object.entries(options.labelledGauges ?? {})) {
			const gauge = new Gauge({
				name: `rosemaryquay_${formatMetricName(name)}`,
				help,
				labelNames: [...labelNames],
				registers: [this.#registry],
				collect() {
					// Series of organisations that no longer compete, and of pools that are gone, must not stay.
					gauge.reset();
					for (const {labels, value} of read().slice(0, maximumSeries)) {
						gauge.set(labels, value);
					}
				},
			});
		}
	}

	observeCall(method: string, status: number, durationMs: number): void {
		this.#calls.observe({method, status}, durationMs / 1000);
	}

	/** Wraps a logger so that each event is counted, including events below the log level. */
	countEvents(logger: Logger): Logger {
		return {
			log: (event, fields = {}) => {
				const {outcome, reason, state} = fields;
				this.#events.inc({event, outcome: formatOutcomeLabel(outcome ?? reason ?? state)});
				logger.log(event, fields);
			},
		};
	}

	/** Formats all metrics as the body of a scrape. */
	async format(): Promise<{readonly contentType: string; readonly text: string}> {
		return {contentType: this.#registry.contentType, text: await this.#registry.metrics()};
	}
}

/** Converts a camel-case name to the snake case of metric names. */
function formatMetricName(name: string): string {
	return name.replaceAll(/[A-Z]/g, letter => `_${letter.toLowerCase()}`);
}

/** Keeps the part before a colon, since the details after it would give the label unbounded cardinality. */
function formatOutcomeLabel(value: unknown): string {
	return typeof value === 'string' ? value.split(':')[0]?.slice(0, 40) ?? '' : '';
}
