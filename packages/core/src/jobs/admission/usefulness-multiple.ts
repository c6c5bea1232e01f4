/** Multiple of its objective beyond which a job is of no use to its caller; the same as in `classifyLateness`. */
export const usefulnessMultiple = 3;
