#include <primroselead/hash.h>
#include <primroselead/steer_peer.h>

/* Fewest VMs among which relayed requests are spread, if there are as many. */
#define PEERS_MIN 2

/* VMs of one failure domain of another region to which one VM sends requests.
 */
#define REGION_PEERS 2

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

/* Fills the VMs with the greatest rendezvous hashes and returns their number.
 * A domain of STEER_NONE stands for all domains. */
static int rank_region_peers(const struct steer_view *v,
			     const struct steer_peer_request *req, int region,
			     int domain, int peer[REGION_PEERS])
{
	uint64_t self = v->self == STEER_NONE ? 0 : v->vm[v->self].id;
	uint64_t hash[REGION_PEERS];
	int n = 0;

	for (int i = v->first_vm[region]; i < v->first_vm[region + 1]; i++) {
		uint64_t h = prl_hash_combine(self, v->vm[i].id);
		int at;

		if (!may_take(v, req, i) ||
		    (domain != STEER_NONE && v->vm[i].domain != domain))
			continue;
		for (at = n; at > 0 && hash[at - 1] < h; at--)
			if (at < REGION_PEERS) {
				hash[at] = hash[at - 1];
				peer[at] = peer[at - 1];
			}
		if (at == REGION_PEERS)
			continue;
		hash[at] = h;
		peer[at] = i;
		if (n < REGION_PEERS)
			n++;
	}
	return n;
}

int steer_choose_region_peer(const struct steer_view *v,
			     const struct steer_peer_request *req, int region,
			     int domain)
{
	struct steer_peer_request here = *req;
	int peer[REGION_PEERS];
	int n;

	here.region_mask = 0;
	n = rank_region_peers(v, &here, region, domain, peer);
	if (!n && domain != STEER_NONE)
		n = rank_region_peers(v, &here, region, STEER_NONE, peer);
	return n ? peer[req->random % (uint64_t)n] : STEER_NONE;
}
