#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <primroselead/platform.h>
#include <stdio.h>
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

/* Timeout and retransmission interval of a report to another VM, in ms. */
#define REPORT_TIMEOUT_MS 400
#define REPORT_RETRANSMIT_MS 100

/* Health check of one upstream. */
struct check {
	struct control *control;
	uint64_t id;
	char instance[STEER_NAME_MAX];
	char url[PRL_ADDRESS_MAX + FLEET_PATH_MAX + 16];
	/** The current view assigns this check to this VM. */
	int in_view;
	/** Interval between two checks, in ms. */
	int64_t interval_ms;
	int64_t next_check_ms;
	/** When the last check was sent. */
	int64_t sent_ms;
	struct fetch fetch;
	int in_flight;
	struct curl_slist *headers;
	/** Id sent with the check, to match the response to it. */
	char request_id[FLEET_NAME_MAX];
	int status;
	struct fleet_response_meta response;
	/** The last check failed, and this was logged. */
	int failed;
};

static void end_transfer(struct check *k)
{
	curl_slist_free_all(k->headers);
	curl_easy_cleanup(k->fetch.easy);
	k->headers = NULL;
	k->fetch.easy = NULL;
	k->in_flight = 0;
}

static void check_free(void *p)
{
	struct check *k = p;

	if (k->in_flight) {
		fetch_cancel(&k->control->fetch_pool, &k->fetch);
		end_transfer(k);
	}
	g_free(k);
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
	struct wire_call_options o = {
		.deadline_ms = prl_now_ms() + REPORT_TIMEOUT_MS,
		.retransmit_ms = REPORT_RETRANSMIT_MS,
	};

	args.u.cold.instance = (char *)instance;
	args.u.cold.left_ms = left_ms;
	for (int i = 1; i < c->members.npeer; i++)
		if (member_is_usable(&c->members.peer[i]))
			wire_call(&c->wire, c->members.peer[i].vm.rpc, &args,
				  &o, NULL);
}

/*
 * Returns 1 if the upstream was not yet known to stay cold that long, else 0.
 */
static int note_cold(struct control *c, const char *instance, int64_t left_ms,
		     const char *from)
{
	int64_t now = prl_now_ms();

	if (left_ms <= 0 || left_ms > COLD_MAX_MS ||
	    !inventory_report_cold(&c->registry.inventory, instance,
				   now + left_ms, now))
		return 0;
	log_cold(instance, left_ms, from);
	c->view_outdated = 1;
	return 1;
}

/*
 * Rejects surplus bytes of an earlier response on the same connection that were
 * parsed as the response to this check. Most upstreams return no request id for
 * checks, so only a different id counts as a mismatch.
 */
static int is_own_response(const struct check *k)
{
	if (k->response.request_id[0] &&
	    strcmp(k->response.request_id, k->request_id) != 0)
		return 0;
	return !strcmp(k->response.instance, k->instance);
}

static void log_failure(const struct check *k, CURLcode result)
{
	char status[LOG_NUMBER_MAX];

	log_format_number(status, k->status);
	log_event(LOG_LEVEL_WARNING, "health", "instance", k->instance,
		  "status", status, "answered_by", k->response.instance,
		  "error", result ? curl_easy_strerror(result) : "", NULL);
}

static void on_check_done(struct fetch *f, CURLcode result)
{
	struct check *k = f->ctx;
	int64_t left = k->response.cold_time_left_ms;

	end_transfer(k);
	if (result || !is_own_response(k)) {
		if (!k->failed)
			log_failure(k, result);
		k->failed = 1;
		return;
	}
	k->failed = 0;
	news_handle_check(k->control, &(struct news_check){
					      .key = {k->instance, k->id},
					      .status = k->status,
					      .meta = &k->response,
					      .sent_ms = k->sent_ms,
				      });
	/*
	 * No check until the cold time is over: the result is known, and a cold
	 * upstream has little capacity.
	 */
	if (left > 0 && left <= COLD_MAX_MS)
		k->next_check_ms = prl_now_ms() + left;
	if (note_cold(k->control, k->instance, left, "upstream"))
		report_to_peers(k->control, k->instance, left);
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct check *k = ctx;
	size_t len = size * n;
	char *line = g_strndup(data, len);
	const char *space = strchr(line, ' ');

	g_strchomp(line);
	if (!strncmp(line, "HTTP/", 5))
		k->status = space ? atoi(space + 1) : 0;
	platform_response_meta_parse_header(line, &k->response);
	g_free(line);
	return len;
}

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	(void)data;
	(void)ctx;
	return size * n;
}

