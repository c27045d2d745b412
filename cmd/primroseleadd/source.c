/* Reads the platform's objects from the store. */
#include "source.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <primroselead/platform.h>
#include <string.h>

/*
 * Time in ms for which an object that is missing counts as present if it may
 * have expired during an outage of the store, or if the store may have returned
 * from a copy that lacks it; its writer writes it again within this time.
 */
#define EXPIRED_GRACE_MS 2000

/*
 * Time in ms after an outage of the store, or its return from a copy, during
 * which a missing object is taken to be missing because of it.
 */
#define AFTER_OUTAGE_MS 3000

/*
 * Age in ms of the store's last confirmation at which the replica counts as
 * stale. A watch confirms it more often.
 */
#define STALE_AFTER_MS 2500

/*
 * Delay after the start before seeds are asked for their replica, to give the
 * store time to answer first, and interval between two seeds, in ms.
 */
#define SEED_DELAY_MS 600
#define SEED_INTERVAL_MS 400

static void log_store_state(struct store_follower *f, int up,
			    const struct prl_error *why)
{
	char age[LOG_NUMBER_MAX];

	log_format_number(age, f->confirmed_ms ? prl_now_ms() - f->confirmed_ms
					       : -1);
	log_event(LOG_LEVEL_AUDIT, "store", "kind", f->kind, "state",
		  up ? "up" : "down", "error", why ? why->text : "",
		  "confirmed_ms_ago", age, NULL);
}

/*
 * Time until which an object that went missing at "now" counts as present,
 * given when the store came back; 0 if it did not.
 */
static int64_t grace_end(int64_t came_back_ms, int64_t now)
{
	if (came_back_ms && now - came_back_ms < AFTER_OUTAGE_MS)
		return MAX(now, came_back_ms + EXPIRED_GRACE_MS);
	return now;
}

struct objects_removal source_removal(const struct control *c, int64_t now)
{
	const struct store_follower *f = &c->source.upstream;
	int64_t returned_ms = c->source.returned_ms;
	struct objects_removal removal = {
		.upstream_ms =
			grace_end(MAX(f->recovered_ms, returned_ms), now),
		.evacuation_ms = grace_end(returned_ms, now),
	};

	if (f->consecutive_failures)
		removal.upstream_ms = now + EXPIRED_GRACE_MS;
	return removal;
}

/* The first era that is named is no return from a copy. */
static void on_era(struct store *s, int64_t previous)
{
	struct control *c = s->ctx;
	char from[LOG_NUMBER_MAX];
	char to[LOG_NUMBER_MAX];

	if (previous) {
		c->source.returned_ms = prl_now_ms();
		registry_handle_return(c, c->source.returned_ms);
	}
	log_format_number(from, previous);
	log_format_number(to, s->era);
	log_event(LOG_LEVEL_AUDIT, "store", "state",
		  previous ? "returned" : "named", "era", to, "previous_era",
		  from, NULL);
}

/*
 * Logs an object that the store holds in an older version than this VM does,
 * which is therefore not installed.
 */
static void log_older(struct control *c, const struct store_object *o)
{
	const struct spread_object *known =
		spread_find(&c->sync.replica, o->key);
	char held[LOG_NUMBER_MAX];
	char read[LOG_NUMBER_MAX];

	if (!known || known->version <= o->version)
		return;
	metrics_add(&c->proxy.control_metrics, METRIC_CONFIG_OLDER, 1);
	log_format_number(held, known->version);
	log_format_number(read, o->version);
	log_event(LOG_LEVEL_WARNING, "older", "key", o->key, "version", read,
		  "held", held, NULL);
}

/* Whether a later event of the same response creates a removed object again. */
static int is_recreated(const struct store_follower *f,
			const struct store_object *o)
{
	const struct store_object *end = f->call.object + f->call.nobject;

	for (const struct store_object *next = o + 1; next < end; next++)
		if (next->len && !strcmp(next->key, o->key))
			return 1;
	return 0;
}

static void object_changed(struct store_follower *f, enum store_change change,
			   const char *name, const struct store_object *o)
{
	struct control *c = f->ctx;

	(void)name;
	switch (change) {
	case STORE_CHANGE_LIST_BEGIN:
		break;
	case STORE_CHANGE_PUT:
		log_older(c, o);
		sync_install_read(c, o->key, o->version, o->value, o->len);
		break;
	case STORE_CHANGE_REMOVE:
		/*
		 * A removal event carries the version that was removed, not
		 * that of the removal, so the response's revision is used.
		 */
		if (!is_recreated(f, o))
			sync_install_read(c, o->key, f->call.revision, "", 0);
		break;
	case STORE_CHANGE_LIST_END:
		sync_remove_unlisted(c, &f->call);
		break;
	}
}

