#include <primroselead/steer.h>

/* Fewest VMs of a region with which its callers survive the loss of one. */
#define REGION_VMS_MIN 2

static int list_active_vms(const struct steer_view *v, int first, int end,
			   int vm[STEER_NEARBY_MAX])
{
	int n = 0;

	for (int i = first; i < end && n < STEER_NEARBY_MAX; i++)
		if (v->vm[i].state == STEER_ACTIVE)
			vm[n++] = i;
	return n;
}

int steer_nearby_vms(const struct steer_view *v, int region,
		     int vm[STEER_NEARBY_MAX])
{
	int n = 0;

	if (region != STEER_NONE)
		n = list_active_vms(v, v->first_vm[region],
				    v->first_vm[region + 1], vm);
	return n >= REGION_VMS_MIN ? n : list_active_vms(v, 0, v->nvm, vm);
}
