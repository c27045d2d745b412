#include <primroselead/ledger.h>

/*
 * Splits the capacity evenly among the VMs of the pool's region, or among all
 * VMs if the region has none. All of it is allocated, so that none lies unused
 * during a store outage; uneven demand is met by loans.
 */
int ledger_plan_tokens(const struct ledger_demand *d)
{
	int vms = d->local_vms ? d->local_vms : d->all_vms;
	int split = 0;

	if (vms > 0 && (d->is_local || !d->local_vms))
		split = (d->capacity + vms - 1) / vms;
	if (split > d->own_tokens + d->unallocated)
		return d->own_tokens + d->unallocated;
	return split;
}
