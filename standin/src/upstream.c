/* Stand-in for one upstream: request slots, a connection limit, cold start,
 * load shedding, load reports that may be false, draining, and the number of
 * runs of each idempotency key. */
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

/* Interval between checks for callers that disconnected, in ms. */
#define DISCONNECT_CHECK_MS 50

/* Field with the id of an attempt, in requests and responses. */
#define ATTEMPT_HEADER "Attempt-Id"

struct request {
	struct MHD_Connection *conn;
	struct loop_timer timer;
	XXH64_state_t *digest;
	uint64_t received_bytes;
	char digest_text[20];
	int64_t work_ms;
	int64_t response_bytes;
	uint64_t pattern_offset;
	int accepted;
	int running;
	int done;
	int suspended;
	int disconnected;
	struct request *queue_next;
	/* List of all requests that run or are queued. */
	struct request *active_next;
	struct request **active_prev;
};

static struct {
	struct loop loop;
	struct serve serve;
	int64_t slots;
	int64_t work_ms;
	int64_t queue_max;
	int64_t cold_start_ms;
	int64_t started_ms;
	/* Behaviour set by /admin/set. All are flags except the first, the
	 * number of connections to close without a response, and slow_factor,
	 * by which work_ms is multiplied. */
	int64_t close_without_response;
	int64_t fail_all;
	/* Report zero running requests in Upstream-Running. */
	int64_t report_zero_load;
	int64_t draining;
	int64_t reject_all;
	int64_t slow_factor;
	/* Responses repeat the id of the attempt. */
	int64_t names_attempts;
	int64_t running;
	int64_t running_max;
	int64_t queued;
	struct request *queue_head;
	struct request *queue_tail;
	struct request *active;
	struct loop_timer disconnect_timer;
	uint64_t ran;
	uint64_t ran_while_draining;
	GHashTable *runs_by_key;
	uint64_t repeated_runs;
} server;

static void active_add(struct request *r)
{
	r->active_next = server.active;
	r->active_prev = &server.active;
	if (server.active)
		server.active->active_prev = &r->active_next;
	server.active = r;
}

static void active_remove(struct request *r)
{
	if (!r->active_prev)
		return;
	*r->active_prev = r->active_next;
	if (r->active_next)
		r->active_next->active_prev = r->active_prev;
	r->active_prev = NULL;
}

static void set_deadline(struct request *r, int64_t at)
{
	r->timer.deadline_ms = at;
}

static int64_t request_work_ms(const struct request *r)
{
	int64_t age = prl_now_ms() - server.started_ms;
	int64_t ms = r->work_ms * (server.slow_factor ? server.slow_factor : 1);

	/* Cold caches: five times the work at the start, then linearly less
	 * until cold_start_ms. */
	if (age < server.cold_start_ms)
		ms += ms * 4 * (server.cold_start_ms - age) /
		      server.cold_start_ms;
	return ms;
}

static void start_work(struct request *r)
{
	r->running = 1;
	server.running++;
	if (server.running > server.running_max)
		server.running_max = server.running;
	set_deadline(r, prl_now_ms() + request_work_ms(r));
}

static void start_next_queued(void)
{
	struct request *r = server.queue_head;

	if (!r || server.running >= server.slots)
		return;
	server.queue_head = r->queue_next;
	if (!server.queue_head)
		server.queue_tail = NULL;
	server.queued--;
	start_work(r);
}

static void queue_remove(struct request *r)
{
	struct request **p = &server.queue_head;
	struct request *before = NULL;

	while (*p && *p != r) {
		before = *p;
		p = &before->queue_next;
	}
	if (!*p)
		return;
	*p = r->queue_next;
	if (server.queue_tail == r)
		server.queue_tail = before;
	server.queued--;
}

static void on_work_done(struct loop_timer *t, int64_t now)
{
	struct request *r = t->ctx;

	(void)now;
	r->running = 0;
	r->done = 1;
	server.running--;
	if (r->suspended) {
		r->suspended = 0;
		serve_resume(&server.serve, r->conn);
	}
	start_next_queued();
}

/* Cancels the requests of callers that closed their connections. */
static void cancel_disconnected(struct loop_timer *t, int64_t now)
{
	for (struct request *r = server.active; r; r = r->active_next) {
		int fd = MHD_get_connection_info(
				 r->conn, MHD_CONNECTION_INFO_CONNECTION_FD)
				 ->connect_fd;
		char byte;

		if (!r->suspended ||
		    recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) != 0)
			continue;
		r->disconnected = 1;
		r->suspended = 0;
		serve_resume(&server.serve, r->conn);
	}
	t->deadline_ms = now + DISCONNECT_CHECK_MS;
}

