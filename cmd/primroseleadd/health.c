#include "check.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <string.h>

/*
 * Interval between two checks of one upstream, in ms. A cold upstream tolerates
 * little more than its cold request rate; this interval leaves most of that
 * rate to requests.
 */
#define CHECK_INTERVAL_MS 250

/*
 * Part of a rate limit that an upstream names which checks may use, in percent,
 * and the longest interval between two checks of such an upstream, in ms.
 */
#define LIMITED_CHECK_PERCENT 25
#define CHECK_INTERVAL_MAX_MS 4000

#define MS_PER_S 1000
#define MILLI 1000

/*
 * Timeout of a check, in ms; long, since a busy upstream queues checks like
 * other requests.
 */
#define CHECK_TIMEOUT_MS 1000

/* Longest remaining cold time that is accepted from an upstream, in ms. */
#define COLD_MAX_MS 600000

/* Repeated health check of one upstream. */
struct health_check {
	struct check check;
	/** The current view assigns this check to this VM. */
	int in_view;
	/** Interval between two checks, in ms. */
	int64_t interval_ms;
	int64_t next_check_ms;
	/** The last check failed, and this was logged. */
	int failed;
};

static void health_check_free(void *p)
{
	struct health_check *h = p;

	check_finish(&h->check);
	g_free(h);
}

static void log_cold(const char *instance, int64_t left_ms, const char *from)
{
	char left[LOG_NUMBER_MAX];

	log_format_number(left, left_ms);
	log_event(LOG_LEVEL_AUDIT, "cold", "instance", instance, "left_ms",
		  left, "from", from, NULL);
}

static void report_to_peers(struct control *c, const char *instance,
			    int64_t left_ms)
{
	struct wire_args args = {.proc = WIRE_COLD};

	args.u.cold.instance = (char *)instance;
	args.u.cold.left_ms = left_ms;
	peers_broadcast(c, &args);
}

/*
 * Returns 1 if the upstream was not yet known to stay cold that long, else 0.
 */
static int note_cold(struct control *c, const char *instance, int64_t left_ms,
		     const char *from)
{
	int64_t now = prl_now_ms();

	if (left_ms <= 0 || left_ms > COLD_MAX_MS ||
	    !inventory_report_cold(&c->objects.inventory, instance,
				   now + left_ms, now))
		return 0;
	log_cold(instance, left_ms, from);
	c->view_outdated = 1;
	return 1;
}

static void log_failure(const struct check *k)
{
	char status[LOG_NUMBER_MAX];

	log_format_number(status, k->status);
	log_event(LOG_LEVEL_WARNING, "health", "instance", k->instance,
		  "status", status, "answered_by", k->response.instance,
		  "error", k->result ? curl_easy_strerror(k->result) : "",
		  NULL);
}

static void on_check_done(struct check *k, int answered)
{
	struct health_check *h = k->ctx;
	int64_t left = k->response.cold_time_left_ms;

	if (!answered && !h->failed)
		log_failure(k);
	h->failed = !answered;
	if (!answered)
		return;
	news_handle_check(k->control,
			  &(struct news_check){
				  .key = {k->instance, k->upstream_id},
				  .status = k->status,
				  .meta = &k->response,
				  .sent_ms = k->sent_ms,
			  });
	/*
	 * No check until the cold time is over: the result is known, and a cold
	 * upstream has little capacity.
	 */
	if (left > 0 && left <= COLD_MAX_MS)
		h->next_check_ms = prl_now_ms() + left;
	if (note_cold(k->control, k->instance, left, "upstream"))
		report_to_peers(k->control, k->instance, left);
}

static void start_check(struct health_check *h, int64_t now)
{
	struct prl_error err = {0};

	h->next_check_ms = now + h->interval_ms;
	h->check.deadline_ms = now + CHECK_TIMEOUT_MS;
	if (check_start(&h->check, &err))
		log_event(LOG_LEVEL_WARNING, "health", "instance",
			  h->check.instance, "error", err.text, NULL);
}

