#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <string.h>

/* Time between two looks at whether a ledger must change, in milliseconds. */
#define GRANT_MS 500

/* Destroyed VMs passed to the plan at once. */
#define GONE_MAX 256

struct grant *grants_get(struct control *c, const struct steer_service *s)
{
	struct grant *g = g_hash_table_lookup(c->grants, s->name);

	if (g)
		return g;
	g = g_new0(struct grant, 1);
	g->control = c;
	snprintf(g->service, sizeof(g->service), "%s", s->name);
	grant_init(&g->capacity, c->settings->vm.name,
		   c->member.peer[0].vm.incarnation,
		   c->started_ms + s->deadline_ms + GRANT_LOAN_TERM_MS +
			   c->settings->control.lease);
	g_hash_table_insert(c->grants, g->service, g);
	return g;
}

struct grant *grants_find(struct control *c, const char *service)
{
	return g_hash_table_lookup(c->grants, service);
}

static void audit(struct grant *g)
{
	for (int i = 0; i < g->capacity.npool; i++) {
		const struct grant_pool *p = &g->capacity.pool[i];
		char before[16];
		char after[16];

		if (g->audited[i] == p->row_tokens)
			continue;
		snprintf(before, sizeof(before), "%d", g->audited[i]);
		snprintf(after, sizeof(after), "%d", p->row_tokens);
		g->audited[i] = p->row_tokens;
		log_event(LOG_AUDIT_LINE, "capacity", "service", g->service,
			  "region", p->region, "from", before, "to", after,
			  NULL);
	}
	if (g->capacity.reclaimed_rows)
		log_event(LOG_AUDIT_LINE, "reclaimed", "service", g->service,
			  NULL);
	g->capacity.reclaimed_rows = 0;
}

static void read_done(struct store_call *call)
{
	struct grant *g = call->ctx;
	const struct store_object *o = call->object;
	struct prl_error err;
	enum prl_code rc = PRL_OK;

	if (call->err.code == PRL_E_NOT_FOUND)
		rc = grant_read_done(&g->capacity, 0, "", 0, &err);
	else if (call->err.code)
		grant_store_failed(&g->capacity);
	else
		rc = grant_read_done(&g->capacity, o->version, o->value, o->len,
				     &err);
	if (rc)
		log_event(LOG_ERROR_LINE, "ledger", "service", g->service,
			  "error", err.text, NULL);
	if (grant_is_valid(&g->capacity))
		backoff_reset(&g->backoff);
	else
		backoff_later(&g->backoff, prl_now_ms());
	store_call_finish(call);
}

static void write_done(struct store_call *call)
{
	struct grant *g = call->ctx;
	int64_t now = prl_now_ms();

	switch (call->err.code) {
	case PRL_OK:
		grant_write_done(&g->capacity, call->revision);
		backoff_reset(&g->backoff);
		g->backoff.next = now + GRANT_MS;
		audit(g);
		break;
	case PRL_E_UNSETTLED:
		grant_write_unsettled(&g->capacity);
		backoff_later(&g->backoff, now);
		break;
	default:
		grant_store_failed(&g->capacity);
		backoff_later(&g->backoff, now);
		break;
	}
	store_call_finish(call);
}

static void start_call(struct grant *g, enum store_op op,
		       const struct grant_write *w, int64_t now)
{
	struct control *c = g->control;
	struct store_call *call = &g->call;

	memset(call, 0, sizeof(*call));
	call->op = op;
	snprintf(call->key, sizeof(call->key), STORE_PREFIX_GRANT "%s",
		 g->service);
	call->deadline_ms = now + c->settings->store.timeout;
	call->done = op == STORE_GET ? read_done : write_done;
	call->ctx = g;
	if (op == STORE_PUT) {
		call->version = w->expected_version;
		call->value = w->text;
		call->len = w->len;
	}
	if (!store_call_start(&c->store, call, NULL))
		return;
	grant_store_failed(&g->capacity);
	backoff_later(&g->backoff, now);
}

/* Sets a pool's inputs. One that the service no longer has keeps its hold and
 * runs down to nothing. */
