#include "grant_pool.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Shortest time between two reads by a VM that needs more tokens, in
 * milliseconds. */
#define STARVED_READ_MS 2000

/* Interval of the periodic read of a ledger, in milliseconds: the time per VM
 * of the fleet, so that the read rate of the fleet does not grow with its size,
 * but not less than the minimum. */
#define CHECK_READ_MIN_MS 10000
#define CHECK_READ_PER_VM_MS 500

void grant_init(struct grant_set *g, const char *vm, int64_t incarnation,
		int64_t predecessor_until_ms)
{
	memset(g, 0, sizeof(*g));
	snprintf(g->vm, sizeof(g->vm), "%s", vm);
	g->incarnation = incarnation;
	g->predecessor_until_ms = predecessor_until_ms;
	g->check_read_ms = predecessor_until_ms;
	ledger_init(&g->ledger);
}

void grant_finish(struct grant_set *g)
{
	ledger_finish(&g->ledger);
	free(g->text);
	free(g->pool);
	g->text = NULL;
	g->pool = NULL;
}

static enum prl_code grow_pools(struct grant_set *g)
{
	int alloc = g->pool_alloc ? g->pool_alloc * 2 : 4;
	struct grant_pool *bigger;

	if (g->npool == LEDGER_POOLS_MAX)
		return PRL_E_LIMIT;
	bigger = realloc(g->pool, (size_t)alloc * sizeof(*bigger));
	if (!bigger)
		return PRL_E_MEMORY;
	g->pool = bigger;
	g->pool_alloc = alloc;
	return PRL_OK;
}

struct grant_pool *grant_get_pool(struct grant_set *g, const char *name)
{
	struct grant_pool *p;

	for (int i = 0; i < g->npool; i++)
		if (!strcmp(g->pool[i].name, name))
			return &g->pool[i];
	if (g->npool == g->pool_alloc && grow_pools(g))
		return NULL;
	p = &g->pool[g->npool++];
	memset(p, 0, sizeof(*p));
	snprintf(p->name, sizeof(p->name), "%s", name);
	return p;
}

void grant_apply_capacity(struct grant_set *g)
{
	for (int i = 0; i < g->npool; i++)
		pool_lower_retained(&g->pool[i],
				    pool_usable_tokens(&g->pool[i]));
}

static const struct ledger_row *find_own_row(struct grant_set *g,
					     const struct grant_pool *p)
{
	const struct ledger_pool *lp = ledger_get_pool(&g->ledger, p->name);

	return lp ? ledger_find_row(lp, g->vm, g->incarnation) : NULL;
}

static void copy_ledger_capacity(struct grant_set *g, struct grant_pool *p)
{
	const struct ledger_pool *lp = ledger_get_pool(&g->ledger, p->name);

	p->ledger_capacity = lp ? lp->capacity : 0;
	p->ledger_config_version = lp ? lp->config_version : 0;
}

static void set_row(struct grant_pool *p, const struct ledger_row *row)
{
	p->row_tokens = row ? row->tokens : 0;
	p->row_base_capacity = row ? row->base_capacity : 0;
}

/* Adopts the row that was read only if it allows fewer tokens: a write of this
 * process whose answer was lost may still take effect and lower the row. */
static void apply_ledger(struct grant_set *g)
{
	for (int i = 0; i < g->npool; i++) {
		struct grant_pool *p = &g->pool[i];
		const struct ledger_row *row = find_own_row(g, p);
		int tokens = row ? row->tokens : 0;
		int base_capacity = row ? row->base_capacity : 0;

		if (tokens != p->row_tokens ||
		    base_capacity != p->row_base_capacity)
			g->row_uncertain = 1;
		copy_ledger_capacity(g, p);
		if (ledger_scale_tokens(tokens, base_capacity,
					pool_capacity(p)) <
		    pool_usable_tokens(p))
			set_row(p, row);
	}
	grant_apply_capacity(g);
}

enum prl_code grant_read_done(struct grant_set *g, int64_t version,
			      const char *text, size_t len,
			      struct prl_error *err)
{
	struct ledger fresh;
	enum prl_code rc;

	g->call_pending = 0;
	g->read_pending = 0;
	if (g->discard_read) {
		g->discard_read = 0;
		return PRL_OK;
	}
	ledger_init(&fresh);
	if (len) {
		rc = ledger_parse(&fresh, text, len, err);
		if (rc)
			return rc;
	}
	ledger_finish(&g->ledger);
	g->ledger = fresh;
	g->version = version;
	g->loaded = 1;
	apply_ledger(g);
	return PRL_OK;
}

void grant_write_done(struct grant_set *g, int64_t version)
{
	g->call_pending = 0;
	g->version = version;
	g->row_uncertain = 0;
	for (int i = 0; i < g->npool; i++) {
		struct grant_pool *p = &g->pool[i];
		set_row(p, find_own_row(g, p));
		copy_ledger_capacity(g, p);
		p->retained_tokens = pool_usable_tokens(p);
		pool_resize_semaphore(p);
	}
}

void grant_write_unsettled(struct grant_set *g)
{
	g->call_pending = 0;
	g->row_uncertain = 1;
	g->loaded = 0;
}

void grant_store_failed(struct grant_set *g)
{
	g->call_pending = 0;
	g->read_pending = 0;
	g->discard_read = 0;
	g->loaded = 0;
}

void grant_invalidate(struct grant_set *g)
{
	g->loaded = 0;
	g->discard_read = g->read_pending;
}

int grant_is_valid(const struct grant_set *g)
{
	return g->loaded;
}

void grant_release_all(struct grant_set *g)
{
	g->leaving = 1;
}

/* Whether the ledger has rows of earlier processes of this VM. If this process
 * left without dropping them, their tokens would stay allocated. */
