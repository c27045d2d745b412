/* The transfer of one attempt: what is sent and what comes back. */
#include "attempt.h"
#include "placing.h"
#include "sockets.h"
#include "upstream.h"
#include <inttypes.h>
#include <primroselead/clock.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Buffer of one transfer for what it receives, in bytes. */
#define RECEIVE_BUFFER 8192L

/* The smallest buffer for what it sends that libcurl allows, in bytes. */
#define SEND_BUFFER 16384L

/* Longest time to a connection, in milliseconds. */
#define CONNECT_MAX_MS 1000L

/* A connection idle for longer is not used for what runs at most once: the
 * upstream may just be closing it, and nobody could tell what ran. */
#define ONCE_IDLE_MAX_S 1L

/* Longest time to a connection of a routed request, in milliseconds: a lost
 * first packet is sent again after a second only. */
#define CONNECT_ROUTED_MAX_MS 700L

/* Time without an acknowledgement after which a connection is dead, in ms. */
static const int unacked_timeout_ms = 1500;

/* Longest header line of an answer, in bytes; libcurl's own bound. */
#define HEADER_MAX (100 << 10)

static void charge_link(struct proxy_request *r, size_t bytes)
{
	if (r->link != STEER_NONE)
		limit_bandwidth_charge(
			&r->thread->proxy->link_bandwidth[r->link],
			(int64_t)bytes);
}

