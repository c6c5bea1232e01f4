/** Groups that were not placed in a round, although what they wait for can become free: by service, and by organisation for those at its upper limit. */
export type RoundFailures = {readonly byService: Map<string, number>; readonly byOrganisation: Map<string, number>};
