#include "upload.h"
#include "attempt.h"
#include "head.h"
#include <errno.h>
#include <primroselead/clock.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

/* Time in ms for which the end of the body is awaited after the answer is
 * decided: the connection is kept if it comes. */
#define END_WAIT_MS 300

/* Time in ms for which the body is discarded at least, and after the deadline:
 * closing the connection with unread bytes resets it, and the caller could lose
 * the answer. */
#define DISCARD_MIN_MS 3000
#define DISCARD_AFTER_DEADLINE_MS 500

/* Bytes of a body that are discarded at most, unless the limit is higher. */
#define DISCARD_MAX_BYTES (32 << 20)

/* Bytes of a response's body that are copied at a time. */
#define BLOCK_BYTES 8192

/* libcurl stops sending the body when it gets such a status. */
#define STATUS_STOPS_BODY 300

/* Whether nobody will read more of the body. */
static int is_decided(const struct proxy_request *r)
{
	switch (r->state) {
	case REQUEST_FAILED:
		return 1;
	case REQUEST_RESPONDING:
		return !r->transfer_active || r->status >= STATUS_STOPS_BODY;
	case REQUEST_NEW:
	case REQUEST_WAITING:
	case REQUEST_CLAIMING:
	case REQUEST_ATTEMPTING:
		break;
	}
	return 0;
}

/* Whether the answer can be sent on the connection itself: its length is known.
 */
static int is_sendable(const struct proxy_request *r)
{
	return r->state == REQUEST_FAILED ||
	       (r->response_length >= 0 && !r->response_body_failed) ||
	       r->response_body_ended;
}

static void set_discard_end(struct proxy_request *r, int64_t now)
{
	int64_t until = r->deadline_ms + DISCARD_AFTER_DEADLINE_MS;

	r->discard_until_ms =
		until > now + DISCARD_MIN_MS ? until : now + DISCARD_MIN_MS;
}

static void begin_discarding(struct proxy_request *r)
{
	int64_t now;

	if (r->upload != UPLOAD_OPEN || !is_decided(r))
		return;
	now = prl_now_ms();
	unfinished_release(r);
	if (!r->transfer_active)
		body_finish(&r->request_body);
	r->upload = UPLOAD_DISCARDED;
	r->answer_at_ms = now + END_WAIT_MS;
	set_discard_end(r, now);
}

static int is_discarded_enough(const struct proxy_request *r)
{
	int64_t max = r->view ? r->view->limits.body_bytes_max : 0;

	if (max < DISCARD_MAX_BYTES)
		max = DISCARD_MAX_BYTES;
	return r->discarded_bytes > (size_t)max ||
	       prl_now_ms() > r->discard_until_ms;
}

/* Moves what has come of an upstream's body to the answer. */
static void read_response_body(struct proxy_request *r)
{
	char block[BLOCK_BYTES];
	size_t n;

	while ((n = body_read(&r->response_body, block, sizeof(block))))
		g_string_append_len(r->answer, block, (gssize)n);
	if (!r->download_paused || r->link_paused)
		return;
	request_caller_came(r);
	r->download_paused = 0;
	fetch_unpause(&r->thread->fetch_pool, &r->fetch);
}

/* Whether nothing will follow what is in "answer". */
static int is_complete(const struct proxy_request *r)
{
	return r->state == REQUEST_FAILED ||
	       (!r->transfer_active && !body_readable(&r->response_body));
}

/* Sends what is left of the answer as far as the connection takes it. Returns 1
 * if all is sent, or nothing more can be. */
static int send_more(struct proxy_request *r)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		r->conn, MHD_CONNECTION_INFO_CONNECTION_FD);
	ssize_t n;

	if (!r->answer->len && r->state == REQUEST_RESPONDING)
		read_response_body(r);
	n = send(info->connect_fd, r->answer->str, r->answer->len,
		 MSG_DONTWAIT | MSG_NOSIGNAL);
	if (n > 0)
		g_string_erase(r->answer, 0, n);
	if (n < 0 && errno != EAGAIN && errno != EINTR)
		return 1;
	if (prl_now_ms() > r->discard_until_ms)
		return 1;
	return !r->answer->len && is_complete(r);
}

