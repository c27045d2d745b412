#include <primroselead/steer.h>

/* Fewest VMs with which callers survive the loss of one. */
#define VMS_MIN 2

static int list_active_vms(const struct steer_view *v, int first, int end,
			   int isolated_too, int vm[STEER_NEARBY_MAX])
{
	int n = 0;

	for (int i = first; i < end && n < STEER_NEARBY_MAX; i++)
		if (v->vm[i].state == STEER_ACTIVE &&
		    (isolated_too || !v->vm[i].isolated_from_all))
			vm[n++] = i;
	return n;
}

static int list_preferred_vms(const struct steer_view *v, int first, int end,
			      int vm[STEER_NEARBY_MAX])
{
	int n = list_active_vms(v, first, end, 0, vm);

	return n >= VMS_MIN ? n : list_active_vms(v, first, end, 1, vm);
}

int steer_nearby_vms(const struct steer_view *v, int region,
		     int vm[STEER_NEARBY_MAX])
{
	int n = 0;

	if (region != STEER_NONE)
		n = list_preferred_vms(v, v->first_vm[region],
				       v->first_vm[region + 1], vm);
	return n >= VMS_MIN ? n : list_preferred_vms(v, 0, v->nvm, vm);
}
