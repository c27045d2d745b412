#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time between two looks at a ledger's need of change, in milliseconds. */
#define GRANT_MS 500

static struct limit_hold *hold_of(struct control *c, const struct grant_pool *p)
{
	return &c->proxy.hold[p->hold];
}

static struct grant *get_grant(struct control *c, const char *service)
{
	struct grant *g = g_hash_table_lookup(c->grants, service);

	if (g)
		return g;
	g = g_new0(struct grant, 1);
	g->control = c;
	snprintf(g->service, sizeof(g->service), "%s", service);
	ledger_init(&g->ledger);
	g_hash_table_insert(c->grants, g->service, g);
	return g;
}

static struct grant_pool *get_pool(struct grant *g, const char *region,
				   int hold)
{
	struct grant_pool *p;

	for (int i = 0; i < g->npool; i++)
		if (!strcmp(g->pool[i].region, region))
			return &g->pool[i];
	if (g->npool == STEER_REGIONS_MAX)
		return NULL;
	p = &g->pool[g->npool++];
	snprintf(p->region, sizeof(p->region), "%s", region);
	p->hold = hold;
	return p;
}

/* Tokens that this VM has in use or free, without those it must give up. */
static int usable(struct control *c, const struct grant_pool *p)
{
	return (int)limit_hold_size(hold_of(c, p)) - (int)p->owed;
}

/* Lowers what may be used; what is in use now is taken away once it ends. */
static void lower(struct control *c, struct grant_pool *p, int to)
{
	int excess = usable(c, p) - to;

	if (excess > 0)
		p->owed += (uint32_t)excess;
	if (p->owed)
		p->owed -= limit_hold_cut(hold_of(c, p), p->owed);
}

/* Raises what may be used after the store has confirmed the row. */
static void raise_to(struct control *c, struct grant_pool *p, int to)
{
	int more = to - usable(c, p);
	int from_owed;

	if (more <= 0)
		return;
	from_owed = more < (int)p->owed ? more : (int)p->owed;
	p->owed -= (uint32_t)from_owed;
	limit_hold_add(hold_of(c, p), (uint32_t)(more - from_owed));
}

static void audit(const struct grant *g, const struct grant_pool *p, int from)
{
	char before[16];
	char after[16];

	if (from == p->row)
		return;
	snprintf(before, sizeof(before), "%d", from);
	snprintf(after, sizeof(after), "%d", p->row);
	log_event(LOG_AUDIT_LINE, "capacity", "service", g->service, "region",
		  p->region, "from", before, "to", after, NULL);
}

static int capacity_now(const struct control *c, const struct grant *g,
			const char *region)
{
	const struct steer_service *s = config_find(&c->builder, g->service);

	for (int r = 0; s && r < c->builder.nregion; r++)
		if (!strcmp(c->builder.region[r], region))
			return s->place[r].capacity;
	return 0;
}

/* Part of the row that may be used: not what an earlier process of this VM
 * may still have at upstreams, and less after the capacity was lowered. */
static int allowed(const struct control *c, const struct grant *g,
		   const struct grant_pool *p)
{
	return ledger_scaled(p->row - p->inherited, p->ledger_capacity,
			     capacity_now(c, g, p->region));
}

/* After a write took effect the rows are what the ledger says. */
static void take_rows(struct grant *g)
{
	struct control *c = g->control;

	for (int i = 0; i < g->npool; i++) {
		struct grant_pool *p = &g->pool[i];
		const struct ledger_pool *lp =
			ledger_pool(&g->ledger, p->region);
		const struct ledger_row *row =
			ledger_row(lp, c->settings->vm.name);
		int before = p->row;

		p->row = row ? row->tokens : 0;
		p->ledger_capacity = lp->capacity;
		audit(g, p, before);
		lower(c, p, allowed(c, g, p));
		raise_to(c, p, allowed(c, g, p));
	}
}

/* A ledger was read. Rows are only lowered by what it says: a write of this
 * VM whose answer was lost may still take effect. */
static void lower_to_ledger(struct grant *g)
{
	struct control *c = g->control;

	for (int i = 0; i < g->npool; i++) {
		struct grant_pool *p = &g->pool[i];
		const struct ledger_pool *lp =
			ledger_pool(&g->ledger, p->region);
		const struct ledger_row *row =
			ledger_row(lp, c->settings->vm.name);
		int tokens = row ? row->tokens : 0;

		if (tokens < p->row)
			p->row = tokens;
		if (tokens != p->row)
			g->unsure = 1;
		lower(c, p, allowed(c, g, p));
	}
}