void upload_answer_now(struct proxy_request *r)
{
	if (r->responded || r->detached || r->request_body_ended ||
	    !r->has_body || !r->conn)
		return;
	begin_discarding(r);
	if (r->upload != UPLOAD_DISCARDED || !is_sendable(r))
		return;
	r->answer = request_format_answer(r);
	if (!r->answer)
		return;
	r->responded = 1;
	r->upload = UPLOAD_ANSWERED;
	send_more(r);
}

void upload_tick(struct proxy_request *r, int64_t now)
{
	begin_discarding(r);
	switch (r->upload) {
	case UPLOAD_OPEN:
		return;
	case UPLOAD_DISCARDED:
		if (now >= r->answer_at_ms)
			upload_answer_now(r);
		return;
	case UPLOAD_ANSWERED:
		if (send_more(r) && r->request_body_ended)
			request_resume(r);
		return;
	}
}

static int answer_directly(struct proxy_request *r)
{
	if (!is_sendable(r))
		return -1;
	r->answer = request_format_answer(r);
	if (!r->answer)
		return -1;
	r->responded = 1;
	r->upload = UPLOAD_ANSWERED;
	set_discard_end(r, prl_now_ms());
	return 0;
}

static void unpause_upload(struct proxy_request *r)
{
	if (!r->upload_paused || r->link_paused)
		return;
	request_caller_came(r);
	r->upload_paused = 0;
	fetch_unpause(&r->thread->fetch_pool, &r->fetch);
}

static enum MHD_Result discard(struct proxy_request *r, const char *data,
			       size_t *len)
{
	identity_add_body(r, data, *len);
	suspects_body_came(r);
	r->discarded_bytes += *len;
	*len = 0;
	if (r->upload == UPLOAD_ANSWERED)
		send_more(r);
	if (!is_discarded_enough(r))
		return MHD_YES;
	upload_answer_now(r);
	return MHD_NO;
}

enum MHD_Result upload_receive(struct proxy_request *r, const char *data,
			       size_t *len)
{
	size_t n;

	if (r->abort_connection)
		return MHD_NO;
	begin_discarding(r);
	if (r->upload != UPLOAD_OPEN)
		return discard(r, data, len);
	n = body_write(&r->request_body, data, *len);
	identity_add_body(r, data, n);
	unfinished_received(r, n, n < *len);
	suspects_body_came(r);
	/* The bytes may have told that the request is refused. */
	begin_discarding(r);
	*len -= n;
	if (r->upload != UPLOAD_OPEN)
		return discard(r, data + n, len);
	if (n)
		unpause_upload(r);
	if (*len)
		request_suspend(r);
	return MHD_YES;
}

/* Goes on with an answer on the connection itself, and closes it at the end. */
static enum MHD_Result go_on_sending(struct proxy_request *r)
{
	if (send_more(r))
		return MHD_NO;
	request_suspend(r);
	return MHD_YES;
}

enum MHD_Result upload_end(struct proxy_request *r)
{
	if (!r->request_body_ended) {
		r->request_body_ended = 1;
		unfinished_ended(r);
		suspects_body_came(r);
		unpause_upload(r);
	}
	if (r->abort_connection)
		return MHD_NO;
	if (r->upload == UPLOAD_ANSWERED)
		return go_on_sending(r);
	if (r->responded)
		return MHD_YES;
	if (r->state == REQUEST_FAILED)
		return request_send_error(r);
	if (r->state != REQUEST_RESPONDING) {
		request_suspend(r);
		return MHD_YES;
	}
	if (!head_fits_response(r) && !answer_directly(r))
		return go_on_sending(r);
	return request_send_response(r);
}
