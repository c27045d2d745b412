#include <primroselead/hash.h>
#include <primroselead/steer.h>

/* Share of the first VM named; the others divide the rest. */
#define FIRST_WEIGHT 700

#define WHOLE_WEIGHT 1000

static int domain_named(const struct steer_view *v,
			const struct steer_answer *out, int domain)
{
	for (int i = 0; i < out->n; i++)
		if (v->vm[out->named[i].vm].domain == domain)
			return 1;
	return 0;
}

static int vm_named(const struct steer_answer *out, int vm)
{
	for (int i = 0; i < out->n; i++)
		if (out->named[i].vm == vm)
			return 1;
	return 0;
}

/* Highest random weight among a region's VMs; other domains go first. */
static int best_vm(const struct steer_view *v, const struct steer_ask *ask,
		   int region, const struct steer_answer *out)
{
	int best = STEER_NONE;
	int best_new = 0;
	uint64_t best_hash = 0;

	for (int i = v->first_vm[region]; i < v->first_vm[region + 1]; i++) {
		const struct steer_vm *vm = &v->vm[i];
		uint64_t hash;
		int fresh;

		if (vm->state != STEER_ACTIVE || vm_named(out, i))
			continue;
		hash = prl_hash_pair(vm->id, ask->block);
		fresh = !domain_named(v, out, vm->domain);
		if (best != STEER_NONE && fresh < best_new)
			continue;
		if (best != STEER_NONE && fresh == best_new &&
		    hash <= best_hash)
			continue;
		best = i;
		best_new = fresh;
		best_hash = hash;
	}
	return best;
}

static void name_vms(const struct steer_view *v, const struct steer_ask *ask,
		     int region, int most, struct steer_answer *out)
{
	while (out->n < most) {
		int vm = best_vm(v, ask, region, out);

		if (vm == STEER_NONE)
			return;
		out->named[out->n++].vm = vm;
	}
}

static void set_weights(struct steer_answer *out)
{
	int rest = WHOLE_WEIGHT;

	if (out->n == 1) {
		out->named[0].weight = WHOLE_WEIGHT;
		return;
	}
	for (int i = 0; i < out->n; i++) {
		int share = i ? (WHOLE_WEIGHT - FIRST_WEIGHT) / (out->n - 1)
			      : FIRST_WEIGHT;

		out->named[i].weight = share;
		rest -= share;
	}
	if (out->n)
		out->named[0].weight += rest;
}

void steer_lookup(const struct steer_view *v, const struct steer_ask *ask,
		  struct steer_answer *out)
{
	const struct steer_service *s = v->service[ask->service];
	const struct steer_place *place = &s->place[ask->region];

	out->n = 0;
	/* The last name is for another region, should this one fail whole. */
	name_vms(v, ask, ask->region, STEER_ANSWER_MAX - 1, out);
	for (int i = 0; i < place->nspill; i++)
		name_vms(v, ask, place->spill[i], STEER_ANSWER_MAX, out);
	for (int r = 0; r < v->nregion; r++)
		name_vms(v, ask, r, STEER_ANSWER_MAX, out);
	set_weights(out);
}
