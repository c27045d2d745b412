#include "grants.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <string.h>

/* Interval between two checks whether a ledger must change, in milliseconds. */
#define CHECK_INTERVAL_MS 500

/* Most destroyed VMs whose rows are reclaimed in one tick. */
#define RECLAIM_VMS_MAX 256

void grants_init(struct control *c)
{
	c->grants.services = g_hash_table_new(g_str_hash, g_str_equal);
}

struct service_grant *grants_get(struct control *c,
				 const struct steer_service *s)
{
	struct service_grant *g =
		g_hash_table_lookup(c->grants.services, s->name);

	if (g)
		return g;
	g = g_new0(struct service_grant, 1);
	g->control = c;
	/* Services of files, which alone have grants, have short names. */
	g_strlcpy(g->service, s->name, sizeof(g->service));
	grant_init(&g->grants, c->settings->vm.name,
		   c->members.peer[0].vm.incarnation,
		   c->started_ms + s->deadline_ms + GRANT_LOAN_TERM_MS +
			   c->settings->control.lease);
	g_hash_table_insert(c->grants.services, g->service, g);
	return g;
}

struct service_grant *grants_find(struct control *c, const char *service)
{
	return g_hash_table_lookup(c->grants.services, service);
}

static void log_rows(struct service_grant *g)
{
	for (int i = 0; i < g->grants.npool; i++) {
		const struct grant_pool *p = &g->grants.pool[i];
		char before[16];
		char after[16];

		if (g->logged_tokens[i] == p->row_tokens)
			continue;
		snprintf(before, sizeof(before), "%d", g->logged_tokens[i]);
		snprintf(after, sizeof(after), "%d", p->row_tokens);
		g->logged_tokens[i] = p->row_tokens;
		log_event(LOG_LEVEL_AUDIT, "capacity", "service", g->service,
			  "region", p->name, "from", before, "to", after, NULL);
	}
	if (g->grants.reclaimed_rows)
		log_event(LOG_LEVEL_AUDIT, "reclaimed", "service", g->service,
			  NULL);
	g->grants.reclaimed_rows = 0;
}

static void read_done(struct store_call *call)
{
	struct service_grant *g = call->ctx;
	const struct store_object *o = call->object;
	struct prl_error err;
	enum prl_code rc = PRL_OK;

	if (call->err.code == PRL_E_NOT_FOUND)
		rc = grant_read_done(&g->grants, 0, "", 0, &err);
	else if (call->err.code)
		grant_store_failed(&g->grants);
	else
		rc = grant_read_done(&g->grants, o->version, o->value, o->len,
				     &err);
	if (rc)
		log_event(LOG_LEVEL_ERROR, "ledger", "service", g->service,
			  "error", err.text, NULL);
	if (grant_is_valid(&g->grants))
		backoff_reset(&g->backoff);
	else
		backoff_schedule(&g->backoff, prl_now_ms());
	store_call_finish(call);
}

static void write_done(struct store_call *call)
{
	struct service_grant *g = call->ctx;
	int64_t now = prl_now_ms();

	switch (call->err.code) {
	case PRL_OK:
		grant_write_done(&g->grants, call->revision);
		backoff_reset(&g->backoff);
		g->backoff.retry_ms = now + CHECK_INTERVAL_MS;
		log_rows(g);
		break;
	case PRL_E_UNSETTLED:
		grant_write_unsettled(&g->grants);
		backoff_schedule(&g->backoff, now);
		break;
	default:
		grant_store_failed(&g->grants);
		backoff_schedule(&g->backoff, now);
		break;
	}
	store_call_finish(call);
}

static void start_call(struct service_grant *g, enum store_op op,
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
	grant_store_failed(&g->grants);
	backoff_schedule(&g->backoff, now);
}

/*
 * Updates a pool from the configuration. A pool that was removed from the
 * service keeps its semaphore, with a capacity of 0, until its requests have
 * ended.
 */
static void set_pool(struct service_grant *g, const char *name, int region,
		     int capacity, int semaphore_index, int64_t config_version)
{
	struct grant_pool *p = grant_get_pool(&g->grants, name);

	if (!p)
		return;
	if (capacity > 0)
		p->semaphore = &g->control->proxy.semaphore[semaphore_index];
	if (!p->semaphore) {
		/*
		 * The pool was created by this call and the service does not
		 * use it: remove it again.
		 */
		g->grants.npool--;
		return;
	}
	p->capacity = capacity;
	p->config_version = config_version;
	p->is_local = region == g->control->proxy.region;
	p->local_vms = g->control->peers.region_vms[region];
	p->all_vms = g->control->peers.all_vms;
}