/* Checks count as requests: they get a part of what a limited upstream takes.
 */
static int64_t check_interval_ms(const struct steer_upstream *u, int64_t now)
{
	int64_t rate_milli = u->limit_milli * LIMITED_CHECK_PERCENT / 100;

	if (now >= u->limited_until_ms)
		return CHECK_INTERVAL_MS;
	if (rate_milli * CHECK_INTERVAL_MAX_MS <= MS_PER_S * MILLI)
		return CHECK_INTERVAL_MAX_MS;
	return MAX(CHECK_INTERVAL_MS, MS_PER_S * MILLI / rate_milli);
}

static struct health_check *health_check_new(struct control *c,
					     const struct steer_upstream *u)
{
	struct health_check *h = g_new0(struct health_check, 1);

	h->check.control = c;
	h->check.upstream_id = u->id;
	h->check.done = on_check_done;
	h->check.ctx = h;
	memcpy(h->check.instance, u->instance, sizeof(h->check.instance));
	/* The random offset spreads the checks over the interval. */
	h->next_check_ms =
		prl_now_ms() + (int64_t)(control_random() % CHECK_INTERVAL_MS);
	return h;
}

static void set_check(struct control *c, const struct steer_upstream *u,
		      const struct fleet_service *config)
{
	struct health_check *h = g_hash_table_lookup(c->health.checks, &u->id);

	if (!h) {
		h = health_check_new(c, u);
		g_hash_table_insert(c->health.checks, &h->check.upstream_id, h);
	}
	memcpy(h->check.address, u->address, sizeof(h->check.address));
	check_use_path_of(&h->check, config);
	h->interval_ms = check_interval_ms(u, prl_now_ms());
	h->next_check_ms = MAX(h->next_check_ms, u->closed_until_ms);
	h->in_view = 1;
}

static void set_checks(struct control *c, const struct steer_service *s)
{
	const struct fleet_service *config =
		fleet_find_service(&c->objects.inventory.manifest, s->name);

	if (!config || !fleet_has_health_path(config))
		return;
	for (int i = 0; i < s->nupstream; i++)
		if (s->upstream[i].is_health_checker)
			set_check(c, &s->upstream[i], config);
}

void health_set_view(struct control *c, const struct steer_view *v)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->health.checks);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct health_check *)value)->in_view = 0;
	for (int i = 0; i < v->nservice; i++)
		set_checks(c, v->service[i]);
	g_hash_table_iter_init(&it, c->health.checks);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (!((struct health_check *)value)->in_view)
			g_hash_table_iter_remove(&it);
}

static void log_state(const struct control *c)
{
	char n[LOG_NUMBER_MAX];

	log_format_number(n, g_hash_table_size(c->health.checks));
	log_event(LOG_LEVEL_AUDIT, "health", "state",
		  c->health.active ? "asking" : "idle", "upstreams", n, NULL);
}

void health_tick(struct control *c, int64_t now)
{
	int active = c->source.ready && source_lacks_news(c, now);
	GHashTableIter it;
	void *value;

	if (active != c->health.active) {
		c->health.active = active;
		log_state(c);
	}
	if (!active)
		return;
	g_hash_table_iter_init(&it, c->health.checks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct health_check *h = value;

		if (!h->check.in_flight && now >= h->next_check_ms)
			start_check(h, now);
	}
}

void health_handle_cold(struct control *c, const struct wire_request *r,
			const struct wire_cold *cold)
{
	struct wire_result empty = {.proc = WIRE_COLD};

	note_cold(c, cold->instance, cold->left_ms, "peer");
	wire_reply(&c->wire, r, &empty, NULL);
}

void health_init(struct control *c)
{
	c->health.checks = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, health_check_free);
}

void health_finish(struct control *c)
{
	g_hash_table_destroy(c->health.checks);
}
