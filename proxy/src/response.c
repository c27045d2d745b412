#include "attempt.h"
#include "head.h"
#include "region_relay.h"
#include "relay.h"
#include "request.h"
#include "service.h"
#include <primroselead/clock.h>
#include <primroselead/platform.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

/* Retry-After of requests that are not routed, in seconds. */
#define RETRY_AFTER_S "1"

/* Block size in which the listener reads the response body, in bytes. */
#define RESPONSE_BLOCK_BYTES 8192

/* Size of the body of an error response with its end. */
#define ERROR_TEXT_MAX 256

static const char *outcome_name(enum request_outcome outcome)
{
	switch (outcome) {
	case OUTCOME_NOT_RUN:
		return "not-run";
	case OUTCOME_UNKNOWN:
		return "unknown";
	case OUTCOME_RAN:
		return "ran";
	}
	return "unknown";
}

void request_fail(struct proxy_request *r, unsigned int status,
		  const char *cause)
{
	r->state = REQUEST_FAILED;
	r->status = (int)status;
	r->cause = cause;
	request_resume(r);
}

/* Whether so many connections are open that this one is not kept. */
static int is_crowded(const struct proxy_request *r)
{
	return atomic_load(&r->thread->connections) > r->thread->kept_max ||
	       serve_is_costly(r->conn);
}

static void add_common_headers(struct proxy_request *r)
{
	MHD_add_response_header(r->mhd_response, "Request-Outcome",
				outcome_name(r->outcome));
	if (r->passed_on)
		region_relay_add_time(r);
	/* Callers of a VM that is leaving must move to another one; and after
	 * a request with invalid framing, the start of the next one on the
	 * connection is unknown. */
	if (atomic_load(&r->thread->proxy->leaving) || r->bad_framing ||
	    is_crowded(r))
		MHD_add_response_header(r->mhd_response, "Connection", "close");
}

/* The connection is closed without a response, which the log line of the
 * request does not tell. */
static enum MHD_Result lose_response(struct proxy_request *r, const char *cause)
{
	r->responded = 0;
	r->cause = cause;
	metrics_add(&r->thread->metrics, METRIC_CONNECTIONS_FAILED, 1);
	return MHD_NO;
}

static enum MHD_Result queue_response(struct proxy_request *r)
{
	if (!r->mhd_response)
		return lose_response(r, "out of memory for the response");
	r->responded = 1;
	add_common_headers(r);
	if (MHD_queue_response(r->conn, (unsigned int)r->status,
			       r->mhd_response) == MHD_NO)
		return lose_response(r, "the listener takes no response");
	return MHD_YES;
}

static void add_retry_after(struct proxy_request *r)
{
	char seconds[32];

	if (r->routed)
		snprintf(seconds, sizeof(seconds), "%lld.%03d",
			 (long long)(r->retry_after_ms / 1000),
			 (int)(r->retry_after_ms % 1000));
	else
		strcpy(seconds, RETRY_AFTER_S);
	MHD_add_response_header(r->mhd_response, "Retry-After", seconds);
}

/* Formats the body of the error response. Returns its length. */
static size_t format_error(const struct proxy_request *r, char *text,
			   size_t size)
{
	return (size_t)snprintf(text, size,
				"{\"outcome\":\"%s\",\"cause\":\"%s\"}\n",
				outcome_name(r->outcome), r->cause);
}

/* Returns 0, or -1 if out of memory. */
static int build_error(struct proxy_request *r)
{
	char text[ERROR_TEXT_MAX];
	char first_status[16];
	size_t n = format_error(r, text, sizeof(text));

	if (!r->service)
		metrics_add(&r->thread->metrics, METRIC_REQUESTS_BAD, 1);
	r->mhd_response =
		MHD_create_response_from_buffer(n, text, MHD_RESPMEM_MUST_COPY);
	if (!r->mhd_response)
		return -1;
	MHD_add_response_header(r->mhd_response, "Content-Type",
				"application/json");
	if (r->routed && r->request_meta.id[0])
		MHD_add_response_header(r->mhd_response,
					platform_request_id_header(),
					r->request_meta.id);
	if (r->status == MHD_HTTP_SERVICE_UNAVAILABLE ||
	    r->status == MHD_HTTP_TOO_MANY_REQUESTS)
		add_retry_after(r);
	if (r->relayed && (r->isolated || r->unreached))
		relay_add_out_of_reach(r);
	if (r->passed_on)
		region_relay_add_refusal(r);
	if (r->status == MHD_HTTP_CONFLICT && r->outcome == OUTCOME_RAN) {
		snprintf(first_status, sizeof(first_status), "%d",
			 r->claim.http_status);
		MHD_add_response_header(r->mhd_response, "First-Status",
					first_status);
	}
	return 0;
}

enum MHD_Result request_send_error(struct proxy_request *r)
{
	if (build_error(r))
		return lose_response(r, "out of memory for the response");
	return queue_response(r);
}

/* Resets the caller's connection. Where its end ends the body, an orderly end,
 * which the listener makes, would let a part look whole. */
static void reset_connection(struct proxy_request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct sockaddr none = {.sa_family = AF_UNSPEC};

	(void)connect(info->connect_fd, &none, sizeof(none));
}

