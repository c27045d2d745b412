#include <primroselead/hash.h>
#include <primroselead/steer.h>

/* Weight of the first VM of an answer; the others share the rest equally. */
#define FIRST_WEIGHT_PERMILLE 700

#define PERMILLE 1000

/* Failure domains of one region that a look-up tells apart. VMs of further
 * domains are chosen by their hash alone. */
#define DOMAINS_MAX 16

/* A VM and its rendezvous hash for one caller; the highest hash comes first. */
struct ranked_vm {
	int vm;
	uint64_t hash;
};

/* Result of one pass over a region's VMs: the VMs with the highest hashes, and
 * the one with the highest hash of each failure domain. */
struct region_ranking {
	struct ranked_vm best[STEER_LOOKUP_MAX];
	int nbest;
	struct ranked_vm domain_best[DOMAINS_MAX];
	int ndomain;
};

static void insert_best(struct region_ranking *k, const struct ranked_vm *r)
{
	int at = k->nbest;

	if (at == STEER_LOOKUP_MAX) {
		if (r->hash <= k->best[at - 1].hash)
			return;
		at--;
	} else {
		k->nbest++;
	}
	while (at > 0 && k->best[at - 1].hash < r->hash) {
		k->best[at] = k->best[at - 1];
		at--;
	}
	k->best[at] = *r;
}

static void update_domain_best(const struct steer_view *v,
			       struct region_ranking *k,
			       const struct ranked_vm *r)
{
	int domain = v->vm[r->vm].domain;

	for (int i = 0; i < k->ndomain; i++) {
		if (v->vm[k->domain_best[i].vm].domain != domain)
			continue;
		if (r->hash > k->domain_best[i].hash)
			k->domain_best[i] = *r;
		return;
	}
	if (k->ndomain < DOMAINS_MAX)
		k->domain_best[k->ndomain++] = *r;
}

static int domain_listed(const struct steer_view *v,
			 const struct steer_lookup_answer *out, int domain)
{
	for (int i = 0; i < out->n; i++)
		if (v->vm[out->entry[i].vm].domain == domain)
			return 1;
	return 0;
}

static int vm_listed(const struct steer_lookup_answer *out, int vm)
{
	for (int i = 0; i < out->n; i++)
		if (out->entry[i].vm == vm)
			return 1;
	return 0;
}

static void rank_region(const struct steer_view *v,
			const struct steer_lookup_request *req, int region,
			const struct steer_lookup_answer *out,
			struct region_ranking *k)
{
	k->nbest = 0;
	k->ndomain = 0;
	for (int i = v->first_vm[region]; i < v->first_vm[region + 1]; i++) {
		struct ranked_vm r = {.vm = i};

		if (v->vm[i].state != STEER_ACTIVE || vm_listed(out, i))
			continue;
		r.hash = prl_hash_combine(v->vm[i].id, req->block);
		insert_best(k, &r);
		update_domain_best(v, k, &r);
	}
}

/* Returns the best VM of a domain that is not in the answer yet, else the best
 * VM that is not. */
static int next_vm(const struct steer_view *v, const struct region_ranking *k,
		   const struct steer_lookup_answer *out)
{
	const struct ranked_vm *best = NULL;

	for (int i = 0; i < k->ndomain; i++) {
		const struct ranked_vm *r = &k->domain_best[i];

		if (!domain_listed(v, out, v->vm[r->vm].domain) &&
		    (!best || r->hash > best->hash))
			best = r;
	}
	for (int i = 0; !best && i < k->nbest; i++)
		if (!vm_listed(out, k->best[i].vm))
			best = &k->best[i];
	return best ? best->vm : STEER_NONE;
}

static void add_region_vms(const struct steer_view *v,
			   const struct steer_lookup_request *req, int region,
			   int max, struct steer_lookup_answer *out)
{
	struct region_ranking k;

	if (out->n >= max)
		return;
	rank_region(v, req, region, out, &k);
	while (out->n < max) {
		int vm = next_vm(v, &k, out);

		if (vm == STEER_NONE)
			return;
		out->entry[out->n++].vm = vm;
	}
}

static void set_weights(struct steer_lookup_answer *out)
{
	int remainder = PERMILLE;

	if (out->n == 1) {
		out->entry[0].weight_permille = PERMILLE;
		return;
	}
	for (int i = 0; i < out->n; i++) {
		int share =
			i ? (PERMILLE - FIRST_WEIGHT_PERMILLE) / (out->n - 1)
			  : FIRST_WEIGHT_PERMILLE;

		out->entry[i].weight_permille = share;
		remainder -= share;
	}
	if (out->n)
		out->entry[0].weight_permille += remainder;
}

void steer_lookup(const struct steer_view *v,
		  const struct steer_lookup_request *req,
		  struct steer_lookup_answer *out)
{
	const struct steer_service *s = v->service[req->service];
	const struct steer_service_region *region = &s->region[req->region];

	out->n = 0;
	/* The last entry is for another region, in case this one fails as a
	 * whole. */
	add_region_vms(v, req, req->region, STEER_LOOKUP_MAX - 1, out);
	for (int i = 0; i < region->nspill; i++)
		add_region_vms(v, req, region->spill[i], STEER_LOOKUP_MAX, out);
	for (int r = 0; r < v->nregion; r++)
		add_region_vms(v, req, r, STEER_LOOKUP_MAX, out);
	set_weights(out);
}
