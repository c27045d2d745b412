#include "upstream.h"
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Attempts of one request. */
#define ATTEMPTS_MAX 3

/* Buffer of one transfer for what it receives, in bytes. */
#define RECEIVE_BUFFER 8192L

/* The smallest buffer for what it sends that libcurl allows, in bytes. */
#define SEND_BUFFER 16384L

/* Longest time to a connection, in milliseconds. */
#define CONNECT_MAX_MS 1000L

/* A connection idle for longer is not used for what runs at most once: the
 * upstream may just be closing it, and nobody could tell what ran. */
#define ONCE_IDLE_MAX_S 1L

static void end_fetch(struct proxy_request *r)
{
	struct proxy_thread *t = r->thread;

	curl_slist_free_all(r->headers);
	r->headers = NULL;
	r->fetching = 0;
	if (t->nspare < (int)(sizeof(t->spare) / sizeof(t->spare[0])))
		t->spare[t->nspare++] = r->fetch.easy;
	else
		curl_easy_cleanup(r->fetch.easy);
}

void request_release(struct proxy_request *r)
{
	const struct steer_place *place;

	if (r->fetching) {
		fetch_cancel(&r->thread->fetches, &r->fetch);
		end_fetch(r);
	}
	upstream_give(r);
	if (r->region == STEER_NONE)
		return;
	place = &r->service->place[r->region];
	limit_hold_give(&r->thread->proxy->hold[place->hold]);
	r->region = STEER_NONE;
	/* Whoever waits in this thread has the place in the same round. */
	if (r->thread->nwaiting)
		r->thread->wait_timer.deadline = prl_now_ms();
}

/* Another attempt may be made if this one did not run, or may run twice. */
static int may_retry(struct proxy_request *r, int did_not_run)
{
	if (r->gone || r->responded || r->attempts >= ATTEMPTS_MAX)
		return 0;
	if (r->once && !did_not_run)
		return 0;
	if (prl_now_ms() >= r->deadline || body_rewind(&r->up))
		return 0;
	return limit_share_take(&upstream_service(r)->retry);
}

static void retry(struct proxy_request *r)
{
	r->failed = r->upstream;
	upstream_give(r);
	metrics_add(&r->thread->metrics, METRIC_RETRIES, 1);
	request_send(r);
}