/* Content reader callback of libmicrohttpd: returns received body bytes, or
 * suspends the connection until there are more. */
static ssize_t read_response_body(void *ctx, uint64_t pos, char *buf,
				  size_t max)
{
	struct proxy_request *r = ctx;
	size_t n = body_read(&r->response_body, buf, max);

	(void)pos;
	if (r->download_paused && !r->link_paused &&
	    body_writable(&r->response_body) >= RESPONSE_BLOCK_BYTES) {
		request_caller_came(r);
		r->download_paused = 0;
		fetch_unpause(&r->thread->fetch_pool, &r->fetch);
	}
	if (n)
		return (ssize_t)n;
	if (r->response_body_ended && !r->response_body_failed)
		return MHD_CONTENT_READER_END_OF_STREAM;
	if (r->response_body_failed || r->abort_connection ||
	    r->thread->is_stopping) {
		if (r->is_http_1_0)
			reset_connection(r);
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
	request_suspend(r);
	return 0;
}

static const char *find_connection(const struct curl_slist *headers)
{
	static const char name[] = "Connection:";

	for (; headers; headers = headers->next)
		if (!strncasecmp(headers->data, name, sizeof(name) - 1))
			return headers->data + sizeof(name) - 1;
	return NULL;
}

/* Fields of which this VM gives its own, or that end at this VM. */
static int ends_here(const struct proxy_request *r, const char *name)
{
	if (!strcasecmp(name, "Content-Length") ||
	    !strcasecmp(name, "Request-Outcome"))
		return 1;
	if (r->routed && region_relay_is_header(name))
		return 1;
	return !r->routed && !strcasecmp(name, SERVICE_ATTEMPT_HEADER);
}

static void copy_headers(struct proxy_request *r)
{
	const char *connection = find_connection(r->response_headers.first);
	const struct curl_slist *h = r->response_headers.first;

	for (; h; h = h->next) {
		char *colon = strchr(h->data, ':');
		const char *value;

		if (!colon)
			continue;
		*colon = 0;
		value = colon + 1 + strspn(colon + 1, " \t");
		if (!header_is_hop_by_hop(h->data, connection) &&
		    !ends_here(r, h->data))
			MHD_add_response_header(r->mhd_response, h->data,
						value);
		*colon = ':';
	}
}

/* Fails a request that ran, since the head of its answer is too long. */
static enum MHD_Result refuse_response(struct proxy_request *r)
{
	if (r->transfer_active && r->claimed && r->outcome == OUTCOME_RAN) {
		r->claim.http_status = r->status;
		request_update_claim(r, CLAIM_RAN);
	}
	metrics_add(&r->thread->metrics, METRIC_RESPONSES_HEAD_REFUSED, 1);
	request_release(r);
	request_fail(r, MHD_HTTP_BAD_GATEWAY,
		     "the head of the upstream's answer is too long");
	return request_send_error(r);
}

static int build_response(struct proxy_request *r)
{
	uint64_t length = r->response_length < 0 ? MHD_SIZE_UNKNOWN
						 : (uint64_t)r->response_length;

	/* A complete body is sent from the buffer. A response to HEAD takes
	 * the other branch: it states the length of a body that is not sent. */
	if (strcmp(r->method, "HEAD") && r->response_body_ended &&
	    !r->response_body_failed &&
	    (uint64_t)body_readable(&r->response_body) == r->response_body.len)
		r->mhd_response = MHD_create_response_from_buffer(
			r->response_body.len, r->response_body.data,
			MHD_RESPMEM_PERSISTENT);
	else
		r->mhd_response = MHD_create_response_from_callback(
			length, RESPONSE_BLOCK_BYTES, read_response_body, r,
			NULL);
	if (!r->mhd_response)
		return -1;
	copy_headers(r);
	return 0;
}

enum MHD_Result request_send_response(struct proxy_request *r)
{
	if (!head_fits_response(r))
		return refuse_response(r);
	if (build_response(r))
		return lose_response(r, "out of memory for the response");
	return queue_response(r);
}

static enum MHD_Result format_header(void *ctx, enum MHD_ValueKind kind,
				     const char *name, const char *value)
{
	GString *text = ctx;

	(void)kind;
	if (strcasecmp(name, "Connection") != 0)
		g_string_append_printf(text, "%s: %s\r\n", name, value);
	return MHD_YES;
}

GString *request_format_answer(struct proxy_request *r)
{
	char error[ERROR_TEXT_MAX] = "";
	uint64_t len;
	GString *text;

	if (r->state == REQUEST_FAILED ? build_error(r) : build_response(r))
		return NULL;
	if (r->state == REQUEST_FAILED)
		len = format_error(r, error, sizeof(error));
	else
		len = r->response_body_ended ? r->response_body.len
					     : (uint64_t)r->response_length;
	add_common_headers(r);
	text = g_string_new(NULL);
	g_string_append_printf(
		text, "HTTP/1.1 %d %s\r\n", r->status,
		MHD_get_reason_phrase_for((unsigned int)r->status));
	MHD_get_response_headers(r->mhd_response, format_header, text);
	g_string_append_printf(text,
			       "Content-Length: %llu\r\n"
			       "Connection: close\r\n\r\n",
			       (unsigned long long)len);
	return g_string_append(text, error);
}
