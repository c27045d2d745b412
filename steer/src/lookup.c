#include <primroselead/hash.h>
#include <primroselead/steer.h>

/* Share of the first VM named; the others divide the rest. */
#define FIRST_WEIGHT 700

#define WHOLE_WEIGHT 1000

/* Failure domains of one region that a look-up tells apart. */
#define DOMAINS_MAX 16

/* A VM and its rank for one caller: highest random weight first. */
struct ranked {
	int vm;
	uint64_t weight;
};

/* What one pass over a region's VMs leaves: the best ones of all, and the best
 * one of each failure domain. */
struct ranking {
	struct ranked best[STEER_LOOKUP_MAX];
	int nbest;
	struct ranked of_domain[DOMAINS_MAX];
	int ndomain;
};

static void note_best(struct ranking *k, const struct ranked *r)
{
	int at = k->nbest;

	if (at == STEER_LOOKUP_MAX) {
		if (r->weight <= k->best[at - 1].weight)
			return;
		at--;
	} else {
		k->nbest++;
	}
	while (at > 0 && k->best[at - 1].weight < r->weight) {
		k->best[at] = k->best[at - 1];
		at--;
	}
	k->best[at] = *r;
}

static void note_domain(const struct steer_view *v, struct ranking *k,
			const struct ranked *r)
{
	int domain = v->vm[r->vm].domain;

	for (int i = 0; i < k->ndomain; i++) {
		if (v->vm[k->of_domain[i].vm].domain != domain)
			continue;
		if (r->weight > k->of_domain[i].weight)
			k->of_domain[i] = *r;
		return;
	}
	if (k->ndomain < DOMAINS_MAX)
		k->of_domain[k->ndomain++] = *r;
}

static int domain_named(const struct steer_view *v,
			const struct steer_lookup_answer *out, int domain)
{
	for (int i = 0; i < out->n; i++)
		if (v->vm[out->entry[i].vm].domain == domain)
			return 1;
	return 0;
}

static int vm_named(const struct steer_lookup_answer *out, int vm)
{
	for (int i = 0; i < out->n; i++)
		if (out->entry[i].vm == vm)
			return 1;
	return 0;
}

static void rank_region(const struct steer_view *v,
			const struct steer_lookup_request *ask, int region,
			const struct steer_lookup_answer *out,
			struct ranking *k)
{
	k->nbest = 0;
	k->ndomain = 0;
	for (int i = v->first_vm[region]; i < v->first_vm[region + 1]; i++) {
		struct ranked r = {.vm = i};

		if (v->vm[i].state != STEER_ACTIVE || vm_named(out, i))
			continue;
		r.weight = prl_hash_pair(v->vm[i].id, ask->block);
		note_best(k, &r);
		note_domain(v, k, &r);
	}
}

/* The best VM of a domain not named yet, else the best one left. */
static int next_vm(const struct steer_view *v, const struct ranking *k,
		   const struct steer_lookup_answer *out)
{
	const struct ranked *best = NULL;

	for (int i = 0; i < k->ndomain; i++) {
		const struct ranked *r = &k->of_domain[i];

		if (!domain_named(v, out, v->vm[r->vm].domain) &&
		    (!best || r->weight > best->weight))
			best = r;
	}
	for (int i = 0; !best && i < k->nbest; i++)
		if (!vm_named(out, k->best[i].vm))
			best = &k->best[i];
	return best ? best->vm : STEER_NONE;
}

static void name_vms(const struct steer_view *v,
		     const struct steer_lookup_request *ask, int region,
		     int most, struct steer_lookup_answer *out)
{
	struct ranking k;

	if (out->n >= most)
		return;
	rank_region(v, ask, region, out, &k);
	while (out->n < most) {
		int vm = next_vm(v, &k, out);

		if (vm == STEER_NONE)
			return;
		out->entry[out->n++].vm = vm;
	}
}

static void set_weights(struct steer_lookup_answer *out)
{
	int rest = WHOLE_WEIGHT;

	if (out->n == 1) {
		out->entry[0].weight_permille = WHOLE_WEIGHT;
		return;
	}
	for (int i = 0; i < out->n; i++) {
		int share = i ? (WHOLE_WEIGHT - FIRST_WEIGHT) / (out->n - 1)
			      : FIRST_WEIGHT;

		out->entry[i].weight_permille = share;
		rest -= share;
	}
	if (out->n)
		out->entry[0].weight_permille += rest;
}

void steer_lookup(const struct steer_view *v,
		  const struct steer_lookup_request *ask,
		  struct steer_lookup_answer *out)
{
	const struct steer_service *s = v->service[ask->service];
	const struct steer_service_region *place = &s->region[ask->region];

	out->n = 0;
	/* The last name is for another region, should this one fail whole. */
	name_vms(v, ask, ask->region, STEER_LOOKUP_MAX - 1, out);
	for (int i = 0; i < place->nspill; i++)
		name_vms(v, ask, place->spill[i], STEER_LOOKUP_MAX, out);
	for (int r = 0; r < v->nregion; r++)
		name_vms(v, ask, r, STEER_LOOKUP_MAX, out);
	set_weights(out);
}