static void count_idempotency_key(const char *key)
{
	gpointer n = g_hash_table_lookup(server.runs_by_key, key);

	if (n)
		server.repeated_runs++;
	g_hash_table_insert(server.runs_by_key, g_strdup(key),
			    GINT_TO_POINTER(GPOINTER_TO_INT(n) + 1));
}

static ssize_t generate_body(void *ctx, uint64_t pos, char *buf, size_t max)
{
	const struct request *r = ctx;

	for (size_t i = 0; i < max; i++)
		buf[i] = (char)('a' + ((pos + i + r->pattern_offset) % 23));
	return (ssize_t)max;
}

static void add_attempt_id(const struct request *r, struct MHD_Response *resp)
{
	const char *id = MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND,
						     ATTEMPT_HEADER);

	if (id && server.names_attempts)
		MHD_add_response_header(resp, ATTEMPT_HEADER, id);
}

static enum MHD_Result reject(struct request *r)
{
	static char text[] = "{\"cause\":\"no room\"}\n";
	struct MHD_Response *resp = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_PERSISTENT);
	enum MHD_Result rc;

	if (!resp)
		return MHD_NO;
	MHD_add_response_header(resp, "Request-Outcome", "not-run");
	add_attempt_id(r, resp);
	rc = MHD_queue_response(r->conn, MHD_HTTP_SERVICE_UNAVAILABLE, resp);
	MHD_destroy_response(resp);
	return rc;
}

static enum MHD_Result respond(struct request *r)
{
	struct MHD_Response *resp;
	enum MHD_Result rc;
	char text[24];
	unsigned int status =
		server.fail_all ? MHD_HTTP_INTERNAL_SERVER_ERROR : MHD_HTTP_OK;

	if (server.close_without_response > 0) {
		server.close_without_response--;
		return MHD_NO;
	}
	resp = MHD_create_response_from_callback((uint64_t)r->response_bytes,
						 16384, generate_body, r, NULL);
	if (!resp)
		return MHD_NO;
	snprintf(text, sizeof(text), "%lld",
		 (long long)(server.report_zero_load
				     ? 0
				     : server.running + server.queued));
	MHD_add_response_header(resp, "Upstream-Running", text);
	MHD_add_response_header(resp, "Body-Digest", r->digest_text);
	add_attempt_id(r, resp);
	rc = MHD_queue_response(r->conn, status, resp);
	MHD_destroy_response(resp);
	return rc;
}

static enum MHD_Result handle_admin(struct request *r, const char *url)
{
	const char *key = MHD_lookup_connection_value(
		r->conn, MHD_GET_ARGUMENT_KIND, "key");
	char text[256];
	int n;

	if (!strcmp(url, "/admin/set")) {
		server.close_without_response = query_argument_int(
			r->conn, "close", server.close_without_response);
		server.fail_all =
			query_argument_int(r->conn, "fail", server.fail_all);
		server.report_zero_load = query_argument_int(
			r->conn, "lie", server.report_zero_load);
		server.draining =
			query_argument_int(r->conn, "drain", server.draining);
		server.reject_all = query_argument_int(r->conn, "refuse",
						       server.reject_all);
		server.slow_factor =
			query_argument_int(r->conn, "slow", server.slow_factor);
	}
	if (key)
		n = snprintf(text, sizeof(text), "%d\n",
			     GPOINTER_TO_INT(g_hash_table_lookup(
				     server.runs_by_key, key)));
	else
		n = snprintf(text, sizeof(text),
			     "{\"ran\":%llu,\"keys\":%u,\"repeated\":%llu,"
			     "\"running\":%lld,\"most_running\":%lld,"
			     "\"queued\":%lld,\"after_drain\":%llu}\n",
			     (unsigned long long)server.ran,
			     g_hash_table_size(server.runs_by_key),
			     (unsigned long long)server.repeated_runs,
			     (long long)server.running,
			     (long long)server.running_max,
			     (long long)server.queued,
			     (unsigned long long)server.ran_while_draining);
	return send_response(r->conn, MHD_HTTP_OK, text, (size_t)n);
}

