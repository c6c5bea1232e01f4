/** Name of the sketch of the ratio of far to near run times. One for all queues, because the ratio is a property of the network. */
export const farSketchName = 'f';
