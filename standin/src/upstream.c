/* Stand-in for one upstream: slots, a connection limit, cold start, shedding,
 * load reports that may lie, drains, and a count of each key that it ran. */
#include "answer.h"
#include <apr_general.h>
#include <glib.h>
#include <primroselead/clock.h>
#include <primroselead/serve.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <xxhash.h>

/* Time between two searches for callers that left, in milliseconds. */
#define SWEEP_MS 50

struct request {
	struct MHD_Connection *conn;
	struct loop_timer timer;
	XXH64_state_t *digest;
	uint64_t received;
	char digest_text[20];
	int64_t work_ms;
	int64_t size;
	uint64_t pattern;
	int begun;
	int running;
	int done;
	int suspended;
	int left;
	struct request *next;
	/* All requests that work or wait. */
	struct request *all_next;
	struct request **all_prev;
};

static struct {
	struct loop loop;
	struct serve serve;
	int64_t slots;
	int64_t work_ms;
	int64_t queue_max;
	int64_t cold_ms;
	int64_t started;
	/* Behaviour set by /admin/set. */
	int64_t close_next;
	int64_t fail;
	int64_t lie;
	int64_t drain;
	int64_t refuse;
	int64_t slow;
	int64_t running;
	int64_t most_running;
	int64_t queued;
	struct request *first;
	struct request *last;
	struct request *all;
	struct loop_timer sweep;
	uint64_t ran;
	uint64_t after_drain;
	GHashTable *keys;
	uint64_t repeated;
} up;

static void list_add(struct request *r)
{
	r->all_next = up.all;
	r->all_prev = &up.all;
	if (up.all)
		up.all->all_prev = &r->all_next;
	up.all = r;
}

static void list_remove(struct request *r)
{
	if (!r->all_prev)
		return;
	*r->all_prev = r->all_next;
	if (r->all_next)
		r->all_next->all_prev = r->all_prev;
	r->all_prev = NULL;
}

static void set_timer(struct request *r, int64_t at)
{
	r->timer.deadline = at;
}

static int64_t work_of(const struct request *r)
{
	int64_t age = prl_now_ms() - up.started;
	int64_t ms = r->work_ms * (up.slow ? up.slow : 1);

	/* Cold caches make the first requests slow. */
	if (age < up.cold_ms)
		ms += ms * 4 * (up.cold_ms - age) / up.cold_ms;
	return ms;
}

static void run(struct request *r)
{
	r->running = 1;
	up.running++;
	if (up.running > up.most_running)
		up.most_running = up.running;
	set_timer(r, prl_now_ms() + work_of(r));
}

static void run_next(void)
{
	struct request *r = up.first;

	if (!r || up.running >= up.slots)
		return;
	up.first = r->next;
	if (!up.first)
		up.last = NULL;
	up.queued--;
	run(r);
}

static void unqueue(struct request *r)
{
	struct request **p = &up.first;
	struct request *before = NULL;

	while (*p && *p != r) {
		before = *p;
		p = &before->next;
	}
	if (!*p)
		return;
	*p = r->next;
	if (up.last == r)
		up.last = before;
	up.queued--;
}

static void work_done(struct loop_timer *t, int64_t now)
{
	struct request *r = t->ctx;

	(void)now;
	r->running = 0;
	r->done = 1;
	up.running--;
	if (r->suspended) {
		r->suspended = 0;
		serve_resume(&up.serve, r->conn);
	}
	run_next();
}

