#include "request.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

void request_send(int fd, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		bytes += n;
		len -= (size_t)n;
	}
}

long long request_repeat(const struct connection *conn, const char *text)
{
	char block[8192];
	size_t len = 0;
	long long total = 0;
	ssize_t n;

	while (len + strlen(text) < sizeof(block))
		len += (size_t)snprintf(block + len, sizeof(block) - len, "%s",
					text);
	while ((n = send(conn->fd, block, len, MSG_NOSIGNAL)) > 0)
		total += n;
	return total;
}

/* Receives more bytes into buf. Returns 0, or -1 if the connection ended. */
static int read_more(struct connection *conn)
{
	ssize_t n = recv(conn->fd, conn->buf + conn->buffered,
			 REQUEST_HEAD_MAX - 1 - conn->buffered, 0);

	if (n <= 0)
		return -1;
	conn->buffered += (size_t)n;
	conn->buf[conn->buffered] = 0;
	return 0;
}

static void copy_header_value(const char *head, const char *name, char *out,
			      size_t size)
{
	const char *at = strcasestr(head, name);

	out[0] = 0;
	if (!at)
		return;
	at += strlen(name);
	at += strspn(at, " ");
	snprintf(out, size, "%.*s", (int)strcspn(at, "\r"), at);
}

static void parse_head(struct connection *conn)
{
	char number[32];
	size_t target = strcspn(conn->buf, " ") + 1;
	size_t end = target + strcspn(conn->buf + target, " ?");
	size_t begin = end;

	snprintf(conn->method, sizeof(conn->method), "%.*s", (int)target - 1,
		 conn->buf);
	while (begin > target && conn->buf[begin - 1] != '/')
		begin--;
	snprintf(conn->mode, sizeof(conn->mode), "%.*s", (int)(end - begin),
		 conn->buf + begin);
	copy_header_value(conn->buf, "\r\nX-Request-Id:", conn->request_id,
			  sizeof(conn->request_id));
	copy_header_value(conn->buf,
			  "\r\nX-Expected-Instance:", conn->expected_instance,
			  sizeof(conn->expected_instance));
	copy_header_value(conn->buf,
			  "\r\nCrash-After-Ms:", conn->crash_after_ms,
			  sizeof(conn->crash_after_ms));
	copy_header_value(conn->buf, "\r\nContent-Length:", number,
			  sizeof(number));
	conn->content_length = atoll(number);
	conn->chunked =
		strcasestr(conn->buf, "\r\nTransfer-Encoding: chunked") != 0;
}

int request_read_head(struct connection *conn)
{
	char *end;
	char kept;

	while (!(end = strstr(conn->buf, "\r\n\r\n")))
		if (conn->buffered == REQUEST_HEAD_MAX - 1 || read_more(conn))
			return -1;
	conn->head_len = (size_t)(end - conn->buf) + 4;
	kept = conn->buf[conn->head_len];
	conn->buf[conn->head_len] = 0;
	parse_head(conn);
	conn->buf[conn->head_len] = kept;
	return 0;
}

static void consume(struct connection *conn, size_t n)
{
	memmove(conn->buf, conn->buf + n, conn->buffered - n);
	conn->buffered -= n;
	conn->buf[conn->buffered] = 0;
}

int request_discard_body(struct connection *conn)
{
	long long left = conn->content_length;

	consume(conn, conn->head_len);
	while (conn->chunked && !strstr(conn->buf, "0\r\n\r\n")) {
		/* Keep 4 bytes: the terminator may span two reads. */
		if (conn->buffered > 4)
			consume(conn, conn->buffered - 4);
		if (read_more(conn))
			return -1;
	}
	if (conn->chunked) {
		consume(conn, conn->buffered);
		return 0;
	}
	while (left > (long long)conn->buffered) {
		left -= (long long)conn->buffered;
		*conn->body_bytes += (long long)conn->buffered;
		consume(conn, conn->buffered);
		if (read_more(conn))
			return -1;
	}
	*conn->body_bytes += left;
	consume(conn, (size_t)left);
	return 0;
}
