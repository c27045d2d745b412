#include <primroselead/ledger.h>

/*
 * An even split among the region's own VMs. Everything is given out, so that a
 * store outage leaves nothing unused; what moves between VMs is lent.
 */
int ledger_plan(const struct ledger_wish *w)
{
	int vms = w->local_vms ? w->local_vms : w->all_vms;
	int fair = 0;

	if (vms > 0 && (w->local || !w->local_vms))
		fair = (w->capacity + vms - 1) / vms;
	if (fair > w->mine + w->unused)
		return w->mine + w->unused;
	return fair;
}