/*
 * Updates the pools of links that leave this VM's region; it sends no traffic
 * over other links.
 */
static void set_links(struct service_grant *g, const struct steer_service *s)
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

static void set_pools(struct service_grant *g, const struct steer_service *s)
{
	const struct config_builder *b = &g->control->builder;

	for (int r = 0; r < b->nregion; r++)
		set_pool(g, b->region[r], r, s->region[r].capacity,
			 s->region[r].semaphore_index, s->version);
	set_links(g, s);
}

/*
 * A VM reads the ledgers of services that run in its own region, and those of
 * others once a request has needed them. Otherwise each VM of a large fleet
 * would read each ledger.
 */
static int needs_ledger(struct control *c, const struct steer_service *s)
{
	return s->region[c->proxy.region].capacity > 0 ||
	       grants_find(c, s->name);
}

/*
 * Updates the pools from the configuration and starts the ledger read or write
 * that is due.
 */
static void update_grant(struct service_grant *g, const struct steer_service *s,
			 const struct grant_destroyed *destroyed, int64_t now)
{
	struct grant_write w;

	set_pools(g, s);
	if (now < g->backoff.retry_ms) {
		grant_apply_capacity(&g->grants);
		return;
	}
	switch (grant_next_action(&g->grants, now, destroyed, &w)) {
	case GRANT_READ:
		start_call(g, STORE_GET, NULL, now);
		break;
	case GRANT_WRITE:
		start_call(g, STORE_PUT, &w, now);
		break;
	case GRANT_IDLE:
		g->backoff.retry_ms = now + CHECK_INTERVAL_MS;
		break;
	}
}

/*
 * Destroyed VMs whose requests must have ended, so that their rows may be
 * dropped.
 */
static struct grant_destroyed reclaimable_vms(struct control *c, int64_t now,
					      const char **name)
{
	struct grant_destroyed destroyed = {.vm = name};
	GHashTableIter it;
	void *key;
	void *at;

	g_hash_table_iter_init(&it, c->vm_list.destroyed);
	while (destroyed.n < RECLAIM_VMS_MAX &&
	       g_hash_table_iter_next(&it, &key, &at))
		if (now >= *(int64_t *)at)
			name[destroyed.n++] = key;
	return destroyed;
}

/* Marks all ledgers invalid, and then waits until each has been read again. */
static void confirm_ledgers(struct control *c)
{
	GHashTableIter it;
	void *value;
	int all_valid = 1;

	g_hash_table_iter_init(&it, c->grants.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service_grant *g = value;

		if (!c->grants.invalidated) {
			grant_invalidate(&g->grants);
			g->backoff.retry_ms = 0;
		}
		all_valid &= grant_is_valid(&g->grants);
	}
	if (!c->grants.invalidated || !all_valid) {
		c->grants.invalidated = 1;
		return;
	}
	c->unconfirmed = 0;
	c->grants.invalidated = 0;
	log_event(LOG_LEVEL_AUDIT, "confirmed", NULL);
}

void grants_tick(struct control *c, int64_t now)
{
	const char *name[RECLAIM_VMS_MAX];
	struct grant_destroyed destroyed;
	GHashTableIter it;
	void *value;

	if (!c->sync.ready)
		return;
	if (c->unconfirmed)
		confirm_ledgers(c);
	destroyed = reclaimable_vms(c, now, name);
	g_hash_table_iter_init(&it, c->builder.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (needs_ledger(c, value))
			update_grant(grants_get(c, value), value, &destroyed,
				     now);
	}
}

int grants_release_all(struct control *c)
{
	GHashTableIter it;
	void *value;
	int done = 1;

	g_hash_table_iter_init(&it, c->grants.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service_grant *g = value;

		grant_release_all(&g->grants);
		done &= grant_all_released(&g->grants);
	}
	return done;
}

void grants_finish(struct control *c)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->grants.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct service_grant *g = value;

		store_call_cancel(&g->call);
		grant_finish(&g->grants);
		g_free(g);
	}
	g_hash_table_destroy(c->grants.services);
}
