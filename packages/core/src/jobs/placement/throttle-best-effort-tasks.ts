import {
	slowdownThreshold, speedChangeIntervalMs, speedupThreshold, speedupStepPercent,
} from '../state/constants.js';
import {type RunningTask} from '../state/event.js';
import {type ReducerContext} from '../state/reducer-context.js';
import {type Worker} from '../state/scheduler.js';

/** A best-effort task below this speed is paused, since halving its speed further has no effect. */
const minimumSpeedPercent = 10;

/**
 * Slows down the best-effort tasks of a worker while a task that serves users there is near its target response time,
 * and speeds them up again step by step once all such tasks are well below their targets.
 *
 * @param context - the reducer context; its state is changed and effects are added
 * @param worker - the worker
 * @param running - tasks that the worker reports as running, by id
 * @example
 * throttleBestEffortTasks(context, worker, new Map());
 */
export function throttleBestEffortTasks(context: ReducerContext, worker: Worker, running: ReadonlyMap<string, RunningTask>): void {
	let highestLatencyRatio = 0;
	for (const {id, group} of worker.tasks) {
		const {targetMs} = group.definition;
		if (targetMs > 0) {
			highestLatencyRatio = Math.max(highestLatencyRatio, (running.get(id)?.load ?? 0) / targetMs);
		}
	}

	for (const task of worker.tasks) {
		if (!task.group.definition.fills || task.state !== 'running' || context.now - task.speedLimitChangedAt < speedChangeIntervalMs) {
			continue;
		}

		const speed = chooseSpeed(task.speedLimitPercent, highestLatencyRatio);
		if (speed === task.speedLimitPercent) {
			continue;
		}

		task.speedLimitPercent = speed;
		task.speedLimitChangedAt = context.now;
		context.effects.push({
			type: 'limit-speed', worker: worker.id, address: worker.address, task: task.id, run: task.run, percent: speed,
		});
	}
}

function chooseSpeed(speed: number, highestLatencyRatio: number): number {
	if (highestLatencyRatio >= slowdownThreshold) {
		const half = Math.floor(speed / 2);
		return half < minimumSpeedPercent ? 0 : half;
	}

	return highestLatencyRatio < speedupThreshold ? Math.min(100, speed + speedupStepPercent) : speed;
}