static void set_headers(struct check *k)
{
	char line[FLEET_NAME_MAX + 64];

	snprintf(k->request_id, sizeof(k->request_id), "health-%016llx",
		 (unsigned long long)control_random());
	snprintf(line, sizeof(line), "%s: %s", platform_request_id_header(),
		 k->request_id);
	k->headers = curl_slist_append(k->headers, line);
	platform_deadline_header_format(line, sizeof(line), CHECK_TIMEOUT_MS);
	k->headers = curl_slist_append(k->headers, line);
	platform_instance_header_format(line, sizeof(line), k->instance);
	k->headers = curl_slist_append(k->headers, line);
}

static void start_check(struct check *k, int64_t now)
{
	CURL *easy = curl_easy_init();
	struct prl_error err = {0};

	k->next_check_ms = now + k->interval_ms;
	k->sent_ms = now;
	if (!easy)
		return;
	k->fetch =
		(struct fetch){.easy = easy, .done = on_check_done, .ctx = k};
	k->in_flight = 1;
	k->status = 0;
	platform_response_meta_init(&k->response);
	set_headers(k);
	curl_easy_setopt(easy, CURLOPT_URL, k->url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, k->headers);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)CHECK_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, k);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	if (!fetch_start(&k->control->fetch_pool, &k->fetch, &err))
		return;
	log_event(LOG_LEVEL_WARNING, "health", "instance", k->instance, "error",
		  err.text, NULL);
	end_transfer(k);
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

static void set_check(struct control *c, const struct steer_upstream *u,
		      const char *path)
{
	struct check *k = g_hash_table_lookup(c->health.checks, &u->id);

	if (!k) {
		k = g_new0(struct check, 1);
		k->control = c;
		k->id = u->id;
		memcpy(k->instance, u->instance, sizeof(k->instance));
		/* The random offset spreads the checks over the interval. */
		k->next_check_ms = prl_now_ms() + (int64_t)(control_random() %
							    CHECK_INTERVAL_MS);
		g_hash_table_insert(c->health.checks, &k->id, k);
	}
	snprintf(k->url, sizeof(k->url), "http://%s%s", u->address, path);
	k->interval_ms = check_interval_ms(u, prl_now_ms());
	k->next_check_ms = MAX(k->next_check_ms, u->closed_until_ms);
	k->in_view = 1;
}

static void set_checks(struct control *c, const struct steer_service *s)
{
	const struct fleet_service *config =
		fleet_find_service(&c->registry.inventory.manifest, s->name);

	if (!config || config->health_path[0] != '/')
		return;
	for (int i = 0; i < s->nupstream; i++)
		if (s->upstream[i].is_health_checker)
			set_check(c, &s->upstream[i], config->health_path);
}

void health_set_view(struct control *c, const struct steer_view *v)
{
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->health.checks);
	while (g_hash_table_iter_next(&it, NULL, &value))
		((struct check *)value)->in_view = 0;
	for (int i = 0; i < v->nservice; i++)
		set_checks(c, v->service[i]);
	g_hash_table_iter_init(&it, c->health.checks);
	while (g_hash_table_iter_next(&it, NULL, &value))
		if (!((struct check *)value)->in_view)
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
	int active = c->registry.ready && registry_lacks_news(c, now);
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
		struct check *k = value;

		if (!k->in_flight && now >= k->next_check_ms)
			start_check(k, now);
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
						 NULL, check_free);
}

void health_finish(struct control *c)
{
	g_hash_table_destroy(c->health.checks);
}
