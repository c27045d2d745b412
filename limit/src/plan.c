#include <primroselead/ledger.h>

/*
 * An even split among the region's own VMs. Everything is given out, so that a
 * store outage leaves nothing unused; what moves between VMs is lent.
 */
int ledger_plan_tokens(const struct ledger_demand *w)
{
	int vms = w->local_vms ? w->local_vms : w->all_vms;
	int fair = 0;

	if (vms > 0 && (w->is_local || !w->local_vms))
		fair = (w->capacity + vms - 1) / vms;
	if (fair > w->own_tokens + w->unallocated)
		return w->own_tokens + w->unallocated;
	return fair;
}
