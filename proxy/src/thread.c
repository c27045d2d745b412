#include "thread.h"
#include "attempt.h"
#include "easy_pool.h"
#include "head.h"
#include "local.h"
#include "request.h"
#include "sockets.h"
#include "splits.h"
#include "upload.h"
#include "waiting.h"
#include <poll.h>
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Parts of a query that this VM's own pages read at most. */
#define PAGE_ARGUMENTS_MAX 32

/* Parts of the process's memory that the connections of callers may take, and
 * those of other VMs. */
#define FRONT_SHARE 4
#define RELAY_SHARE 8

/* Parts that the bodies of requests, and those of answers, may take. */
#define BODY_SHARE 8
#define ANSWER_SHARE 16

/* Parts that connections of large heads may take: at a listener for requests,
 * and at one of this VM's own pages. */
#define LARGE_SHARE 16
#define PAGE_LARGE_SHARE 64

/* Part of the connections of a listener for requests that one of this VM's own
 * pages takes. */
#define PAGE_CONNECTIONS_SHARE 2

/* Interval between checks for disconnected callers and late uploads, in ms. */
#define SWEEP_MS 100

/* Its address marks a request for one of this VM's own pages. */
static char local_request;

/* In a fleet that follows the manifest, all paths are proxied here; this VM's
 * own pages are on the auxiliary listeners. */
static void *on_target(void *ctx, const char *target,
		       struct MHD_Connection *conn)
{
	struct proxy_thread *t = ctx;
	int local = !strncmp(target, PROXY_LOCAL_PATH_PREFIX,
			     strlen(PROXY_LOCAL_PATH_PREFIX));
	struct proxy_request *r;

	if (local && !t->proxy->follows_manifest) {
		head_limit_query(target, PAGE_ARGUMENTS_MAX);
		return &local_request;
	}
	r = request_new(t, conn, target);
	/* A request is passed on with its target as it came. */
	if (r)
		head_limit_query(target, 0);
	return r;
}

static void *on_relayed_target(void *ctx, const char *target,
			       struct MHD_Connection *conn)
{
	struct proxy_thread *t = ctx;
	struct proxy_request *r = request_new(t, conn, target);

	if (r) {
		head_limit_query(target, 0);
		r->relayed = 1;
		r->listener = &t->relay_listener;
	}
	return r;
}

/* The listener does not poll suspended connections, so a disconnect of their
 * callers is detected here. */