/* Called when the whole request has arrived. A request that is not rejected
 * counts as run from here on. */
static enum MHD_Result accept_request(struct request *r)
{
	const char *key = MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND,
						      "Idempotency-Key");
	const char *id = MHD_lookup_connection_value(r->conn, MHD_HEADER_KIND,
						     "Request-Id");

	if (server.reject_all || server.queued >= server.queue_max)
		return reject(r);
	r->accepted = 1;
	server.ran++;
	server.ran_while_draining += server.draining != 0;
	if (key)
		count_idempotency_key(key);
	r->pattern_offset = id ? XXH64(id, strlen(id), 0) : 0;
	r->work_ms = query_argument_int(r->conn, "work", server.work_ms);
	r->response_bytes = query_argument_int(r->conn, "size", 2048);
	snprintf(r->digest_text, sizeof(r->digest_text), "%016llx",
		 (unsigned long long)XXH64_digest(r->digest));
	if (!r->work_ms && server.running < server.slots) {
		r->done = 1;
		return respond(r);
	}
	if (server.running < server.slots) {
		start_work(r);
	} else {
		r->queue_next = NULL;
		if (server.queue_tail)
			server.queue_tail->queue_next = r;
		else
			server.queue_head = r;
		server.queue_tail = r;
		server.queued++;
	}
	r->suspended = 1;
	active_add(r);
	MHD_suspend_connection(r->conn);
	return MHD_YES;
}

static struct request *new_request(struct MHD_Connection *conn)
{
	struct request *r = g_new0(struct request, 1);

	r->conn = conn;
	r->digest = XXH64_createState();
	XXH64_reset(r->digest, 0);
	r->timer.on_expiry = on_work_done;
	r->timer.ctx = r;
	loop_timer_add(&server.loop, &r->timer);
	return r;
}

static enum MHD_Result handle_request(void *ctx, struct MHD_Connection *conn,
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
		r->received_bytes += *len;
		*len = 0;
		return MHD_YES;
	}
	if (!strncmp(url, "/admin/", 7))
		return handle_admin(r, url);
	if (r->disconnected)
		return MHD_NO;
	if (r->done)
		return respond(r);
	if (!r->accepted)
		return accept_request(r);
	return MHD_YES;
}

static void request_completed(void *ctx, struct MHD_Connection *conn,
			      void **state, enum MHD_RequestTerminationCode why)
{
	struct request *r = *state;

	(void)ctx;
	(void)conn;
	(void)why;
	if (!r)
		return;
	if (r->running)
		server.running--;
	else if (r->accepted && !r->done)
		queue_remove(r);
	active_remove(r);
	loop_timer_remove(&server.loop, &r->timer);
	XXH64_freeState(r->digest);
	g_free(r);
	*state = NULL;
	start_next_queued();
}

int main(int argc, char **argv)
{
	struct serve_options o = {
		.address =
			command_option(argc, argv, "listen", "127.0.0.1:9000"),
		.connections_max = (unsigned int)strtoul(
			command_option(argc, argv, "connections", "400"), NULL,
			10),
		.idle_timeout_s = 60,
		.connection_memory_bytes = 16384,
		.handle = handle_request,
		.completed = request_completed,
	};
	struct prl_error err;

	apr_initialize();
	signal(SIGPIPE, SIG_IGN);
	server.slots =
		strtoll(command_option(argc, argv, "slots", "6"), NULL, 10);
	server.work_ms =
		strtoll(command_option(argc, argv, "work", "5"), NULL, 10);
	server.queue_max =
		strtoll(command_option(argc, argv, "queue", "64"), NULL, 10);
	server.cold_start_ms =
		strtoll(command_option(argc, argv, "cold", "0"), NULL, 10);
	server.names_attempts = strtoll(
		command_option(argc, argv, "name-attempts", "1"), NULL, 10);
	server.started_ms = prl_now_ms();
	server.runs_by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	if (loop_init(&server.loop, &err) ||
	    serve_init(&server.serve, &server.loop, &o, &err)) {
		fprintf(stderr, "standin-upstream: %s\n", err.text);
		return 1;
	}
	server.disconnect_timer.on_expiry = cancel_disconnected;
	loop_timer_add(&server.loop, &server.disconnect_timer);
	server.disconnect_timer.deadline_ms = server.started_ms;
	loop_run(&server.loop);
	return 0;
}
