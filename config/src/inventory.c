#include "upstream_id.h"
#include "workspaces.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/inventory.h>
#include <stdio.h>
#include <string.h>

/* Pause in ms for an upstream that was found to be cold. Its rate limit applies
 * to every period of one second, and the current period includes the requests
 * that were sent at the full rate before the upstream was found to be cold. */
#define COLD_PAUSE_MS 800

/* Pause in ms for the other upstreams of the same failure domain: long enough
 * for each to be probed and, as it is sent no requests, to answer. */
#define DOMAIN_PAUSE_MS 1300

/* Minimum time in ms from the end of an upstream's pause to the next pause of
 * its failure domain, so that a rolling restart does not keep the whole domain
 * paused. */
#define DOMAIN_PAUSE_INTERVAL_MS 5000

/* Time in ms for which a rate limit holds that is not named again. The VMs that
 * may still send to the upstream hear of it with each response. */
#define LIMIT_KEPT_MS 20000

/* Pause in ms for an upstream that begins to name a rate limit. A limit holds
 * for periods of seconds, and until all VMs know it the upstream gets its usual
 * requests. */
#define LIMIT_PAUSE_MS 3000

/* Time in ms for which a removed upstream's last entry is kept: more than the
 * age of a copy that the store returns from. */
#define DEPARTED_KEPT_MS 60000

void inventory_init(struct inventory *inv)
{
	memset(inv, 0, sizeof(*inv));
	inv->upstreams =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	inv->departed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	inv->evacuated_domains =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	inv->region_by_domain =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void inventory_finish(struct inventory *inv)
{
	fleet_manifest_finish(&inv->manifest);
	g_free(inv->key);
	g_hash_table_destroy(inv->upstreams);
	g_hash_table_destroy(inv->departed);
	g_hash_table_destroy(inv->evacuated_domains);
	g_hash_table_destroy(inv->region_by_domain);
}

void inventory_set_domain_region(struct inventory *inv, const char *domain,
				 const char *region)
{
	g_hash_table_replace(inv->region_by_domain, g_strdup(domain),
			     g_strdup(region));
}

enum prl_code inventory_install_manifest(struct inventory *inv,
					 struct fleet_manifest *m,
					 struct prl_error *err)
{
	int64_t current = inv->manifest.version;

	if (m->version <= current) {
		prl_error_set(
			err, PRL_E_STALE,
			"manifest version %lld is not newer than version %lld, "
			"which is in force",
			(long long)m->version, (long long)current);
		fleet_manifest_finish(m);
		return PRL_E_STALE;
	}
	fleet_manifest_finish(&inv->manifest);
	inv->manifest = *m;
	config_workspaces_sort(inv);
	return PRL_OK;
}

static int is_older(const struct fleet_upstream *u,
		    const struct fleet_upstream *known)
{
	if (u->started_ms != known->started_ms)
		return u->started_ms < known->started_ms;
	return u->sequence < known->sequence;
}

/* Whether an entry is not newer than the last one of an upstream that was
 * removed. */
static int is_of_departed(const struct inventory *inv,
			  const struct fleet_upstream *u)
{
	const struct inventory_departed *d =
		g_hash_table_lookup(inv->departed, u->instance);

	if (!d || u->started_ms > d->started_ms)
		return 0;
	return u->started_ms < d->started_ms || u->sequence <= d->sequence;
}

static int64_t service_cold_start_ms(const struct inventory *inv,
				     const char *name)
{
	const struct fleet_service *s =
		fleet_find_service(&inv->manifest, name);

	return s ? s->cold_start_ms : 0;
}

static void extend_cold(struct inventory_upstream *u, int64_t ms, int64_t now)
{
	if (now + ms > u->cold_until_ms)
		u->cold_until_ms = now + ms;
}

enum prl_code inventory_update_upstream(struct inventory *inv,
					const struct fleet_upstream *entry,
					int64_t now, struct prl_error *err)
{
	struct inventory_upstream *u =
		g_hash_table_lookup(inv->upstreams, entry->instance);
	int is_new_start = !u || u->entry.started_ms != entry->started_ms;

	if (u ? is_older(entry, &u->entry) : is_of_departed(inv, entry))
		return prl_error_set(
			err, PRL_E_STALE,
			"entry of upstream \"%s\" is older than the "
			"entry already known",
			entry->instance);
	if (!u) {
		u = g_new0(struct inventory_upstream, 1);
		u->entry = *entry;
		g_hash_table_insert(inv->upstreams, u->entry.instance, u);
		g_hash_table_remove(inv->departed, entry->instance);
	}
	u->remove_at_ms = PRL_NEVER;
	if (is_new_start) {
		u->limited_until_ms = 0;
		u->closed_until_ms = 0;
		u->said_leaving = 0;
	}
	/* The cold time of an entry counts from when it was written, not from
	 * when it is read again. */
	if (is_new_start || entry->sequence > u->entry.sequence)
		extend_cold(u, entry->cold_time_left_ms, now);
	u->entry = *entry;
	/* An upstream that appears after the initial list has just started and
	 * is cold, even if its first entry reports no cold time. */
	if (is_new_start && inv->list_complete)
		extend_cold(u, service_cold_start_ms(inv, entry->service), now);
	return PRL_OK;
}

int inventory_schedule_removal(struct inventory *inv, const char *instance,
			       int64_t remove_at_ms)
{
	struct inventory_upstream *u =
		g_hash_table_lookup(inv->upstreams, instance);

	if (!u)
		return 0;
	if (remove_at_ms < u->remove_at_ms)
		u->remove_at_ms = remove_at_ms;
	return 1;
}

/* Pauses the warm upstreams of a failure domain. Cold ones are already limited
 * to their cold rate. */
static void pause_domain(struct inventory *inv, const char *domain, int64_t now)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, inv->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct inventory_upstream *u = value;

		if (now < u->cold_until_ms ||
		    strcmp(u->entry.domain, domain) != 0)
			continue;
		if (u->paused_until_ms &&
		    now < u->paused_until_ms + DOMAIN_PAUSE_INTERVAL_MS)
			continue;
		u->paused_until_ms = now + DOMAIN_PAUSE_MS;
	}
}

