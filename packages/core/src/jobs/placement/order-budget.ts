/** Number of start orders that may still be sent in this round. */
export type OrderBudget = {orders: number};