static void set_pool(struct grant *g, const char *name, int region,
		     int capacity, int hold, int64_t config)
{
	struct grant_pool *p = grant_get_pool(&g->capacity, name);

	if (!p)
		return;
	if (capacity > 0)
		p->semaphore = &g->control->proxy.semaphore[hold];
	if (!p->semaphore) {
		/* Made just now, and not needed. */
		g->capacity.npool--;
		return;
	}
	p->capacity = capacity;
	p->config_version = config;
	p->is_local = region == g->control->proxy.region;
	p->local_vms = g->control->region_vms[region];
	p->all_vms = g->control->all_vms;
}

/* Links out of this VM's own region; others are not its to use. */
static void set_links(struct grant *g, const struct steer_service *s)
{
	const struct config_builder *b = &g->control->builder;
	int own = g->control->proxy.region;
	char name[LEDGER_POOL_NAME_MAX];

	for (int i = 0; i < s->nlink; i++) {
		const struct steer_link *l = &s->link[i];

		if (l->from != own)
			continue;
		snprintf(name, sizeof(name), "%s>%s", b->region[l->from],
			 b->region[l->to]);
		set_pool(g, name, own, l->rate_mbit, l->semaphore_index,
			 s->version);
	}
}

static void set_pools(struct grant *g, const struct steer_service *s)
{
	const struct config_builder *b = &g->control->builder;

	for (int r = 0; r < b->nregion; r++)
		set_pool(g, b->region[r], r, s->region[r].capacity,
			 s->region[r].semaphore_index, s->version);
	set_links(g, s);
}

/* A VM keeps to the ledgers of services in its own region, and of others once
 * a request wanted them: not every VM of a large fleet reads every ledger. */
static int is_concerned(struct control *c, const struct steer_service *s)
{
	return s->region[c->proxy.region].capacity > 0 ||
	       grants_find(c, s->name);
}

static void work(struct grant *g, const struct steer_service *s,
		 const struct grant_destroyed *gone, int64_t now)
{
	struct grant_write w;

	set_pools(g, s);
	if (now < g->backoff.next) {
		grant_apply_capacity(&g->capacity);
		return;
	}
	switch (grant_next_action(&g->capacity, now, gone, &w)) {
	case GRANT_READ:
		start_call(g, STORE_GET, NULL, now);
		break;
	case GRANT_WRITE:
		start_call(g, STORE_PUT, &w, now);
		break;
	case GRANT_IDLE:
		g->backoff.next = now + GRANT_MS;
		break;
	}
}

/* Names of destroyed VMs whose last requests are over. */
static struct grant_destroyed gone_vms(struct control *c, int64_t now,
				       const char **name)
{
	struct grant_destroyed gone = {.vm = name};
	GHashTableIter it;
	void *key;
	void *at;

	g_hash_table_iter_init(&it, c->gone);
	while (gone.n < GONE_MAX && g_hash_table_iter_next(&it, &key, &at))
		if (now >= *(int64_t *)at)
			name[gone.n++] = key;
	return gone;
}

/* After a pause every ledger is read before capacity is used again. */
static void confirm(struct control *c)
{
	GHashTableIter it;
	void *value;
	int trusted = 1;

	g_hash_table_iter_init(&it, c->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct grant *g = value;

		if (!c->doubted) {
			grant_invalidate(&g->capacity);
			g->backoff.next = 0;
		}
		trusted &= grant_is_valid(&g->capacity);
	}
	if (!c->doubted || !trusted) {
		c->doubted = 1;
		return;
	}
	c->unconfirmed = 0;
	c->doubted = 0;
	log_event(LOG_AUDIT_LINE, "confirmed", NULL);
}

void grants_tick(struct control *c, int64_t now)
{
	const char *name[GONE_MAX];
	struct grant_destroyed gone;
	GHashTableIter it;
	void *value;

	if (!c->sync.ready)
		return;
	if (c->unconfirmed)
		confirm(c);
	gone = gone_vms(c, now, name);
	g_hash_table_iter_init(&it, c->builder.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (is_concerned(c, value))
			work(grants_get(c, value), value, &gone, now);
	}
}

int grants_return(struct control *c)
{
	GHashTableIter it;
	void *value;
	int done = 1;

	g_hash_table_iter_init(&it, c->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct grant *g = value;

		grant_release_all(&g->capacity);
		done &= grant_all_released(&g->capacity);
	}
	return done;
}

void grants_finish(struct control *c)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->grants);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct grant *g = value;

		store_call_cancel(&g->call);
		grant_finish(&g->capacity);
		g_free(g);
	}
	g_hash_table_destroy(c->grants);
}
