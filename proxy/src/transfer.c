/* The HTTP transfer of one attempt: the request as libcurl sends it. */
#include "attempt.h"
#include "download.h"
#include "placing.h"
#include "region_relay.h"
#include "relay.h"
#include "service.h"
#include "sockets.h"
#include "workspace.h"
#include <primroselead/clock.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Send buffer of one transfer, in bytes: libcurl's minimum. */
#define SEND_BUFFER_BYTES 16384L

/* Connect timeout in milliseconds. */
#define CONNECT_TIMEOUT_MS 1000L

/* Connect timeout of routed requests, in milliseconds. Shorter than TCP's
 * initial retransmission timeout of 1 s: after a lost SYN, another attempt is
 * faster than waiting for the retransmission. */
#define CONNECT_TIMEOUT_ROUTED_MS 700L

/* A connection is dead if sent bytes stay unacknowledged for this long, in ms.
 */
static const int unacked_timeout_ms = 1500;

/* Maximum idle time of a connection to another VM that is reused, in s; shorter
 * than the idle timeout of its listener. */
#define PEER_IDLE_MAX_S 2L

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
		link_charge(r, len);
		request_resume(r);
		return len;
	}
	if (r->request_body_ended)
		return 0;
	request_await_caller(r);
	r->upload_paused = 1;
	return CURL_READFUNC_PAUSE;
}

/* libcurl seeks only to send the request again by itself, which is not allowed.
 */
static int on_seek(void *ctx, curl_off_t offset, int origin)
{
	(void)ctx;
	(void)offset;
	(void)origin;
	return CURL_SEEKFUNC_FAIL;
}

/* Whether this request, by its id, was answered over the connection before, for
 * this VM or for another one. */
static int was_answered_there(struct proxy_request *r, uint64_t endpoint_hash)
{
	if (!sockets_has_answered(r->thread->sockets, endpoint_hash,
				  request_id_hash(r), prl_now_ms()))
		return 0;
	metrics_add(&r->thread->metrics, METRIC_CONNECTIONS_ANSWERED_BEFORE, 1);
	return 1;
}

/* Called when the connection is established, before the request is sent.
 * libcurl resends a request by itself if a reused connection closes before a
 * response. The second call is aborted, because a resend counts as an attempt
 * and only this package decides on attempts. */
static int on_prerequest(void *ctx, char *ip, char *local, int port, int lport)
{
	struct proxy_request *r = ctx;
	struct proxy_sockets *sockets = r->thread->sockets;
	uint64_t endpoint_hash = sockets_hash_endpoints(ip, port, lport);

	(void)local;
	if (r->maybe_sent)
		return CURL_PREREQFUNC_ABORT;
	if (r->new_fd >= 0) {
		sockets_set_endpoints(sockets, r->new_fd, endpoint_hash);
	} else if (sockets_is_stale(sockets, endpoint_hash) ||
		   was_answered_there(r, endpoint_hash) ||
		   (!r->routed && !service_may_reuse(r, endpoint_hash))) {
		r->unfit_connections++;
		r->found_unfit = 1;
		return CURL_PREREQFUNC_ABORT;
	}
	r->endpoint_hash = endpoint_hash;
	r->connection_uses = sockets_count_use(sockets, endpoint_hash);
	r->maybe_sent = 1;
	r->outcome = OUTCOME_UNKNOWN;
	r->attempts_sent += r->hop == HOP_UPSTREAM;
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
	/* Best effort: a socket that could not be added is not reused. */
	sockets_add(r->thread->sockets, fd);
	return fd;
}

/* May be called after the request that opened the connection has been freed, so
 * the context is the thread. */
static int on_close(void *ctx, curl_socket_t fd)
{
	struct proxy_thread *t = ctx;

	sockets_remove(t->sockets, fd);
	return close(fd);
}

