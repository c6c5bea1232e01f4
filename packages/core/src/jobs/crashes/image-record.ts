/**
 * What the runs of an image have shown. An image without a record is unknown.
 * - `suspect`: a worker was lost with one of its runs, and no run has shown since whether the image was the cause.
 * - `crashing`: a run crashed its worker in isolation, and none has been done.
 * - `sound`: a run was done, and none crashed its worker in isolation.
 * - `mixed`: both were seen, so the image says nothing about the next job.
 */
export type ImageRecord = 'suspect' | 'crashing' | 'sound' | 'mixed';

/** What a run has shown about its image. */
export type ImageEvidence = 'lost' | 'alive' | 'crashed' | 'done';