/* A caller that closes its connection cancels its request. */
static void sweep(struct loop_timer *t, int64_t now)
{
	for (struct request *r = up.all; r; r = r->all_next) {
		int fd = MHD_get_connection_info(
				 r->conn, MHD_CONNECTION_INFO_CONNECTION_FD)
				 ->connect_fd;
		char byte;

		if (!r->suspended ||
		    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
			continue;
		r->left = 1;
		r->suspended = 0;
		serve_resume(&up.serve, r->conn);
	}
	t->deadline = now + SWEEP_MS;
}

static void count_key(const char *key)
{
	gpointer n = g_hash_table_lookup(up.keys, key);

	if (n)
		up.repeated++;
	g_hash_table_insert(up.keys, g_strdup(key),
			    GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

static ssize_t body(void *ctx, uint64_t pos, char *buf, size_t max)
{
	const struct request *r = ctx;

	for (size_t i = 0; i < max; i++)
		buf[i] = (char)('a' + ((pos + i + r->pattern) % 23));
	return (ssize_t)max;
}

static enum MHD_Result refuse(struct request *r)
{
	static const char text[] = "{\"cause\":\"no room\"}\n";

	return answer_header(r->conn, MHD_HTTP_SERVICE_UNAVAILABLE, text,
			     strlen(text), "Request-Outcome", "not-run");
}

static enum MHD_Result finish(struct request *r)
{
	struct MHD_Response *resp;
	enum MHD_Result rc;
	char text[24];
	unsigned int status =
		up.fail ? MHD_HTTP_INTERNAL_SERVER_ERROR : MHD_HTTP_OK;

	if (up.close_next > 0) {
		up.close_next--;
		return MHD_NO;
	}
	resp = MHD_create_response_from_callback((uint64_t)r->size, 16384, body,
						 r, NULL);
	if (!resp)
		return MHD_NO;
	snprintf(text, sizeof(text), "%lld",
		 (long long)(up.lie ? 0 : up.running + up.queued));
	MHD_add_response_header(resp, "Upstream-Running", text);
	MHD_add_response_header(resp, "Body-Digest", r->digest_text);
	rc = MHD_queue_response(r->conn, status, resp);
	MHD_destroy_response(resp);
	return rc;
}

static enum MHD_Result admin(struct request *r, const char *url)
{
	const char *key = MHD_lookup_connection_value(
		r->conn, MHD_GET_ARGUMENT_KIND, "key");
	char text[256];
	int n;

	if (!strcmp(url, "/admin/set")) {
		up.close_next = query_int(r->conn, "close", up.close_next);
		up.fail = query_int(r->conn, "fail", up.fail);
		up.lie = query_int(r->conn, "lie", up.lie);
		up.drain = query_int(r->conn, "drain", up.drain);
		up.refuse = query_int(r->conn, "refuse", up.refuse);
		up.slow = query_int(r->conn, "slow", up.slow);
	}
	if (key)
		n = snprintf(
			text, sizeof(text), "%d\n",
			GPOINTER_TO_INT(g_hash_table_lookup(up.keys, key)));
	else
		n = snprintf(
			text, sizeof(text),
			"{\"ran\":%llu,\"keys\":%u,\"repeated\":%llu,"
			"\"running\":%lld,\"most_running\":%lld,"
			"\"queued\":%lld,\"after_drain\":%llu}\n",
			(unsigned long long)up.ran, g_hash_table_size(up.keys),
			(unsigned long long)up.repeated, (long long)up.running,
			(long long)up.most_running, (long long)up.queued,
			(unsigned long long)up.after_drain);
	return answer_bytes(r->conn, MHD_HTTP_OK, text, (size_t)n);
}

/* The request is whole: it counts as run from here on. */
static enum MHD_Result begin_work(struct request *r)
{
	const char *key = MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND,
						      "Idempotency-Key");
	const char *id = MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND,
						     "Request-Id");

	if (up.refuse || up.queued >= up.queue_max)
		return refuse(r);
	r->begun = 1;
	up.ran++;
	up.after_drain += up.drain != 0;
	if (key)
		count_key(key);
	r->pattern = id ? XXH64(id, strlen(id), 0) : 0;
	r->work_ms = query_int(r->conn, "work", up.work_ms);
	r->size = query_int(r->conn, "size", 2048);
	snprintf(r->digest_text, sizeof(r->digest_text), "%016llx",
		 (unsigned long long)XXH64_digest(r->digest));
	if (!r->work_ms && up.running < up.slots) {
		r->done = 1;
		return finish(r);
	}
	if (up.running < up.slots) {
		run(r);
	} else {
		r->next = NULL;
		if (up.last)
			up.last->next = r;
		else
			up.first = r;
		up.last = r;
		up.queued++;
	}
	r->suspended = 1;
	list_add(r);
	MHD_suspend_connection(r->conn);
	return MHD_YES;
}

static struct request *new_request(struct MHD_Connection *conn)
{
	struct request *r = g_new0(struct request, 1);

	r->conn = conn;
	r->digest = XXH64_createState();
	XXH64_reset(r->digest, 0);
	r->timer.due = work_done;
	r->timer.ctx = r;
	loop_timer_add(&up.loop, &r->timer);
	return r;
}

static enum MHD_Result handle(void *ctx, struct MHD_Connection *conn,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *len, void **state)
{
	struct request *r = *state;

	(void)ctx;
	(void)method;
	(void)version;
	if (!r) {
		*state = new_request(conn);
		return MHD_YES;
	}
	if (*len) {
		XXH64_update(r->digest, data, *len);
		r->received += *len;
		*len = 0;
		return MHD_YES;
	}
	if (!strncmp(url, "/admin/", 7))
		return admin(r, url);
	if (r->left)
		return MHD_NO;
	if (r->done)
		return finish(r);
	if (!r->begun)
		return begin_work(r);
	return MHD_YES;
}

static void completed(void *ctx, struct MHD_Connection *conn, void **state,
		      enum MHD_RequestTerminationCode why)
{
	struct request *r = *state;

	(void)ctx;
	(void)conn;
	(void)why;
	if (!r)
		return;
	if (r->running)
		up.running--;
	else if (r->begun && !r->done)
		unqueue(r);
	list_remove(r);
	loop_timer_remove(&up.loop, &r->timer);
	XXH64_freeState(r->digest);
	g_free(r);
	*state = NULL;
	run_next();
}

int main(int argc, char **argv)
{
	struct serve_options o = {
		.address = option(argc, argv, "listen", "127.0.0.1:9000"),
		.connections = (unsigned int)strtoul(
			option(argc, argv, "connections", "400"), NULL, 10),
		.idle_s = 60,
		.connection_bytes = 16384,
		.handle = handle,
		.completed = completed,
	};
	struct prl_error err;

	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	up.slots = strtoll(option(argc, argv, "slots", "6"), NULL, 10);
	up.work_ms = strtoll(option(argc, argv, "work", "5"), NULL, 10);
	up.queue_max = strtoll(option(argc, argv, "queue", "64"), NULL, 10);
	up.cold_ms = strtoll(option(argc, argv, "cold", "0"), NULL, 10);
	up.started = prl_now_ms();
	up.keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (loop_init(&up.loop, &err) ||
	    serve_init(&up.serve, &up.loop, &o, &err)) {
		fprintf(stderr, "upstream stand-in: %s\n", err.text);
		return 1;
	}
	up.sweep.due = sweep;
	loop_timer_add(&up.loop, &up.sweep);
	up.sweep.deadline = up.started;
	loop_run(&up.loop);
	return 0;
}