int inventory_report_cold(struct inventory *inv, const char *instance,
			  int64_t cold_until_ms, int64_t now)
{
	struct inventory_upstream *u =
		g_hash_table_lookup(inv->upstreams, instance);

	if (!u || cold_until_ms <= u->cold_until_ms)
		return 0;
	/* An upstream already known to be cold was sent no more than its cold
	 * rate, so it needs no pause. */
	if (now >= u->cold_until_ms) {
		pause_domain(inv, u->entry.domain, now);
		u->paused_until_ms = now + COLD_PAUSE_MS;
	}
	u->cold_until_ms = cold_until_ms;
	return 1;
}

uint64_t inventory_upstream_id(const struct fleet_upstream *entry)
{
	char start[FLEET_NAME_MAX + 24];

	inventory_format_start(entry, start, sizeof(start));
	return prl_hash_string(start);
}

void inventory_format_start(const struct fleet_upstream *entry, char *out,
			    size_t size)
{
	snprintf(out, size, "%s %lld", entry->instance,
		 (long long)entry->started_ms);
}

static int set_limit(struct inventory_upstream *u, int64_t limit_milli,
		     int64_t now)
{
	int is_new = now >= u->limited_until_ms;
	int changed = is_new || u->limit_milli != limit_milli;

	if (is_new)
		u->limit_resumes_ms = now + LIMIT_PAUSE_MS;
	u->limit_milli = limit_milli;
	u->limited_until_ms = now + LIMIT_KEPT_MS;
	u->limit_named_ms = now;
	return changed;
}

static int end_limit(struct inventory_upstream *u, int64_t sent_ms, int64_t now)
{
	if (now >= u->limited_until_ms || sent_ms < u->limit_named_ms)
		return 0;
	u->limited_until_ms = 0;
	return 1;
}

/* Returns the upstream if the start that the key names is its current one, else
 * null. */
static struct inventory_upstream *
find_start(struct inventory *inv, const struct inventory_upstream_key *key)
{
	struct inventory_upstream *u =
		g_hash_table_lookup(inv->upstreams, key->instance);

	return u && inventory_upstream_id(&u->entry) == key->upstream_id ? u
									 : NULL;
}