static size_t on_upload(char *data, size_t size, size_t n, void *ctx)
{
	struct proxy_request *r = ctx;
	size_t len;

	if (!link_ready(r->thread->proxy, r->link)) {
		link_pause_transfer(r);
		r->upload_paused = 1;
		return CURL_READFUNC_PAUSE;
	}
	len = body_read(&r->request_body, data, size * n);
	if (len) {
		charge_link(r, len);
		request_resume(r);
		return len;
	}
	if (r->request_body_ended)
		return 0;
	r->upload_paused = 1;
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
static int on_prerequest(void *ctx, char *ip, char *local, int port, int lport)
{
	struct proxy_request *r = ctx;
	struct proxy_sockets *sockets = r->thread->sockets;
	uint64_t ends = sockets_hash_endpoints(ip, port, lport);

	(void)local;
	if (r->maybe_sent)
		return CURL_PREREQFUNC_ABORT;
	if (r->new_fd >= 0) {
		sockets_set_endpoints(sockets, r->new_fd, ends);
	} else if (sockets_is_stale(sockets, ends)) {
		r->stale_connections++;
		return CURL_PREREQFUNC_ABORT;
	}
	r->maybe_sent = 1;
	r->attempt_started_us = prl_now_us();
	return CURL_PREREQFUNC_OK;
}

static curl_socket_t on_open(void *ctx, curlsocktype purpose,
			     struct curl_sockaddr *addr)
{
	struct proxy_request *r = ctx;
	int fd = socket(addr->family, addr->socktype | SOCK_CLOEXEC,
			addr->protocol);

	(void)purpose;
	if (fd < 0)
		return CURL_SOCKET_BAD;
	r->new_fd = fd;
	/* One that isn't known is used without the check. */
	sockets_add(r->thread->sockets, fd);
	return fd;
}

/* May be called long after the request that opened the connection. */
static int on_close(void *ctx, curl_socket_t fd)
{
	struct proxy_thread *t = ctx;

	sockets_remove(t->sockets, fd);
	return close(fd);
}

static size_t on_download(char *data, size_t size, size_t n, void *ctx)
{
	struct proxy_request *r = ctx;
	size_t len = size * n;

	if (r->detached || (r->routed && r->verdict >= VERDICT_AMBIGUOUS))
		return len;
	if (!link_ready(r->thread->proxy, r->link)) {
		link_pause_transfer(r);
		r->download_paused = 1;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (body_writable(&r->response_body) < len) {
		/* A long answer is passed on while it comes. */
		if (r->routed)
			request_accept_response(r);
		request_resume(r);
		r->download_paused = 1;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (body_write(&r->response_body, data, len) != len)
		return 0;
	charge_link(r, len);
	if (r->state == REQUEST_RESPONDING)
		request_resume(r);
	return len;
}

/* What an upstream of a service file says beside its answer. */
static void parse_service_header(struct proxy_request *r, const char *line)
{
	struct proxy_upstream_stats *c = upstream_stats(r, r->upstream);

	if (!strncasecmp(line, "Upstream-Running:", 17)) {
		atomic_store(&c->reported_running, atoi(line + 17));
		atomic_store(&c->reported_ms, prl_now_ms());
	}
	if (!strncasecmp(line, "Request-Outcome:", 16) &&
	    r->status == MHD_HTTP_SERVICE_UNAVAILABLE)
		r->upstream_refused = strstr(line + 16, "not-run") != NULL;
}

static void parse_response_header(struct proxy_request *r, const char *line)
{
	if (r->routed)
		platform_response_parse_header(line, &r->response_meta);
	else
		parse_service_header(r, line);
	if (!strncasecmp(line, "Content-Length:", 15))
		r->response_length = strtoll(line + 15, NULL, 10);
	r->response_headers = curl_slist_append(r->response_headers, line);
}

static int finish_headers(struct proxy_request *r)
{
	int failed = r->status == MHD_HTTP_BAD_GATEWAY ||
		     r->status == MHD_HTTP_SERVICE_UNAVAILABLE ||
		     r->status == MHD_HTTP_GATEWAY_TIMEOUT;

	if (r->status < MHD_HTTP_OK)
		return 0;
	if (r->routed) {
		r->verdict = verdict_for_response(&r->response_meta, r->status,
						  r->request_meta.id);
		placing_record_load(r);
		return r->verdict == VERDICT_INVALID ? -1 : 0;
	}
	if (failed && request_may_retry(r, r->upstream_refused)) {
		r->retry_pending = 1;
		return -1;
	}
	request_accept_response(r);
	request_resume(r);
	return 0;
}

static void begin_response(struct proxy_request *r, const char *line)
{
	const char *space = strchr(line, ' ');

	curl_slist_free_all(r->response_headers);
	r->response_headers = NULL;
	r->response_length = -1;
	r->upstream_refused = 0;
	platform_response_init(&r->response_meta);
	r->status = space ? atoi(space + 1) : 0;
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct proxy_request *r = ctx;
	size_t len = size * n;
	size_t k = len;
	char *line;
	int rc = 0;

	while (k && (data[k - 1] == '\r' || data[k - 1] == '\n'))
		k--;
	if (r->state == REQUEST_RESPONDING)
		return len; /* a trailer */
	if (k > HEADER_MAX)
		return 0;
	line = g_strndup(data, k);
	if (!strncmp(line, "HTTP/", 5))
		begin_response(r, line);
	else if (k)
		parse_response_header(r, line);
	else
		rc = finish_headers(r);
	g_free(line);
	return rc ? 0 : len;
}

struct header_copy {
	struct proxy_request *r;
	const char *connection;
};

/* Headers that this VM sets itself. */
static int is_set_by_proxy(const struct proxy_request *r, const char *key)
{
	if (!strcasecmp(key, "Content-Length") || !strcasecmp(key, "Expect"))
		return 1;
	if (r->routed)
		return platform_is_reserved_header(key);
	return !strcasecmp(key, "Request-Deadline");
}

static enum MHD_Result copy_header(void *ctx, enum MHD_ValueKind kind,
				   const char *key, const char *value)
{
	const struct header_copy *copy = ctx;
	struct proxy_request *r = copy->r;
	char *line;

	(void)kind;
	if (header_is_hop_by_hop(key, copy->connection) ||
	    is_set_by_proxy(r, key))
		return MHD_YES;
	/* libcurl takes a header without a value in this form. */
	if (value && *value)
		line = g_strdup_printf("%s: %s", key, value);
	else
		line = g_strdup_printf("%s;", key);
	r->request_headers = curl_slist_append(r->request_headers, line);
	g_free(line);
	return MHD_YES;
}

static void add_deadline_headers(struct proxy_request *r, int64_t left)
{
	char line[STEER_NAME_MAX + 64];

	if (!r->routed) {
		snprintf(line, sizeof(line), "Request-Deadline: %" PRId64,
			 prl_wall_ms() + left);
		r->request_headers =
			curl_slist_append(r->request_headers, line);
		return;
	}
	platform_deadline_header_format(line, sizeof(line), left);
	r->request_headers = curl_slist_append(r->request_headers, line);
	platform_instance_header_format(line, sizeof(line),
					r->upstream->instance);
	r->request_headers = curl_slist_append(r->request_headers, line);
}

static void set_headers(struct proxy_request *r)
{
	struct header_copy copy = {
		.r = r,
		.connection = request_header(r, "Connection"),
	};
	int64_t left = r->deadline_ms - prl_now_ms();

	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, copy_header, &copy);
	add_deadline_headers(r, left > 0 ? left : 1);
	/* What libcurl would add by itself. */
	r->request_headers = curl_slist_append(r->request_headers, "Expect:");
	if (!request_header(r, "Accept"))
		r->request_headers =
			curl_slist_append(r->request_headers, "Accept:");
	curl_easy_setopt(r->fetch.easy, CURLOPT_HTTPHEADER, r->request_headers);
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
				 (curl_off_t)r->request_length);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, on_upload);
		curl_easy_setopt(easy, CURLOPT_READDATA, r);
		curl_easy_setopt(easy, CURLOPT_SEEKFUNCTION, on_seek);
		curl_easy_setopt(easy, CURLOPT_SEEKDATA, r);
		curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE, SEND_BUFFER);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, r->method);
}

static void set_connection_options(struct proxy_request *r)
{
	CURL *easy = r->fetch.easy;

	fetch_watch_peer(easy, &unacked_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, r);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, r->thread);
	if (r->routed)
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
				 placing_idle_max_s(r));
	else if (r->at_most_once)
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, ONCE_IDLE_MAX_S);
}

void request_setup_transfer(struct proxy_request *r)
{
	long connect = r->routed ? CONNECT_ROUTED_MAX_MS : CONNECT_MAX_MS;
	CURL *easy = r->fetch.easy;
	char url[PRL_ADDRESS_MAX + 16];
	int64_t now = prl_now_ms();
	long left = r->deadline_ms > now ? (long)(r->deadline_ms - now) : 1;

	snprintf(url, sizeof(url), "http://%s/", r->upstream->address);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, r->target);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, left);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 left < connect ? left : connect);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_prerequest);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, r);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_download);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
	set_connection_options(r);
	set_body(r);
	set_headers(r);
}