static int is_caller_disconnected(const struct proxy_request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct pollfd end = {.fd = info->connect_fd, .events = POLLRDHUP};
	char byte;

	/* The end of the stream is behind the rest of the body. */
	if (!r->request_body_ended && r->has_body && r->headers_read &&
	    poll(&end, 1, 0) == 1)
		return 1;
	return recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static enum MHD_Result dispatch(struct proxy_request *r, const char *url,
				const char *method, const char *version)
{
	r->headers_read = 1;
	if (strlen(method) >= sizeof(r->method))
		return MHD_NO;
	strcpy(r->method, method);
	head_measure(r);
	if (!head_has_error_room(r)) {
		head_refuse_raw(r);
		return MHD_NO;
	}
	r->is_http_1_0 = !strcmp(version, MHD_HTTP_VERSION_1_0);
	/* A process that stood still reads requests long after they came. */
	if (is_caller_disconnected(r))
		return MHD_NO;
	if (r->thread->proxy->follows_manifest)
		request_dispatch_routed(r);
	else
		request_dispatch(r, url);
	/* The error response waits until the body has been read, unless the
	 * caller sends the body only after "100 Continue". */
	if (r->state == REQUEST_FAILED &&
	    (!r->has_body || request_header(r, "Expect")))
		return request_send_error(r);
	return MHD_YES;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *conn,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state)
{
	struct proxy_thread *t = ctx;
	struct proxy_request *r = *state;

	if (!r)
		return MHD_NO;
	if (*state == &local_request) {
		if (*len) {
			*len = 0;
			return MHD_YES;
		}
		return local_respond(t, conn, url, method);
	}
	if (!r->headers_read)
		return dispatch(r, url, method, version);
	if (*len)
		return upload_receive(r, data, len);
	return upload_end(r);
}

static void on_completed(void *ctx, struct MHD_Connection *conn, void **state,
			 enum MHD_RequestTerminationCode why)
{
	struct proxy_request *r = *state;

	(void)ctx;
	(void)conn;
	(void)why;
	*state = NULL;
	if (r && (void *)r != &local_request)
		request_detach_or_free(r);
}

void request_detach_or_free(struct proxy_request *r)
{
	r->suspended = 0;
	/* An at-most-once request that may have reached its upstream goes on,
	 * so that a repetition with the same key can learn its outcome. */
	if (r->at_most_once && r->transfer_active && r->request_body_ended &&
	    r->maybe_sent) {
		r->detached = 1;
		r->conn = NULL;
		unfinished_release(r);
		if (r->download_paused) {
			request_caller_came(r);
			r->download_paused = 0;
			fetch_unpause(&r->thread->fetch_pool, &r->fetch);
		}
		return;
	}
	if (r->transfer_active)
		metrics_add(&r->thread->metrics, METRIC_REQUESTS_CANCELLED, 1);
	request_free(r);
}

static void sweep_requests(struct loop_timer *timer, int64_t now)
{
	struct proxy_thread *t = timer->ctx;

	for (int i = 0; i < t->max_requests; i++) {
		struct proxy_request *r = t->request[i];

		if (!r)
			continue;
		unfinished_tick(r, now);
		upload_tick(r, now);
		if (!r->suspended || r->abort_connection || r->responded)
			continue;
		if (!is_caller_disconnected(r))
			continue;
		r->abort_connection = 1;
		request_resume(r);
	}
	unfinished_sweep(t);
	t->connections = (int)serve_connection_count(&t->listener);
	if (t->proxy->follows_manifest)
		t->connections +=
			(int)serve_connection_count(&t->relay_listener);
	timer->deadline_ms = now + SWEEP_MS;
}

static void on_wait_timer(struct loop_timer *timer, int64_t now)
{
	(void)now;
	request_admit_waiting(timer->ctx);
}

static void handle_claim_result(struct proxy_thread *t, struct proxy_claim *c)
{
	struct proxy_request *r = request_find(t, c->handle);

	if (r && r->state == REQUEST_CLAIMING) {
		request_claim_settled(r, &c->result);
	} else if (c->handle && c->result.verdict == CLAIM_GRANTED) {
		/* The caller has disconnected and nothing was sent: release the
		 * key. */
		c->handle = 0;
		c->record.status = CLAIM_RELEASED;
		mailbox_send(t->proxy->claim_mailbox, c);
		return;
	}
	g_free(c);
}

static void end_requests(struct proxy_thread *t)
{
	for (int i = 0; i < t->max_requests; i++)
		if (t->request[i])
			request_end(t->request[i]);
}

/* Resumes all suspended connections, because the listener must not be closed
 * while some are suspended; they are closed in the same loop iteration. */
static void abort_connections(struct proxy_thread *t)
{
	t->is_stopping = 1;
	for (int i = 0; i < t->max_requests; i++) {
		struct proxy_request *r = t->request[i];

		if (!r || !r->suspended)
			continue;
		r->abort_connection = 1;
		request_resume(r);
	}
}

static void handle_message(void *ctx, void *item)
{
	struct proxy_thread *t = ctx;
	struct proxy_message *m = item;

	switch (m->type) {
	case PROXY_MESSAGE_VIEW:
		if (t->view)
			config_view_release(t->view);
		t->view = m->u.view;
		splits_forget(&t->splits, t->view);
		break;
	case PROXY_MESSAGE_BOUNDS:
		t->bounds = m->u.bounds;
		break;
	case PROXY_MESSAGE_CLAIM:
		handle_claim_result(t, m->u.claim);
		break;
	case PROXY_MESSAGE_QUIESCE:
		serve_quiesce(&t->listener);
		if (t->proxy->follows_manifest)
			serve_quiesce(&t->relay_listener);
		break;
	case PROXY_MESSAGE_END:
		end_requests(t);
		break;
	case PROXY_MESSAGE_STOP:
		abort_connections(t);
		loop_stop(&t->loop);
		break;
	}
	g_free(m);
}

/* Called for each connection that the listener closes by itself, such as for
 * lack of memory for a head. */
static void on_listener_message(void *ctx, const char *text)
{
	struct proxy_thread *t = ctx;

	metrics_add(&t->metrics, METRIC_CONNECTIONS_FAILED, 1);
	log_event(LOG_LEVEL_WARNING, "connection_failed", "cause", text, NULL);
}

static void *on_aux_target(void *ctx, const char *target,
			   struct MHD_Connection *conn)
{
	(void)ctx;
	(void)conn;
	head_limit_query(target, PAGE_ARGUMENTS_MAX);
	return NULL;
}

/* The first call, before the body, only marks the request as local. */
static enum MHD_Result on_aux_request(void *ctx, struct MHD_Connection *conn,
				      const char *url, const char *method,
				      const char *version, const char *data,
				      size_t *len, void **state)
{
	(void)version;
	(void)data;
	if (!*state) {
		*state = &local_request;
		return MHD_YES;
	}
	if (*len) {
		*len = 0;
		return MHD_YES;
	}
	return local_respond(ctx, conn, url, method);
}

static void on_aux_completed(void *ctx, struct MHD_Connection *conn,
			     void **state, enum MHD_RequestTerminationCode why)
{
	(void)ctx;
	(void)conn;
	(void)why;
	*state = NULL;
}

/* Opens the listeners that have an address in the settings. */
static enum prl_code init_aux_listeners(struct proxy_thread *t,
					struct prl_error *err)
{
	const struct prl_settings *s = t->proxy->settings;
	const char *address[] = {s->listen.lookup, s->listen.ready,
				 s->listen.metrics};
	struct serve_options o = {
		.connections_max = head_connections_max(s, FRONT_SHARE) /
				   PAGE_CONNECTIONS_SHARE,
		.idle_timeout_s = (unsigned int)s->traffic.idle,
		.connection_memory_bytes = HEAD_PAGE_CONNECTION_BYTES,
		.large_memory_bytes = HEAD_LARGE_CONNECTION_BYTES,
		.large_max = head_large_max(s, PAGE_LARGE_SHARE),
		.begin = on_aux_target,
		.handle = on_aux_request,
		.completed = on_aux_completed,
		.report = on_listener_message,
		.ctx = t,
	};

	for (size_t i = 0; i < sizeof(address) / sizeof(address[0]); i++) {
		if (!address[i][0])
			continue;
		o.address = address[i];
		if (serve_init(&t->aux_listener[t->naux_listener], &t->loop, &o,
			       err))
			return err->code;
		t->naux_listener++;
	}
	return PRL_OK;
}

/* Requests of other VMs come to the port of the RPC address, over TCP. */
static enum prl_code init_relay_listener(struct proxy_thread *t,
					 const struct serve_options *front,
					 struct prl_error *err)
{
	struct serve_options o = *front;

	o.address = t->proxy->settings->listen.rpc;
	o.begin = on_relayed_target;
	o.connections_max =
		head_connections_max(t->proxy->settings, RELAY_SHARE);
	return serve_init(&t->relay_listener, &t->loop, &o, err);
}

static enum prl_code alloc_routed_tables(struct proxy_thread *t,
					 struct prl_error *err)
{
	t->placement_stats =
		calloc(CONFIG_INDEXES_MAX, sizeof(*t->placement_stats));
	t->keep_alive_s = calloc(CONFIG_INDEXES_MAX, sizeof(*t->keep_alive_s));
	t->named_limit = calloc(CONFIG_INDEXES_MAX, sizeof(*t->named_limit));
	t->placement_state =
		calloc(CONFIG_INDEXES_MAX, sizeof(*t->placement_state));
	if (!t->placement_stats || !t->keep_alive_s || !t->named_limit ||
	    !t->placement_state)
		return prl_error_set(
			err, PRL_E_MEMORY,
			"tables of a traffic thread: out of memory");
	return PRL_OK;
}

static enum prl_code alloc_request_table(struct proxy_thread *t,
					 struct prl_error *err)
{
	t->max_requests = (int)t->proxy->settings->traffic.connections;
	t->request =
		calloc((size_t)t->max_requests, sizeof(struct proxy_request *));
	t->generation = calloc((size_t)t->max_requests, sizeof(*t->generation));
	t->sockets = calloc(1, sizeof(*t->sockets));
	if (!t->request || !t->generation || !t->sockets)
		return prl_error_set(err, PRL_E_MEMORY,
				     "table of requests: out of memory");
	return PRL_OK;
}

/* Bytes of a thread's part of the memory. */
static size_t share_of_memory(const struct prl_settings *s, int share)
{
	return (size_t)(s->traffic.memory << 20) / (size_t)share /
	       (size_t)s->traffic.threads;
}

enum prl_code proxy_thread_init(struct proxy_thread *t, struct proxy *p,
				struct prl_error *err)
{
	const struct prl_settings *s = p->settings;
	struct serve_options o = {
		.address = s->listen.http,
		.connections_max = head_connections_max(s, FRONT_SHARE),
		.idle_timeout_s = (unsigned int)s->traffic.idle,
		.connection_memory_bytes = HEAD_CONNECTION_BYTES,
		.large_memory_bytes = HEAD_LARGE_CONNECTION_BYTES,
		.large_max = head_large_max(s, LARGE_SHARE),
		.report = on_listener_message,
		.begin = on_target,
		.handle = on_request,
		.completed = on_completed,
		.ctx = t,
	};

	t->proxy = p;
	t->kept_max = head_kept_max((int)o.connections_max);
	t->body_budget.max = share_of_memory(s, BODY_SHARE);
	t->answer_budget.max = share_of_memory(s, ANSWER_SHARE);
	t->random_state =
		prl_hash_combine(g_random_int(), (uint64_t)prl_now_us());
	t->wait_timer.on_expiry = on_wait_timer;
	t->wait_timer.ctx = t;
	t->routed_wait_timer.on_expiry = waiting_run;
	t->routed_wait_timer.ctx = t;
	t->link_timer.on_expiry = link_resume_transfers;
	t->link_timer.ctx = t;
	t->sweep_timer.on_expiry = sweep_requests;
	t->sweep_timer.ctx = t;
	if (alloc_request_table(t, err) || loop_init(&t->loop, err) ||
	    fetch_pool_init(&t->fetch_pool, &t->loop, err) ||
	    mailbox_init(&t->mailbox, &t->loop, handle_message, t, err) ||
	    serve_init(&t->listener, &t->loop, &o, err) ||
	    init_aux_listeners(t, err) ||
	    (p->follows_manifest &&
	     (alloc_routed_tables(t, err) || init_relay_listener(t, &o, err))))
		return err->code;
	/* By default libcurl's connection cache shrinks with the number of
	 * transfers under way, which would close idle connections. */
	curl_multi_setopt(t->fetch_pool.multi, CURLMOPT_MAXCONNECTS,
			  (long)head_connections_max(s, FRONT_SHARE));
	loop_timer_add(&t->loop, &t->wait_timer);
	loop_timer_add(&t->loop, &t->routed_wait_timer);
	loop_timer_add(&t->loop, &t->sweep_timer);
	loop_timer_add(&t->loop, &t->link_timer);
	t->sweep_timer.deadline_ms = prl_now_ms() + SWEEP_MS;
	return PRL_OK;
}

void proxy_thread_finish(struct proxy_thread *t)
{
	serve_finish(&t->listener);
	if (t->proxy->follows_manifest)
		serve_finish(&t->relay_listener);
	while (t->naux_listener)
		serve_finish(&t->aux_listener[--t->naux_listener]);
	for (int i = 0; i < t->max_requests; i++)
		if (t->request[i])
			request_free(t->request[i]);
	mailbox_finish(&t->mailbox, &t->loop);
	easy_pool_finish(&t->easy_pool);
	fetch_pool_finish(&t->fetch_pool);
	loop_finish(&t->loop);
	if (t->view)
		config_view_release(t->view);
	free(t->request);
	free(t->generation);
	if (t->sockets)
		sockets_finish(t->sockets);
	free(t->sockets);
	free(t->placement_stats);
	free(t->keep_alive_s);
	free(t->named_limit);
	free(t->placement_state);
	splits_finish(&t->splits);
}
