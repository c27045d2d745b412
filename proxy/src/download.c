/* The response of one attempt, as libcurl delivers it. */
#include "download.h"
#include "attempt.h"
#include "news.h"
#include "placing.h"
#include "relay.h"
#include "service.h"
#include <primroselead/platform.h>

/* Maximum size of the heads of a response, informational ones included, in
 * bytes. */
#define HEADS_MAX_BYTES (64 << 10)

/* Bytes of a body that is not passed on which are read so that the connection
 * can be used again. */
#define DISCARD_MAX_BYTES (64 << 10)

/* Maximum size of a routed response's body whose length is not given, in bytes.
 */
#define UNSIZED_BODY_MAX_BYTES (64 << 20)

/* Pieces of a body taken in a row; then other transfers get their turn. */
#define PIECES_MAX 64

/* Bytes of a chunked body's framing: so many, and so many times the body. */
#define FRAMING_MAX_BYTES (64 << 10)
#define FRAMING_MAX_TIMES 8

/* Whether so much of the body has been received that the upstream may never end
 * it. */
static int is_endless(const struct proxy_request *r)
{
	return r->routed && r->response_length < 0 &&
	       r->received_bytes > UNSIZED_BODY_MAX_BYTES;
}

/* Reads a body that is not passed on, up to a limit; then the transfer ends,
 * with the meaning that the head has given it. */
static size_t discard(struct proxy_request *r, size_t len)
{
	if (r->received_bytes <= DISCARD_MAX_BYTES)
		return len;
	r->discard_ended = 1;
	return 0;
}

/* Whether the body may become the caller's. */
static int is_passed_on(const struct proxy_request *r)
{
	switch (r->verdict) {
	case VERDICT_PASS:
	case VERDICT_FAILED:
		return 1;
	case VERDICT_NONE:
	case VERDICT_AMBIGUOUS:
	case VERDICT_REFUSED:
	case VERDICT_INVALID:
		break;
	}
	return 0;
}

