#include "caller.h"
#include "harness.h"
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define HEAD_MAX_BYTES 4096

/* Longest wait for more of a response, in s. */
#define RECEIVE_TIMEOUT_S 25

void caller_init(struct caller *c, int port, const char *name)
{
	memset(c, 0, sizeof(*c));
	c->port = port;
	c->fd = -1;
	c->name = name;
}

void caller_close(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

static int connect_caller(struct caller *c)
{
	struct timeval wait = {.tv_sec = RECEIVE_TIMEOUT_S};

	if (c->fd < 0)
		c->fd = harness_connect(c->port);
	if (c->fd < 0)
		return -1;
	setsockopt(c->fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	return 0;
}

/* Whether the other side has closed the connection. */
static int is_closed(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static int send_all(int fd, const char *data, size_t len)
{
	return send(fd, data, len, MSG_NOSIGNAL) == (ssize_t)len ? 0 : -1;
}

static int send_bytes(int fd, int left)
{
	char block[1024];

	memset(block, 'b', sizeof(block));
	for (; left > 0; left -= (int)sizeof(block)) {
		size_t n = left < (int)sizeof(block) ? (size_t)left
						     : sizeof(block);

		if (send_all(fd, block, n))
			return -1;
	}
	return 0;
}

/* Half of the pause comes before each half of the body, so that the connection
 * is not idle for long. */
static int send_body(int fd, const struct call_request *req)
{
	int half = req->body_bytes / 2;

	if (req->body_after_ms)
		harness_sleep_ms(req->body_after_ms / 2);
	if (send_bytes(fd, half))
		return -1;
	if (req->body_after_ms)
		harness_sleep_ms(req->body_after_ms / 2);
	return send_bytes(fd, req->body_bytes - half);
}

static int send_call(const struct caller *c, const struct call *call,
		     const struct call_request *req)
{
	char head[512];
	int n = snprintf(head, sizeof(head),
			 "%s %s HTTP/1.1\r\nHost: h.example\r\n"
			 "X-Request-Id: %s\r\nX-Affinity-Key: 7\r\n"
			 "Content-Length: %d\r\n%s\r\n",
			 req->method, req->path, call->id, req->body_bytes,
			 req->headers ? req->headers : "");

	return send_all(c->fd, head, (size_t)n) || send_body(c->fd, req);
}

static const char *find_header(const char *head, const char *name)
{
	const char *at = strcasestr(head, name);

	return at ? at + strlen(name) : NULL;
}

static void parse_head(struct call *call, const char *head)
{
	const char *outcome = find_header(head, "\r\nRequest-Outcome: ");
	const char *retry_after = find_header(head, "\r\nRetry-After: ");

	sscanf(head, "HTTP/1.1 %d", &call->status);
	if (outcome)
		sscanf(outcome, "%15[a-z-]", call->outcome);
	if (retry_after)
		call->retry_after_s = atof(retry_after);
	call->closes = strcasestr(head, "\r\nConnection: close") != NULL;
	call->has_server_stamp =
		strcasestr(head, "\r\nX-Server-Stamp:") != NULL;
}

/* Reads a head, which ends "text". Returns 0, or -1 if the connection ends. */
static int read_head(int fd, char *text)
{
	size_t len = 0;

	text[0] = 0;
	while (!strstr(text, "\r\n\r\n")) {
		if (len == HEAD_MAX_BYTES - 1 ||
		    recv(fd, text + len, 1, 0) != 1)
			return -1;
		text[++len] = 0;
	}
	return 0;
}

static int read_body(int fd, long left)
{
	char block[1024];

	while (left > 0) {
		ssize_t n = recv(fd, block,
				 left < (long)sizeof(block) ? (size_t)left
							    : sizeof(block),
				 0);

		if (n <= 0)
			return -1;
		left -= n;
	}
	return 0;
}

static int receive_call(int fd, struct call *call)
{
	char head[HEAD_MAX_BYTES];
	const char *length;

	if (read_head(fd, head))
		return -1;
	parse_head(call, head);
	length = find_header(head, "\r\nContent-Length: ");
	return read_body(fd, length ? atol(length) : 0);
}

struct call caller_send(struct caller *c, const struct call_request *req)
{
	struct call call = {
		.path = req->path, .end = CALL_UNSENT, .retry_after_s = -1};

	snprintf(call.id, sizeof(call.id), "%s-%d", c->name, ++c->ncall);
	call.sent_ms = prl_now_ms();
	if (connect_caller(c) || is_closed(c->fd) || send_call(c, &call, req)) {
		call.ended_ms = prl_now_ms();
		caller_close(c);
		return call;
	}
	call.sent_ms = prl_now_ms();
	call.end = receive_call(c->fd, &call) ? CALL_BROKEN : CALL_ANSWERED;
	call.ended_ms = prl_now_ms();
	if (call.end != CALL_ANSWERED || call.closes)
		caller_close(c);
	return call;
}