static int has_predecessor_rows(const struct grant_set *g)
{
	for (int i = 0; i < g->ledger.npool; i++) {
		const struct ledger_pool *lp = &g->ledger.pool[i];

		for (int k = 0; k < lp->nrow; k++)
			if (lp->row[k].incarnation < g->incarnation &&
			    !strcmp(lp->row[k].vm, g->vm))
				return 1;
	}
	return 0;
}

int grant_all_released(const struct grant_set *g)
{
	int remaining = 0;

	for (int i = 0; i < g->npool; i++)
		remaining +=
			g->pool[i].row_tokens + pool_has_loans(&g->pool[i]);
	return g->loaded && !g->call_pending && !g->row_uncertain &&
	       !remaining && !has_predecessor_rows(g);
}

/* Drops the rows of earlier processes of this VM once their requests have
 * ended, and the rows of destroyed VMs. Returns 1 if there were any. */
static int reclaim_rows(struct grant_set *g, struct ledger_pool *lp,
			int64_t now_ms, const struct grant_destroyed *destroyed)
{
	int before = g->reclaimed_rows;

	if (now_ms >= g->predecessor_until_ms)
		g->reclaimed_rows +=
			ledger_drop_rows(lp, g->vm, g->incarnation);
	for (int i = 0; i < destroyed->n; i++)
		if (strcmp(destroyed->vm[i], g->vm) != 0)
			g->reclaimed_rows += ledger_drop_rows(
				lp, destroyed->vm[i], INT64_MAX);
	return g->reclaimed_rows != before;
}

static int plan_tokens(struct grant_set *g, struct grant_pool *p,
		       const struct ledger_pool *lp)
{
	int64_t refused = (int64_t)atomic_load(&p->semaphore->refused);
	int want;
	struct ledger_demand d = {
		.own_tokens = pool_usable_tokens(p),
		.unallocated = ledger_unallocated(lp),
		.capacity = lp->capacity,
		.is_local = p->is_local,
		.local_vms = p->local_vms,
		.all_vms = p->all_vms,
		.refused = refused - p->refused_seen,
	};

	p->refused_seen = refused;
	want = ledger_plan_tokens(&d);
	if (d.refused && want <= d.own_tokens)
		g->starved = 1;
	return want;
}

/* Plans one pool's row in the copy of the ledger, and lowers the semaphore if
 * tokens are given up. Returns 1 if the ledger must be written. */
static int plan_pool(struct grant_set *g, struct grant_pool *p, int64_t now_ms,
		     const struct grant_destroyed *destroyed)
{
	struct ledger_pool *lp = ledger_get_pool(&g->ledger, p->name);
	int changed;
	int want;

	if (!lp)
		return 0;
	changed = reclaim_rows(g, lp, now_ms, destroyed);
	if (lp->config_version < p->config_version) {
		changed |= lp->capacity != p->capacity;
		lp->capacity = p->capacity;
		lp->config_version = p->config_version;
	}
	want = g->leaving ? 0 : plan_tokens(g, p, lp);
	if (want < pool_lent_tokens(p, lp->capacity))
		want = pool_lent_tokens(p, lp->capacity);
	pool_lower_retained(p, want);
	/* The tokens of running requests stay in the row until the requests
	 * end. No request is added, since the semaphore is smaller already. */
	if (want < pool_required_tokens(p, lp->capacity))
		want = pool_required_tokens(p, lp->capacity);
	if (want == p->row_tokens &&
	    (p->row_base_capacity == lp->capacity || !want) &&
	    p->retained_tokens >= pool_usable_tokens(p))
		return changed;
	return !ledger_set_row(lp, g->vm, g->incarnation, want, NULL) ||
	       changed;
}

static int plan_pools(struct grant_set *g, int64_t now_ms,
		      const struct grant_destroyed *destroyed)
{
	int changed = g->row_uncertain;

	g->reclaimed_rows = 0;
	g->starved = 0;
	for (int i = 0; i < g->npool; i++)
		changed |= plan_pool(g, &g->pool[i], now_ms, destroyed);
	return changed;
}

static int64_t check_interval_ms(const struct grant_set *g)
{
	int64_t interval_ms = CHECK_READ_MIN_MS;

	for (int i = 0; i < g->npool; i++)
		if ((int64_t)g->pool[i].all_vms * CHECK_READ_PER_VM_MS >
		    interval_ms)
			interval_ms = (int64_t)g->pool[i].all_vms *
				      CHECK_READ_PER_VM_MS;
	return interval_ms;
}

/* Whether to read the ledger although the copy is valid. */
static int read_is_due(struct grant_set *g, int64_t now_ms)
{
	if (g->starved && now_ms >= g->starved_read_ms)
		return 1;
	if (now_ms < g->check_read_ms)
		return 0;
	g->check_read_ms = now_ms + check_interval_ms(g);
	return 1;
}

enum grant_action grant_next_action(struct grant_set *g, int64_t now_ms,
				    const struct grant_destroyed *destroyed,
				    struct grant_write *w)
{
	grant_apply_capacity(g);
	if (g->call_pending)
		return GRANT_IDLE;
	if (!g->loaded || read_is_due(g, now_ms)) {
		g->call_pending = 1;
		g->read_pending = 1;
		g->starved = 0;
		g->starved_read_ms = now_ms + STARVED_READ_MS;
		return GRANT_READ;
	}
	if (!plan_pools(g, now_ms, destroyed))
		return GRANT_IDLE;
	free(g->text);
	g->text = ledger_format(&g->ledger);
	if (!g->text) {
		g->loaded = 0;
		return GRANT_IDLE;
	}
	g->call_pending = 1;
	w->expected_version = g->version;
	w->text = g->text;
	w->len = strlen(g->text);
	return GRANT_WRITE;
}