/* Context of copy_header. */
struct header_copy {
	struct proxy_request *r;
	/* Value of the Connection header, or null. */
	const char *connection;
};

/* Whether the proxy sets this header itself, so that the caller's is dropped.
 */
static int is_set_by_proxy(const struct proxy_request *r, const char *key)
{
	if (!strcasecmp(key, "Content-Length") || !strcasecmp(key, "Expect"))
		return 1;
	if ((r->relayed || r->hop == HOP_PEER) && relay_is_header(key))
		return 1;
	if (r->routed)
		return platform_is_reserved_header(key) ||
		       workspace_is_header(r, key);
	return !strcasecmp(key, "Request-Deadline") ||
	       !strcasecmp(key, SERVICE_ATTEMPT_HEADER);
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
	/* libcurl's notation for a header with an empty value. */
	if (value && *value)
		line = g_strdup_printf("%s: %s", key, value);
	else
		line = g_strdup_printf("%s;", key);
	header_list_append(&r->request_headers, line);
	g_free(line);
	return MHD_YES;
}

static void add_proxy_headers(struct proxy_request *r, int64_t remaining_ms)
{
	char line[STEER_NAME_MAX + 64];

	if (!r->routed) {
		service_add_headers(r, remaining_ms);
		return;
	}
	platform_deadline_header_format(line, sizeof(line), remaining_ms);
	header_list_append(&r->request_headers, line);
	workspace_add_header(r);
	if (r->hop == HOP_PEER) {
		relay_add_headers(r);
		return;
	}
	platform_instance_header_format(line, sizeof(line),
					r->upstream->instance);
	header_list_append(&r->request_headers, line);
}

static void set_headers(struct proxy_request *r)
{
	struct header_copy copy = {
		.r = r,
		.connection = request_header(r, "Connection"),
	};
	int64_t remaining_ms = r->deadline_ms - prl_now_ms();

	MHD_get_connection_values(r->conn, MHD_HEADER_KIND, copy_header, &copy);
	add_proxy_headers(r, remaining_ms > 0 ? remaining_ms : 1);
	/* Keep libcurl from adding headers of its own. */
	header_list_append(&r->request_headers, "Expect:");
	if (!request_header(r, "Accept"))
		header_list_append(&r->request_headers, "Accept:");
	curl_easy_setopt(r->fetch.easy, CURLOPT_HTTPHEADER,
			 r->request_headers.first);
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
		curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE,
				 SEND_BUFFER_BYTES);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, r->method);
}

static void set_connection_options(struct proxy_request *r)
{
	CURL *easy = r->fetch.easy;

	fetch_set_peer_timeout(easy, &unacked_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, on_open);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, r);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, on_close);
	curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, r->thread);
	if (r->hop == HOP_PEER && r->peer_region != STEER_NONE)
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
				 region_relay_idle_max_s(r));
	else if (r->hop == HOP_PEER)
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
				 r->at_most_once ? ONCE_IDLE_MAX_S
						 : PEER_IDLE_MAX_S);
	else if (r->routed)
		curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
				 placing_idle_max_s(r));
	else
		service_set_connection_options(r);
}

void request_setup_transfer(struct proxy_request *r)
{
	long connect_ms =
		r->routed ? CONNECT_TIMEOUT_ROUTED_MS : CONNECT_TIMEOUT_MS;
	CURL *easy = r->fetch.easy;
	char url[PRL_ADDRESS_MAX + 16];
	int64_t now = prl_now_ms();
	long remaining_ms =
		r->deadline_ms > now ? (long)(r->deadline_ms - now) : 1;

	snprintf(url, sizeof(url), "http://%s/",
		 r->hop == HOP_PEER ? r->peer_address : r->upstream->address);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, r->target);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, remaining_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 remaining_ms < connect_ms ? remaining_ms : connect_ms);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_prerequest);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, r);
	download_set_options(r);
	set_connection_options(r);
	set_body(r);
	set_headers(r);
}