static size_t on_download(char *data, size_t size, size_t n, void *ctx)
{
	struct proxy_request *r = ctx;
	size_t len = size * n;

	if (r->routed && !is_passed_on(r)) {
		r->received_bytes += len;
		return discard(r, len);
	}
	if (is_endless(r))
		return 0;
	if (r->detached) {
		r->received_bytes += len;
		return len;
	}
	if (!link_ready(r->thread->proxy, r->link) ||
	    ++r->pieces > PIECES_MAX) {
		r->pieces = 0;
		link_pause_transfer(r);
		r->download_paused = 1;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (body_writable(&r->response_body) < len) {
		/* A response larger than the buffer is passed on while it is
		 * received. */
		if (r->routed)
			request_accept_response(r);
		request_resume(r);
		request_await_caller(r);
		r->download_paused = 1;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (body_write(&r->response_body, data, len) != len)
		return 0;
	r->received_bytes += len;
	link_charge(r, len);
	if (r->state == REQUEST_RESPONDING)
		request_resume(r);
	return len;
}

static void parse_response_header(struct proxy_request *r, const char *line)
{
	if (r->hop == HOP_PEER)
		relay_parse_header(r, line);
	if (r->routed)
		platform_response_meta_parse_header(line, &r->response_meta);
	else
		service_parse_header(r, line);
	header_list_append(&r->response_headers, line);
}

/* Counts what comes of a body before libcurl takes its framing off. */
static int on_debug(CURL *easy, curl_infotype type, char *data, size_t n,
		    void *ctx)
{
	struct proxy_request *r = ctx;

	(void)easy;
	(void)data;
	if (type == CURLINFO_DATA_IN)
		r->framed_bytes += n;
	return 0;
}

/* Ends a transfer of which more than the framing of a body comes. */
static int on_progress(void *ctx, curl_off_t total, curl_off_t body,
		       curl_off_t upload_total, curl_off_t upload)
{
	const struct proxy_request *r = ctx;

	(void)total;
	(void)upload_total;
	(void)upload;
	return r->framed_bytes >
	       FRAMING_MAX_BYTES + (uint64_t)body * FRAMING_MAX_TIMES;
}

/* The sizes, extensions and ends of chunks reach no callback of libcurl but the
 * one for its log. */
static void watch_framing(struct proxy_request *r)
{
	CURL *easy = r->fetch.easy;

	r->framed_bytes = 0;
	if (r->head.framing != RESPONSE_CHUNKED)
		return;
	curl_easy_setopt(easy, CURLOPT_DEBUGFUNCTION, on_debug);
	curl_easy_setopt(easy, CURLOPT_DEBUGDATA, r);
	curl_easy_setopt(easy, CURLOPT_VERBOSE, 1L);
	curl_easy_setopt(easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(easy, CURLOPT_XFERINFODATA, r);
	curl_easy_setopt(easy, CURLOPT_NOPROGRESS, 0L);
}

/* Classifies the response by its complete head. Returns 0, or -1 if it is not
 * this request's. */
static int judge_head(struct proxy_request *r)
{
	r->verdict =
		r->hop == HOP_PEER
			? relay_verdict(r)
			: verdict_for_response(&r->response_meta, r->status,
					       r->request_meta.id);
	if (r->verdict == VERDICT_INVALID)
		return -1;
	/* Status 421 is the response of another instance. */
	if (r->hop == HOP_UPSTREAM &&
	    r->status != MHD_HTTP_MISDIRECTED_REQUEST) {
		placing_record_load(r);
		news_read_response(r);
	}
	return 0;
}

/* Called at the end of the final head. Returns 0, or -1 to abort the transfer
 * because the response is not passed on. */
static int finish_head(struct proxy_request *r)
{
	int status = r->head.status;
	int failed = status == MHD_HTTP_BAD_GATEWAY ||
		     status == MHD_HTTP_SERVICE_UNAVAILABLE ||
		     status == MHD_HTTP_GATEWAY_TIMEOUT;

	r->status = status;
	r->response_length = r->head.length;
	watch_framing(r);
	if (r->routed)
		return judge_head(r);
	if (service_check_response(r))
		return -1;
	if (failed && request_may_retry(r, r->upstream_refused)) {
		r->retry_pending = 1;
		return -1;
	}
	request_accept_response(r);
	request_resume(r);
	return 0;
}

/* Discards what an earlier head of the same attempt has left. */
static void begin_head(struct proxy_request *r)
{
	header_list_finish(&r->response_headers);
	r->outcome_statements = 0;
	r->upstream_refused = 0;
	r->naming = NAMING_NONE;
	r->peer_outcome = PEER_UNKNOWN;
	r->peer_out_of_reach = 0;
	r->peer_attempts = -1;
	r->peer_refusal = PEER_REFUSAL_FINAL;
	platform_response_meta_init(&r->response_meta);
}

/* Returns 0, or -1 to abort the transfer. */
static int read_head_line(struct proxy_request *r, const char *data, size_t len)
{
	char *line;

	switch (response_head_read(&r->head, data, len)) {
	case RESPONSE_STATUS_LINE:
		begin_head(r);
		return 0;
	case RESPONSE_FIELD:
		line = g_strchomp(g_strndup(data, len));
		parse_response_header(r, line);
		g_free(line);
		return 0;
	case RESPONSE_HEAD_END:
		return finish_head(r);
	case RESPONSE_INTERIM_END:
	case RESPONSE_TRAILER:
		return 0;
	case RESPONSE_BAD_LINE:
		break;
	}
	return -1;
}

static size_t on_header(char *data, size_t size, size_t n, void *ctx)
{
	struct proxy_request *r = ctx;
	size_t len = size * n;

	r->head_bytes += len;
	if (r->head_bytes > HEADS_MAX_BYTES)
		return 0;
	return read_head_line(r, data, len) ? 0 : len;
}

void download_set_options(struct proxy_request *r)
{
	CURL *easy = r->fetch.easy;

	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_download);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, r);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, r);
}