static void settle_outcome(struct proxy_request *r, int did_not_run)
{
	if (!did_not_run)
		r->maybe_ran = 1;
	r->outcome = r->maybe_ran ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

static void attempt_failed(struct proxy_request *r, CURLcode result)
{
	int did_not_run = !r->issued || r->refused;

	upstream_learn(r, 1);
	if (r->state == REQUEST_ANSWERED) {
		r->down_failed = 1;
		r->outcome = OUTCOME_UNKNOWN;
		request_release(r);
		request_wake(r);
		return;
	}
	if (r->retrying || may_retry(r, did_not_run)) {
		r->retrying = 0;
		settle_outcome(r, did_not_run);
		retry(r);
		return;
	}
	settle_outcome(r, did_not_run);
	request_release(r);
	if (result == CURLE_OPERATION_TIMEDOUT)
		request_fail(
			r, MHD_HTTP_GATEWAY_TIMEOUT,
			"the deadline passed before the upstream's answer");
	else
		request_fail(r, MHD_HTTP_BAD_GATEWAY,
			     "the connection to the upstream failed");
}

static void attempt_ended(struct proxy_request *r)
{
	r->outcome = r->refused ? OUTCOME_NOT_RUN : OUTCOME_RAN;
	if (r->refused && r->maybe_ran)
		r->outcome = OUTCOME_UNKNOWN;
	upstream_learn(r, r->status >= MHD_HTTP_INTERNAL_SERVER_ERROR);
	if (r->claimed && r->outcome == OUTCOME_RAN) {
		r->claim.code = r->status;
		request_note(r, CLAIM_RAN);
	}
	r->down_ended = 1;
	request_release(r);
	request_wake(r);
}

static void on_done(struct fetch *f, CURLcode result)
{
	struct proxy_request *r = f->ctx;

	end_fetch(r);
	if (result || r->state != REQUEST_ANSWERED)
		attempt_failed(r, result);
	else
		attempt_ended(r);
	if (r->gone && !r->fetching)
		request_free(r);
}

static void spend(struct proxy_request *r, size_t bytes)
{
	if (r->link != STEER_NONE)
		limit_flow_spend(&r->thread->proxy->flow[r->link],
				 (int64_t)bytes);
}

static size_t on_upload(char *data, size_t size, size_t n, void *ctx)
{
	struct proxy_request *r = ctx;
	size_t len;

	if (!link_open(r->thread->proxy, r->link)) {
		link_wait(r);
		r->up_paused = 1;
		return CURL_READFUNC_PAUSE;
	}
	len = body_read(&r->up, data, size * n);
	if (len) {
		spend(r, len);
		request_wake(r);
		return len;
	}
	if (r->up_ended)
		return 0;
	r->up_paused = 1;
	return CURL_READFUNC_PAUSE;
}

/* A rewind is asked for when libcurl itself would send again. */
static int on_seek(void *ctx, curl_off_t offset, int origin)
{
	(void)ctx;
	(void)offset;
	(void)origin;
	return CURL_SEEKFUNC_FAIL;
}

/* Called when a connection is there, before the first byte. libcurl sends a
 * request again by itself if a connection that it used before dies early;
 * that is an attempt like any other, which only this module may make. */
static int on_attempt(void *ctx, char *ip, char *local, int port, int lport)
{
	struct proxy_request *r = ctx;

	(void)ip;
	(void)local;
	(void)port;
	(void)lport;
	if (r->issued)
		return CURL_PREREQFUNC_ABORT;
	r->issued = 1;
	r->sent_us = prl_now_us();
	return CURL_PREREQFUNC_OK;
}

static size_t on_download(char *data, size_t size, size_t n, void *ctx)
{
	struct proxy_request *r = ctx;
	size_t len = size * n;

	if (r->gone)
		return len;
	if (!link_open(r->thread->proxy, r->link)) {
		link_wait(r);
		r->down_paused = 1;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (body_room(&r->down) < len) {
		r->down_paused = 1;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (body_write(&r->down, data, len) != len)
		return 0;
	spend(r, len);
	request_wake(r);
	return len;
}

static void note_header(struct proxy_request *r, const char *line)
{
	struct proxy_upstream_cell *c = upstream_cell(r, r->upstream);

	if (!strncasecmp(line, "Upstream-Running:", 17)) {
		atomic_store(&c->reported, atoi(line + 17));
		atomic_store(&c->reported_ms, prl_now_ms());
	}
	if (!strncasecmp(line, "Content-Length:", 15))
		r->down_length = strtoll(line + 15, NULL, 10);
	if (!strncasecmp(line, "Request-Outcome:", 16) &&
	    r->status == MHD_HTTP_SERVICE_UNAVAILABLE)
		r->refused = strstr(line + 16, "not-run") != NULL;
	r->answer_headers = curl_slist_append(r->answer_headers, line);
}

static int headers_ended(struct proxy_request *r)
{
	int failed = r->status == MHD_HTTP_BAD_GATEWAY ||
		     r->status == MHD_HTTP_SERVICE_UNAVAILABLE ||
		     r->status == MHD_HTTP_GATEWAY_TIMEOUT;

	if (r->status < MHD_HTTP_OK)
		return 0;
	if (failed && may_retry(r, r->refused)) {
		r->retrying = 1;
		return -1;
	}
	r->state = REQUEST_ANSWERED;
	request_wake(r);
	return 0;
}

static void begin_headers(struct proxy_request *r, const char *line)
{
	const char *space = strchr(line, ' ');

	curl_slist_free_all(r->answer_headers);
	r->answer_headers = NULL;
	r->down_length = -1;
	r->refused = 0;
	r->status = space ? atoi(space + 1) : 0;
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct proxy_request *r = ctx;
	size_t len = size * n;
	char line[2048];
	size_t k = len;

	while (k && (data[k - 1] == '\r' || data[k - 1] == '\n'))
		k--;
	if (k >= sizeof(line) || r->state == REQUEST_ANSWERED)
		return len; /* too long to pass on, or a trailer */
	memcpy(line, data, k);
	line[k] = 0;
	if (!strncmp(line, "HTTP/", 5))
		begin_headers(r, line);
	else if (k)
		note_header(r, line);
	else if (headers_ended(r))
		return 0;
	return len;
}

struct header_copy {
	struct proxy_request *r;
	const char *connection;
};

static enum MHD_Result copy_header(void *ctx, enum MHD_ValueKind kind,
				   const char *key, const char *value)
{
	const struct header_copy *copy = ctx;
	struct proxy_request *r = copy->r;
	char line[4096];

	(void)kind;
	if (header_is_hop_by_hop(key, copy->connection) ||
	    !strcasecmp(key, "Content-Length") || !strcasecmp(key, "Expect") ||
	    !strcasecmp(key, "Request-Deadline"))
		return MHD_YES;
	/* libcurl takes a header without a value in this form. */
	snprintf(line, sizeof(line), value && *value ? "%s: %s" : "%s;", key,
		 value);
	r->headers = curl_slist_append(r->headers, line);
	return MHD_YES;
}

static void set_headers(struct proxy_request *r)
{
	struct header_copy copy = {
		.r = r,
		.connection = MHD_lookup_connection_value(
			r->conn, MHD_HEADER_KIND, "Connection"),
	};
	char line[64];
	long long at = prl_wall_ms() + r->deadline - prl_now_ms();

	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, copy_header, &copy);
	snprintf(line, sizeof(line), "Request-Deadline: %lld", at);
	r->headers = curl_slist_append(r->headers, line);
	r->headers = curl_slist_append(r->headers, "Expect:");
	curl_easy_setopt(r->fetch.easy, CURLOPT_HTTPHEADER, r->headers);
}

static void set_body(struct proxy_request *r)
{
	CURL *easy = r->fetch.easy;

	if (!strcmp(r->method, "HEAD")) {
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (r->has_body) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
				 (curl_off_t)r->up_length);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_upload);
		curl_easy_setopt(easy, CURLOPT_READDATA, r);
		curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, on_seek);
		curl_easy_setopt(easy, CURLOPT_SEEKDATA, r);
		curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, SEND_BUFFER);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, r->method);
}

