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
static const int silent_ms = 1500;

/* Longest header line of an answer, in bytes; libcurl's own bound. */
#define HEADER_MAX (100 << 10)

static void spend(struct proxy_request *r, size_t bytes)
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
	struct proxy_sockets *sockets = r->thread->sockets;
	uint64_t ends = sockets_ends(ip, port, lport);

	(void)local;
	if (r->issued)
		return CURL_PREREQFUNC_ABORT;
	if (r->opened_fd >= 0) {
		sockets_connected(sockets, r->opened_fd, ends);
	} else if (sockets_is_stale(sockets, ends)) {
		r->stale++;
		return CURL_PREREQFUNC_ABORT;
	}
	r->issued = 1;
	r->sent_us = prl_now_us();
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
	r->opened_fd = fd;
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

	if (r->gone || (r->routed && r->verdict >= VERDICT_AMBIGUOUS))
		return len;
	if (!link_open(r->thread->proxy, r->link)) {
		link_wait(r);
		r->down_paused = 1;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (body_room(&r->down) < len) {
		/* A long answer is passed on while it comes. */
		if (r->routed)
			request_answered(r);
		request_wake(r);
		r->down_paused = 1;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (body_write(&r->down, data, len) != len)
		return 0;
	spend(r, len);
	if (r->state == REQUEST_ANSWERED)
		request_wake(r);
	return len;
}

/* What an upstream of a service file says beside its answer. */
static void note_own_header(struct proxy_request *r, const char *line)
{
	struct proxy_upstream_stats *c = upstream_cell(r, r->upstream);

	if (!strncasecmp(line, "Upstream-Running:", 17)) {
		atomic_store(&c->reported_running, atoi(line + 17));
		atomic_store(&c->reported_ms, prl_now_ms());
	}
	if (!strncasecmp(line, "Request-Outcome:", 16) &&
	    r->status == MHD_HTTP_SERVICE_UNAVAILABLE)
		r->refused = strstr(line + 16, "not-run") != NULL;
}

static void note_header(struct proxy_request *r, const char *line)
{
	if (r->routed)
		platform_response_parse_header(line, &r->answer);
	else
		note_own_header(r, line);
	if (!strncasecmp(line, "Content-Length:", 15))
		r->down_length = strtoll(line + 15, NULL, 10);
	r->answer_headers = curl_slist_append(r->answer_headers, line);
}

static int headers_ended(struct proxy_request *r)
{
	int failed = r->status == MHD_HTTP_BAD_GATEWAY ||
		     r->status == MHD_HTTP_SERVICE_UNAVAILABLE ||
		     r->status == MHD_HTTP_GATEWAY_TIMEOUT;

	if (r->status < MHD_HTTP_OK)
		return 0;
	if (r->routed) {
		r->verdict = verdict_of(&r->answer, r->status, r->asked.id);
		placing_heard(r);
		return r->verdict == VERDICT_BROKEN ? -1 : 0;
	}
	if (failed && request_may_retry(r, r->refused)) {
		r->retrying = 1;
		return -1;
	}
	request_answered(r);
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
	platform_response_init(&r->answer);
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
	if (r->state == REQUEST_ANSWERED)
		return len; /* a trailer */
	if (k > HEADER_MAX)
		return 0;
	line = g_strndup(data, k);
	if (!strncmp(line, "HTTP/", 5))
		begin_headers(r, line);
	else if (k)
		note_header(r, line);
	else
		rc = headers_ended(r);
	g_free(line);
	return rc ? 0 : len;
}

struct header_copy {
	struct proxy_request *r;
	const char *connection;
};

/* Headers that this VM sets itself. */
static int is_own_header(const struct proxy_request *r, const char *key)
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
	    is_own_header(r, key))
		return MHD_YES;
	/* libcurl takes a header without a value in this form. */
	if (value && *value)
		line = g_strdup_printf("%s: %s", key, value);
	else
		line = g_strdup_printf("%s;", key);
	r->headers = curl_slist_append(r->headers, line);
	g_free(line);
	return MHD_YES;
}

static void add_left(struct proxy_request *r, int64_t left)
{
	char line[STEER_NAME_MAX + 64];

	if (!r->routed) {
		snprintf(line, sizeof(line), "Request-Deadline: %" PRId64,
			 prl_wall_ms() + left);
		r->headers = curl_slist_append(r->headers, line);
		return;
	}
	platform_deadline_header_format(line, sizeof(line), left);
	r->headers = curl_slist_append(r->headers, line);
	platform_instance_header_format(line, sizeof(line),
					r->upstream->instance);
	r->headers = curl_slist_append(r->headers, line);
}

static void set_headers(struct proxy_request *r)
{
	struct header_copy copy = {
		.r = r,
		.connection = request_header(r, "Connection"),
	};
	int64_t left = r->deadline - prl_now_ms();

	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, copy_header, &copy);
	add_left(r, left > 0 ? left : 1);
	/* What libcurl would add by itself. */
	r->headers = curl_slist_append(r->headers, "Expect:");
	if (!request_header(r, "Accept"))
		r->headers = curl_slist_append(r->headers, "Accept:");
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

static void set_liveness(struct proxy_request *r)
{
	CURL *easy = r->fetch.easy;

	fetch_watch_peer(easy, &silent_ms);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, r);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, r->thread);
	if (r->routed)
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
				 placing_idle_max_s(r));
	else if (r->once)
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, ONCE_IDLE_MAX_S);
}

void request_set_transfer(struct proxy_request *r)
{
	long connect = r->routed ? CONNECT_ROUTED_MAX_MS : CONNECT_MAX_MS;
	CURL *easy = r->fetch.easy;
	char url[PRL_ADDRESS_MAX + 16];
	int64_t now = prl_now_ms();
	long left = r->deadline > now ? (long)(r->deadline - now) : 1;

	snprintf(url, sizeof(url), "http://%s/", r->upstream->address);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, r->target);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, left);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 left < connect ? left : connect);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_attempt);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, r);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_download);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
	set_liveness(r);
	set_body(r);
	set_headers(r);
}