static void note_inherited(struct grant *g)
{
	struct control *c = g->control;

	for (int i = 0; i < g->npool; i++) {
		struct grant_pool *p = &g->pool[i];
		const struct ledger_row *row =
			ledger_row(ledger_pool(&g->ledger, p->region),
				   c->settings->vm.name);

		if (row &&
		    row->incarnation != c->member.peer[0].vm.incarnation &&
		    !p->row)
			p->inherited = row->tokens;
	}
}

static void end_call(struct grant *g)
{
	free(g->text);
	g->text = NULL;
	g->calling = 0;
	store_call_finish(&g->call);
}

static void read_ledger(struct grant *g)
{
	struct prl_error err;
	int first = !g->loaded;

	ledger_finish(&g->ledger);
	ledger_init(&g->ledger);
	g->version = 0;
	if (!g->call.err.code) {
		g->version = g->call.object[0].version;
		if (g->call.object[0].len &&
		    ledger_read(&g->ledger, g->call.object[0].value,
				g->call.object[0].len, &err)) {
			log_event(LOG_ERROR_LINE, "ledger", "service",
				  g->service, "error", err.text, NULL);
			ledger_init(&g->ledger);
		}
	}
	g->loaded = 1;
	if (first)
		note_inherited(g);
	lower_to_ledger(g);
}

static void read_done(struct store_call *call)
{
	struct grant *g = call->ctx;
	int64_t now = prl_now_ms();

	if (call->err.code && call->err.code != PRL_E_NOT_FOUND) {
		backoff_later(&g->backoff, now);
	} else {
		backoff_reset(&g->backoff);
		read_ledger(g);
	}
	end_call(g);
}

static void write_done(struct store_call *call)
{
	struct grant *g = call->ctx;
	int64_t now = prl_now_ms();

	switch (call->err.code) {
	case PRL_OK:
		g->version = call->revision;
		g->unsure = 0;
		backoff_reset(&g->backoff);
		g->backoff.next = now + GRANT_MS;
		take_rows(g);
		break;
	case PRL_E_UNSETTLED:
		g->unsure = 1;
		g->loaded = 0;
		backoff_later(&g->backoff, now);
		break;
	default:
		g->loaded = 0;
		backoff_later(&g->backoff, now);
		break;
	}
	end_call(g);
}

static void start_call(struct grant *g, enum store_op op, int64_t now)
{
	struct control *c = g->control;
	struct store_call *call = &g->call;

	memset(call, 0, sizeof(*call));
	call->op = op;
	snprintf(call->key, sizeof(call->key), STORE_PREFIX_GRANT "%s",
		 g->service);
	call->deadline = now + c->settings->store.timeout;
	call->done = op == STORE_GET ? read_done : write_done;
	call->ctx = g;
	if (op == STORE_PUT) {
		g->text = ledger_write(&g->ledger);
		if (!g->text)
			return;
		call->version = g->version;
		call->value = g->text;
		call->len = strlen(g->text);
	}
	if (store_start(&c->store, call, NULL)) {
		free(g->text);
		g->text = NULL;
		g->loaded = 0;
		backoff_later(&g->backoff, now);
		return;
	}
	g->calling = 1;
}

static int is_gone(const struct control *c, const char *vm, int64_t now)
{
	const int64_t *at = g_hash_table_lookup(c->gone, vm);

	return at && now >= *at;
}

/* Capacity of VMs that the platform has destroyed is free again, once their
 * last requests are certainly over. */
static int reclaim(const struct control *c, struct ledger_pool *p, int64_t now)
{
	int dropped = 0;
	int i = 0;

	while (i < p->nrow) {
		if (!is_gone(c, p->row[i].vm, now)) {
			i++;
			continue;
		}
		log_event(LOG_AUDIT_LINE, "reclaimed", "vm", p->row[i].vm,
			  "region", p->region, NULL);
		ledger_drop(p, p->row[i].vm);
		dropped = 1;
	}
	return dropped;
}

static void count_vms(const struct control *c, const char *region,
		      struct ledger_wish *w)
{
	for (int i = 0; i < c->member.n; i++) {
		const struct member_vm *vm = &c->member.peer[i].vm;

		if (vm->state == MEMBER_DEAD)
			continue;
		w->all_vms++;
		w->local_vms += !strcmp(vm->region, region);
	}
}

static int wish(struct control *c, struct grant_pool *p,
		const struct ledger_pool *lp)
{
	struct limit_hold *hold = hold_of(c, p);
	int64_t refused = (int64_t)atomic_load(&hold->refused);
	struct ledger_wish w = {
		.mine = p->row - p->inherited,
		.unused = lp->capacity - ledger_sum(lp),
		.capacity = lp->capacity,
		.local = !strcmp(p->region, c->settings->vm.region),
		.peak = (int)limit_hold_peak(hold),
		.refused = refused - p->refused_before,
	};

	p->refused_before = refused;
	count_vms(c, p->region, &w);
	return ledger_plan(&w);
}

