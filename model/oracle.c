#include "world.h"
#include <string.h>

void oracle_count_run(struct world *w, const struct inflight_request *f)
{
	w->result->ran++;
	if (f->key < 0)
		return;
	w->key_runs[f->key]++;
	if (w->key_runs[f->key] > 1)
		oracle_fail(w, "key %d ran %d times", f->key,
			    w->key_runs[f->key]);
}

/* Greatest capacity of the region in any configuration that may still be in
 * force on a VM, or under which a request that still runs was admitted. */
static int capacity_bound(const struct world *w, int region)
{
	int64_t oldest = INT64_MAX;
	int bound = 0;

	for (int i = 0; i < VMS; i++)
		if (w->vm[i].alive && w->vm[i].config_index >= 0 &&
		    w->vm[i].service.version < oldest)
			oldest = w->vm[i].service.version;
	for (int i = 0; i < INFLIGHT_MAX; i++)
		if (w->inflight[i].used &&
		    w->inflight[i].config_version < oldest)
			oldest = w->inflight[i].config_version;
	for (int i = 0; i < w->nconfig; i++)
		if (w->config[i].accepted && w->config[i].version >= oldest &&
		    w->config[i].capacity[region] > bound)
			bound = w->config[i].capacity[region];
	return bound;
}

static void check_capacity(struct world *w, int region)
{
	int bound = capacity_bound(w, region);
	int n = 0;

	for (int i = 0; i < INFLIGHT_MAX; i++)
		n += w->inflight[i].used && !w->inflight[i].finished &&
		     w->inflight[i].region == region;
	if (n > bound)
		oracle_fail(w,
			    "region %d carries %d requests, its capacity is %d",
			    region, n, bound);
}

static void check_ledger(struct world *w)
{
	const struct fake_object *o = store_find(w, "grants/s");
	struct ledger l;

	if (!o || o->version == w->checked_ledger_version)
		return;
	w->checked_ledger_version = o->version;
	if (ledger_parse(&l, o->value, strlen(o->value), NULL)) {
		oracle_fail(w, "the ledger in the store is not valid");
		return;
	}
	ledger_finish(&l);
}

static void check_configs(struct world *w)
{
	for (int i = 0; i < VMS; i++) {
		const struct fake_vm *v = &w->vm[i];

		if (v->alive && v->config_index >= 0 &&
		    !w->config[v->config_index].accepted)
			oracle_fail(
				w,
				"vm %d has a configuration in force that was "
				"not accepted",
				i);
	}
}

void oracle_check(struct world *w)
{
	for (int r = 0; r < REGIONS; r++)
		check_capacity(w, r);
	check_ledger(w);
	check_configs(w);
	if (w->shifted * 1000 > w->shift_credit)
		oracle_fail(w, "%lld requests were moved, the cap allows %lld",
			    (long long)w->shifted,
			    (long long)w->shift_credit / 1000);
}

/* The ledger has no row of a VM's earlier process, as the capacity of such a
 * row would be lost. Rows of a VM without a process are dropped only when one
 * starts or the platform destroys the VM. */
static void check_stale_rows(struct world *w)
{
	const struct fake_object *o = store_find(w, "grants/s");
	struct ledger l;

	if (!o || ledger_parse(&l, o->value, strlen(o->value), NULL))
		return;
	for (int i = 0; i < l.npool; i++)
		for (int k = 0; k < l.pool[i].nrow; k++) {
			const struct ledger_row *r = &l.pool[i].row[k];
			int vm = r->vm[2] - '0';

			if (w->vm[vm].alive &&
			    r->incarnation != w->vm[vm].incarnation)
				oracle_fail(
					w,
					"the row of \"%s\", incarnation %lld, "
					"was never dropped",
					r->vm, (long long)r->incarnation);
		}
	ledger_finish(&l);
}

/* After recovery the newest configuration is in force on every VM, no claim is
 * pending, and no capacity is lost. */
void oracle_check_settled(struct world *w)
{
	for (int i = 0; i < VMS; i++) {
		const struct fake_vm *v = &w->vm[i];

		if (!v->alive || w->current_config < 0)
			continue;
		if (claim_has_pending(&v->claims))
			oracle_fail(w, "vm %d has a claim that waits for ever",
				    i);
		if (!grant_is_valid(&v->grant))
			oracle_fail(w, "vm %d does not get hold of the ledger",
				    i);
		if (v->config_index != w->current_config)
			oracle_fail(w,
				    "vm %d has configuration %d in force, the "
				    "newest is %d",
				    i, v->config_index, w->current_config);
	}
	check_stale_rows(w);
}
