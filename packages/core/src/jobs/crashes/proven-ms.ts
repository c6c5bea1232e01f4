/** Time for which a task has run, from which it does not count as the cause of its crash, in milliseconds; tasks that crash their workers mostly do so at their start. */
export const provenMs = 300;