/* Plans one pool's row. Returns 1 if the ledger must be written. */
static int plan_pool(struct grant *g, const struct steer_place *place,
		     const char *region, int64_t now)
{
	struct control *c = g->control;
	struct grant_pool *p = get_pool(g, region, place->hold);
	struct ledger_pool *lp = ledger_pool(&g->ledger, region);
	int changed;
	int want;

	if (!p || !lp)
		return 0;
	changed = reclaim(c, lp, now);
	if (lp->capacity != place->capacity) {
		ledger_resize(lp, place->capacity);
		changed = 1;
	}
	want = c->leaving_since ? p->row - p->inherited : wish(c, p, lp);
	if (want < p->row - p->inherited)
		lower(c, p, want);
	want += p->inherited;
	if (want != p->row)
		changed = 1;
	if (ledger_set(lp, c->settings->vm.name,
		       c->member.peer[0].vm.incarnation, want, NULL))
		return 0;
	return changed;
}

static int plan(struct grant *g, const struct steer_service *s, int64_t now)
{
	struct control *c = g->control;
	int changed = g->unsure;

	if (g->quarantine_until && now >= g->quarantine_until) {
		for (int i = 0; i < g->npool; i++)
			g->pool[i].inherited = 0;
		g->quarantine_until = 0;
		changed = 1;
	}
	for (int r = 0; r < c->builder.nregion; r++)
		if (s->place[r].capacity > 0 ||
		    ledger_row(ledger_pool(&g->ledger, c->builder.region[r]),
			       c->settings->vm.name))
			changed |= plan_pool(g, &s->place[r],
					     c->builder.region[r], now);
	return changed;
}

static void cut_owed(struct grant *g)
{
	struct control *c = g->control;

	for (int i = 0; i < g->npool; i++)
		lower(c, &g->pool[i], allowed(c, g, &g->pool[i]));
}

static void tick_grant(struct grant *g, const struct steer_service *s,
		       int64_t now)
{
	cut_owed(g);
	if (g->calling || now < g->backoff.next)
		return;
	if (!g->loaded) {
		if (!g->quarantine_until && !g->npool)
			g->quarantine_until =
				g->control->started_ms + s->deadline_ms;
		for (int r = 0; r < g->control->builder.nregion; r++)
			if (s->place[r].capacity > 0)
				get_pool(g, g->control->builder.region[r],
					 s->place[r].hold);
		start_call(g, STORE_GET, now);
		return;
	}
	g->backoff.next = now + GRANT_MS;
	if (plan(g, s, now))
		start_call(g, STORE_PUT, now);
}

/* After a pause every ledger is read before capacity is used again. */
static void confirm(struct control *c)
{
	GHashTableIter it;
	void *value;
	int loaded = 1;

	g_hash_table_iter_init(&it, c->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct grant *g = value;

		if (c->unconfirmed == 1 && !g->calling) {
			g->loaded = 0;
			g->backoff.next = 0;
		}
		loaded &= g->loaded && !g->calling;
	}
	if (c->unconfirmed == 1) {
		c->unconfirmed = 2;
		return;
	}
	if (!loaded)
		return;
	c->unconfirmed = 0;
	log_event(LOG_AUDIT_LINE, "confirmed", NULL);
}

void grants_tick(struct control *c, int64_t now)
{
	GHashTableIter it;
	void *value;

	if (!c->sync.ready || c->returned)
		return;
	if (c->unconfirmed)
		confirm(c);
	g_hash_table_iter_init(&it, c->builder.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct steer_service *s = value;

		tick_grant(get_grant(c, s->name), s, now);
	}
}

static int return_grant(struct grant *g, int64_t now)
{
	int rows = 0;

	if (g->calling)
		return 0;
	for (int i = 0; i < g->npool; i++) {
		struct grant_pool *p = &g->pool[i];

		lower(g->control, p, 0);
		rows += p->row;
		ledger_drop(ledger_pool(&g->ledger, p->region),
			    g->control->settings->vm.name);
	}
	if (!rows)
		return 1;
	if (now < g->backoff.next && !g->loaded)
		return 0;
	start_call(g, g->loaded ? STORE_PUT : STORE_GET, now);
	return 0;
}

int grants_return(struct control *c, int64_t now)
{
	GHashTableIter it;
	void *value;
	int done = 1;

	g_hash_table_iter_init(&it, c->grants);
	while (g_hash_table_iter_next(&it, NULL, &value))
		done &= return_grant(value, now);
	return done;
}

void grants_finish(struct control *c)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct grant *g = value;

		if (g->calling)
			store_cancel(&g->call);
		free(g->text);
		ledger_finish(&g->ledger);
		g_free(g);
	}
	g_hash_table_destroy(c->grants);
}
