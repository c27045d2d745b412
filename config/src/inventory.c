#include <primroselead/clock.h>
#include <primroselead/inventory.h>
#include <string.h>

/* Time for which an upstream that was found to be cold rests, in ms. Its bound
 * holds in any second; until it was found it got requests at its full rate. */
#define REST_MS 800

/* Time for which the others of its domain rest, in ms: by then each has been
 * asked and, since it gets no work, has answered. */
#define SUSPECT_MS 1300

/* Time after such a rest without another one, in ms: upstreams that are
 * restarted one after the other must not take their whole domain away. */
#define SUSPECT_AGAIN_MS 5000

void inventory_init(struct inventory *k)
{
	memset(k, 0, sizeof(*k));
	k->upstream =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	k->evacuation =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	k->region =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void inventory_finish(struct inventory *k)
{
	fleet_manifest_finish(&k->manifest);
	g_hash_table_destroy(k->upstream);
	g_hash_table_destroy(k->evacuation);
	g_hash_table_destroy(k->region);
}

void inventory_domain(struct inventory *k, const char *domain,
		      const char *region)
{
	g_hash_table_replace(k->region, g_strdup(domain), g_strdup(region));
}

enum prl_code inventory_manifest(struct inventory *k, struct fleet_manifest *m,
				 struct prl_error *err)
{
	int64_t have = k->manifest.version;

	if (m->version <= have) {
		prl_fail(err, PRL_E_STALE,
			 "manifest %lld is not newer than %lld in force",
			 (long long)m->version, (long long)have);
		fleet_manifest_finish(m);
		return PRL_E_STALE;
	}
	fleet_manifest_finish(&k->manifest);
	k->manifest = *m;
	return PRL_OK;
}

static int is_older(const struct fleet_upstream *u,
		    const struct fleet_upstream *known)
{
	if (u->born_ms != known->born_ms)
		return u->born_ms < known->born_ms;
	return u->sequence < known->sequence;
}

static int64_t cold_of_service(const struct inventory *k, const char *name)
{
	const struct fleet_service *s = fleet_find_service(&k->manifest, name);

	return s ? s->cold_ms : 0;
}

static void note_cold(struct inventory_upstream *u, int64_t ms, int64_t now)
{
	if (now + ms > u->cold_until)
		u->cold_until = now + ms;
}

enum prl_code inventory_upstream(struct inventory *k,
				 const struct fleet_upstream *said, int64_t now,
				 struct prl_error *err)
{
	struct inventory_upstream *u =
		g_hash_table_lookup(k->upstream, said->instance);
	int started = !u || u->said.born_ms != said->born_ms;

	if (u && is_older(said, &u->said))
		return prl_fail(err, PRL_E_STALE,
				"entry of upstream \"%s\" is older than the "
				"one known",
				said->instance);
	if (!u) {
		u = g_new0(struct inventory_upstream, 1);
		u->said = *said;
		g_hash_table_insert(k->upstream, u->said.instance, u);
	}
	u->said = *said;
	u->gone_at = PRL_NEVER;
	note_cold(u, said->cold_ms, now);
	/* One that joins has just started, whatever its first entry says. */
	if (started && k->listed)
		note_cold(u, cold_of_service(k, said->service), now);
	return PRL_OK;
}

int inventory_upstream_gone(struct inventory *k, const char *instance,
			    int64_t gone_at)
{
	struct inventory_upstream *u =
		g_hash_table_lookup(k->upstream, instance);

	if (!u)
		return 0;
	if (gone_at < u->gone_at)
		u->gone_at = gone_at;
	return 1;
}

/* Those that are known to be cold are paced already. */
static void suspect_domain(struct inventory *k, const char *domain, int64_t now)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, k->upstream);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct inventory_upstream *u = value;

		if (now < u->cold_until || strcmp(u->said.domain, domain) != 0)
			continue;
		if (u->rest_until && now < u->rest_until + SUSPECT_AGAIN_MS)
			continue;
		u->rest_until = now + SUSPECT_MS;
	}
}

int inventory_cold(struct inventory *k, const char *instance,
		   int64_t cold_until, int64_t now)
{
	struct inventory_upstream *u =
		g_hash_table_lookup(k->upstream, instance);

	if (!u || cold_until <= u->cold_until)
		return 0;
	/* One that is known to be cold has had no more than it bears. */
	if (now >= u->cold_until) {
		suspect_domain(k, u->said.domain, now);
		u->rest_until = now + REST_MS;
	}
	u->cold_until = cold_until;
	return 1;
}

/* Upstreams of a domain may have become cold while it was evacuated. */
static void mark_cold(struct inventory *k, const char *domain, int64_t now)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, k->upstream);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct inventory_upstream *u = value;

		if (!strcmp(u->said.domain, domain))
			note_cold(u, cold_of_service(k, u->said.service), now);
	}
}

void inventory_evacuate(struct inventory *k, const char *domain, int on,
			int64_t now)
{
	if (on)
		g_hash_table_add(k->evacuation, g_strdup(domain));
	else if (g_hash_table_remove(k->evacuation, domain))
		mark_cold(k, domain, now);
}

int inventory_expire(struct inventory *k, int64_t now)
{
	GHashTableIter it;
	int n = 0;
	void *u;

	g_hash_table_iter_init(&it, k->upstream);
	while (g_hash_table_iter_next(&it, NULL, &u)) {
		if (now < ((struct inventory_upstream *)u)->gone_at)
			continue;
		g_hash_table_iter_remove(&it);
		n++;
	}
	return n > 0;
}