static void set_transfer(struct proxy_request *r)
{
	CURL *easy = r->fetch.easy;
	char url[PRL_ADDRESS_MAX + 16];
	int64_t now = prl_now_ms();
	long left = r->deadline > now ? (long)(r->deadline - now) : 1;

	snprintf(url, sizeof(url), "http://%s/", r->upstream->address);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, r->target);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, left);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 left < CONNECT_MAX_MS ? left : CONNECT_MAX_MS);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_attempt);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, r);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_download);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
	if (r->once)
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, ONCE_IDLE_MAX_S);
	set_body(r);
	set_headers(r);
}

static CURL *get_easy(struct proxy_thread *t)
{
	if (!t->nspare)
		return curl_easy_init();
	curl_easy_reset(t->spare[--t->nspare]);
	return t->spare[t->nspare];
}

static void give_up(struct proxy_request *r, const char *cause)
{
	upstream_give(r);
	request_release(r);
	request_fail(r, MHD_HTTP_SERVICE_UNAVAILABLE, cause);
}

int request_reserve(struct proxy_request *r)
{
	if (r->upstream || upstream_take(r))
		return 1;
	metrics_add(&r->thread->metrics, METRIC_SHED, 1);
	give_up(r, "no upstream takes new work");
	return 0;
}

void request_send(struct proxy_request *r)
{
	if (!request_reserve(r))
		return;
	r->fetch.easy = get_easy(r->thread);
	if (!r->fetch.easy) {
		give_up(r, "out of memory");
		return;
	}
	r->fetch.done = on_done;
	r->fetch.ctx = r;
	r->state = REQUEST_SENT;
	r->issued = 0;
	r->refused = 0;
	r->up_paused = 0;
	r->down_paused = 0;
	r->link_paused = 0;
	r->attempts++;
	r->sent_us = prl_now_us();
	metrics_add(&r->thread->metrics, METRIC_ATTEMPTS, 1);
	set_transfer(r);
	r->fetching = 1;
	if (fetch_start(&r->thread->fetches, &r->fetch, NULL)) {
		end_fetch(r);
		give_up(r, "the HTTP client failed");
	}
}
