/** Usage and share of an organisation on a service, in thousandths of a core by the dominant resource. */
export type OrganisationShare = {
	readonly weight: number;
	/** Usage of the tasks that are assigned to workers. */
	readonly used: number;
	/** Additional usage of the ready tasks that wait. */
	readonly waiting: number;
	/** What the organisation gets by weighted max-min fairness. */
	readonly share: number;
};

/** Shares of the organisations that compete for a service. */
export type ServiceShares = {
	/** Capacity that tasks can use now. */
	readonly capacity: number;
	readonly organisations: ReadonlyMap<string, OrganisationShare>;
};
