/** Age from which a record no longer counts, in milliseconds. The owner writes it once per second, so it has missed two writes. */
export const maximumRecordAgeMs = 2500;
