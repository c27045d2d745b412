#include <primroselead/steer.h>

/* Fewest VMs among which relayed requests are spread, if there are as many. */
#define PEERS_MIN 2

/* How near a VM is to this one. A nearer one also counts as all farther ones.
 */
enum distance { SAME_DOMAIN, SAME_REGION, ANYWHERE, DISTANCES };

int steer_vm_is_isolated(const struct steer_vm *vm, uint64_t service)
{
	for (int i = 0; i < vm->nisolated; i++)
		if (vm->isolated[i] == service)
			return 1;
	return vm->isolated_from_all;
}

static int is_avoided(const struct steer_peer_request *req, uint64_t id)
{
	for (int i = 0; i < req->navoided; i++)
		if (req->avoided[i] == id)
			return 1;
	return 0;
}

static int may_take(const struct steer_view *v,
		    const struct steer_peer_request *req, int i)
{
	const struct steer_vm *vm = &v->vm[i];

	return i != v->self && vm->state == STEER_ACTIVE &&
	       vm->relay_address[0] &&
	       (!req->region_mask || req->region_mask >> vm->region & 1) &&
	       !steer_vm_is_isolated(vm, req->service) &&
	       !is_avoided(req, vm->id);
}

static enum distance distance_to(const struct steer_view *v, int i)
{
	const struct steer_vm *self;

	if (v->self == STEER_NONE)
		return ANYWHERE;
	self = &v->vm[v->self];
	if (v->vm[i].region != self->region)
		return ANYWHERE;
	return v->vm[i].domain == self->domain ? SAME_DOMAIN : SAME_REGION;
}

/* Counts the VMs within each distance. */
static void count_peers(const struct steer_view *v,
			const struct steer_peer_request *req, int n[DISTANCES])
{
	for (int i = 0; i < v->nvm; i++)
		if (may_take(v, req, i))
			for (int d = (int)distance_to(v, i); d < DISTANCES; d++)
				n[d]++;
}

int steer_choose_peer(const struct steer_view *v,
		      const struct steer_peer_request *req)
{
	int n[DISTANCES] = {0};
	int d = SAME_DOMAIN;
	uint64_t skip;

	count_peers(v, req, n);
	if (!n[ANYWHERE])
		return STEER_NONE;
	while (d < ANYWHERE && n[d] < PEERS_MIN)
		d++;
	skip = req->random % (uint64_t)n[d];
	for (int i = 0; i < v->nvm; i++)
		if (may_take(v, req, i) && (int)distance_to(v, i) <= d &&
		    !skip--)
			return i;
	return STEER_NONE;
}
