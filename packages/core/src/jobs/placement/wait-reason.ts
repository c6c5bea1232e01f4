/** Reasons for which a ready task is not placed, and what ends each of them. */
export const waitReasons = {
	'former-owner': 'a worker that may run tasks of a former owner answers, or its lease expires',
	'service-record': 'the service to which the queue was sent after the acceptance is stored with the job',
	'run-record': 'the removal of its last run from the store is confirmed',
	'restart-delay': 'the pause before the next start is over',
	'no-worker': 'a worker of the service may get tasks again',
	limit: 'usage of the organisation falls, or its upper limit rises',
	isolation: 'a worker is free to run the task without others',
	'step-in-isolation': 'the suspected task of the same step is done',
	screening: 'another task of the step has run for a time, or a worker for trials has room',
	tickets: 'a worker gets a ticket',
	unsuitable: 'a worker with the label, the size or few enough tasks of the step arrives',
	data: 'a worker near the data has room',
	'failed-workers': 'the time for which workers are avoided after a failure is over',
	room: 'other tasks end',
	orders: 'start orders are answered',
	order: 'its turn comes',
} as const;

export type WaitReason = keyof typeof waitReasons;

/** Why a task group waits, with what it waits for. */
export type Wait = {readonly reason: WaitReason; readonly details: Readonly<Record<string, unknown>>};