void source_init_follower(
	struct control *c, struct store_follower *f, const char *kind,
	void (*changed)(struct store_follower *f, enum store_change change,
			const char *name, const struct store_object *o))
{
	store_follower_init(f, &c->store, kind);
	f->on_change = changed;
	f->on_reachability = log_store_state;
	f->ctx = c;
}

void source_init(struct control *c)
{
	struct source *src = &c->source;

	c->store.on_era = on_era;
	c->store.ctx = c;
	source_init_follower(c, &src->manifest, PLATFORM_KIND_MANIFEST,
			     object_changed);
	source_init_follower(c, &src->upstream, PLATFORM_KIND_UPSTREAM,
			     object_changed);
	source_init_follower(c, &src->evacuation, PLATFORM_KIND_EVACUATION,
			     object_changed);
}

/* The replica is complete up to the lowest revision of the followed kinds. */
static void update_revision(struct control *c)
{
	const struct source *src = &c->source;
	int64_t revision = MIN(src->manifest.revision, src->upstream.revision);

	if (!src->manifest.listed || !src->upstream.listed ||
	    !src->evacuation.listed)
		return;
	revision = MIN(revision, src->evacuation.revision);
	spread_advance(&c->sync.replica, c->sync.replica.complete_revision,
		       revision);
	c->source.replica_complete = 1;
}

void source_set_complete(struct control *c)
{
	c->source.replica_complete = 1;
}

static int is_stale(const struct store_follower *f, int64_t now)
{
	return f->consecutive_failures ||
	       now - f->confirmed_ms > STALE_AFTER_MS;
}

int source_is_stale(const struct control *c, int64_t now)
{
	const struct source *src = &c->source;

	return is_stale(&src->manifest, now) || is_stale(&src->upstream, now) ||
	       is_stale(&src->evacuation, now);
}

int64_t source_confirmed_ms(const struct control *c)
{
	const struct source *src = &c->source;

	if (src->manifest.consecutive_failures ||
	    src->upstream.consecutive_failures ||
	    src->evacuation.consecutive_failures)
		return 0;
	return MIN(
		src->manifest.confirmed_ms,
		MIN(src->upstream.confirmed_ms, src->evacuation.confirmed_ms));
}

void source_confirm(struct control *c, int64_t version, int64_t confirmed_ms)
{
	struct source *src = &c->source;

	store_follower_confirm(&src->manifest, version, confirmed_ms);
	store_follower_confirm(&src->upstream, version, confirmed_ms);
	store_follower_confirm(&src->evacuation, version, confirmed_ms);
}

int source_lacks_news(const struct control *c, int64_t now)
{
	const struct source *src = &c->source;
	int64_t back = MAX(src->upstream.recovered_ms, src->returned_ms);

	return source_is_stale(c, now) ||
	       (back && now - back < AFTER_OUTAGE_MS);
}

/*
 * Marks this VM ready once the replica is complete and a manifest is in force.
 * From the first complete replica on, an upstream that appears counts as newly
 * started.
 */
static void check_ready(struct control *c)
{
	struct source *src = &c->source;

	if (src->ready || !src->replica_complete)
		return;
	c->objects.inventory.list_complete = 1;
	if (!c->objects.inventory.manifest.version ||
	    !quarantines_ready(c, prl_now_ms()))
		return;
	src->ready = 1;
	sync_set_ready(c, src->upstream.listed ? "store" : "peer");
}

/*
 * A VM that starts while the store is unreachable pulls the replica from a
 * random seed of its settings. It does not serve or join before.
 */
static void pull_from_seed(struct control *c, int64_t now)
{
	const struct prl_settings *s = c->settings;
	struct source *src = &c->source;
	const char *seed;

	if (src->ready || !s->nseed || now < src->next_seed_pull_ms ||
	    now < c->started_ms + SEED_DELAY_MS)
		return;
	src->next_seed_pull_ms = now + SEED_INTERVAL_MS;
	seed = s->seed[control_random() % (uint64_t)s->nseed].address;
	if (strcmp(seed, s->listen.rpc))
		sync_pull_from(c, seed);
}

void source_tick(struct control *c, int64_t now)
{
	struct source *src = &c->source;

	if (readers_reads_store(c, now)) {
		store_follower_tick(&src->manifest, now, control_random());
		store_follower_tick(&src->upstream, now, control_random());
		store_follower_tick(&src->evacuation, now, control_random());
	}
	update_revision(c);
	pull_from_seed(c, now);
	check_ready(c);
}

void source_finish(struct control *c)
{
	struct source *src = &c->source;

	store_follower_finish(&src->manifest);
	store_follower_finish(&src->upstream);
	store_follower_finish(&src->evacuation);
}