int inventory_has_start(struct inventory *inv,
			const struct inventory_upstream_key *key)
{
	return find_start(inv, key) != NULL;
}

int inventory_report_limit(struct inventory *inv,
			   const struct inventory_upstream_key *key,
			   int64_t limit_milli, int64_t sent_ms, int64_t now)
{
	struct inventory_upstream *u = find_start(inv, key);

	if (!u)
		return 0;
	if (limit_milli < 0)
		return end_limit(u, sent_ms, now);
	return set_limit(u, limit_milli, now);
}

int inventory_report_leaving(struct inventory *inv,
			     const struct inventory_upstream_key *key)
{
	struct inventory_upstream *u = find_start(inv, key);

	if (!u || u->said_leaving)
		return 0;
	u->said_leaving = 1;
	return 1;
}

int inventory_report_closed(struct inventory *inv,
			    const struct inventory_upstream_key *key,
			    int64_t closed_until_ms)
{
	struct inventory_upstream *u = find_start(inv, key);

	if (!u || closed_until_ms <= u->closed_until_ms)
		return 0;
	u->closed_until_ms = closed_until_ms;
	return 1;
}

/* Treats all upstreams of a failure domain as cold: they may have become cold
 * while the domain was evacuated. */
static void mark_domain_cold(struct inventory *inv, const char *domain,
			     int64_t now)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, inv->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct inventory_upstream *u = value;

		if (!strcmp(u->entry.domain, domain))
			extend_cold(
				u, service_cold_start_ms(inv, u->entry.service),
				now);
	}
}

void inventory_schedule_evacuation_end(struct inventory *inv,
				       const char *domain, int64_t end_ms)
{
	int64_t *end = g_hash_table_lookup(inv->evacuated_domains, domain);

	if (end && end_ms < *end)
		*end = end_ms;
}

void inventory_set_evacuated(struct inventory *inv, const char *domain, int on,
			     int64_t now)
{
	int64_t never = PRL_NEVER;

	if (on)
		g_hash_table_replace(inv->evacuated_domains, g_strdup(domain),
				     g_memdup2(&never, sizeof(never)));
	else if (g_hash_table_remove(inv->evacuated_domains, domain))
		mark_domain_cold(inv, domain, now);
}

static int end_evacuations(struct inventory *inv, int64_t now)
{
	GHashTableIter it;
	int n = 0;
	void *domain;
	void *end;

	g_hash_table_iter_init(&it, inv->evacuated_domains);
	while (g_hash_table_iter_next(&it, &domain, &end)) {
		if (now < *(int64_t *)end)
			continue;
		mark_domain_cold(inv, domain, now);
		g_hash_table_iter_remove(&it);
		n++;
	}
	return n;
}

static void note_departed(struct inventory *inv,
			  const struct fleet_upstream *entry, int64_t now)
{
	struct inventory_departed *d = g_new0(struct inventory_departed, 1);

	d->started_ms = entry->started_ms;
	d->sequence = entry->sequence;
	d->forget_at_ms = now + DEPARTED_KEPT_MS;
	g_hash_table_replace(inv->departed, g_strdup(entry->instance), d);
}

static void forget_departed(struct inventory *inv, int64_t now)
{
	GHashTableIter it;
	void *d;

	g_hash_table_iter_init(&it, inv->departed);
	while (g_hash_table_iter_next(&it, NULL, &d))
		if (now >= ((struct inventory_departed *)d)->forget_at_ms)
			g_hash_table_iter_remove(&it);
}

int inventory_remove_expired(struct inventory *inv, int64_t now)
{
	GHashTableIter it;
	int n = end_evacuations(inv, now);
	void *value;

	forget_departed(inv, now);
	g_hash_table_iter_init(&it, inv->upstreams);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct inventory_upstream *u = value;

		if (now < u->remove_at_ms)
			continue;
		note_departed(inv, &u->entry, now);
		g_hash_table_iter_remove(&it);
		n++;
	}
	return n > 0;
}
