#include "long.h"
#include "odd.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Length of the body of a long response. */
#define LONG_BYTES (4 << 20)

/* Chunks of 12 bytes of a body whose length is not told: more than a VM holds
 * before it passes on the first. */
#define OPEN_CHUNKS 12000

/* Most bytes of a header field that a request may ask for. */
#define FIELD_MAX_BYTES (1 << 20)

static const char head_mode[] = "head-";
static const char open_head_mode[] = "open-head-";

static int begins_with(const char *text, const char *prefix)
{
	return !strncmp(text, prefix, strlen(prefix));
}

static void send_text(const struct connection *conn, const char *text)
{
	request_send(conn->fd, text, strlen(text));
}

static int send_long_body(const struct connection *conn)
{
	int stalls = !strcmp(conn->mode, "stalled");
	char length[64];
	char block[8192];

	snprintf(length, sizeof(length), STAMP_HEADER "Content-Length: %d\r\n",
		 LONG_BYTES);
	odd_respond(conn, "200 OK", conn->request_id, length, "");
	memset(block, 'x', sizeof(block) - 1);
	block[sizeof(block) - 1] = 0;
	for (int sent = 0; sent < LONG_BYTES; sent += (int)sizeof(block) - 1) {
		if (LONG_BYTES - sent < (int)sizeof(block) - 1)
			block[LONG_BYTES - sent] = 0;
		if (stalls && sent >= LONG_BYTES / 2) {
			sleep(30);
			return 0;
		}
		send_text(conn, block);
	}
	return 1;
}

static int send_long_head(const struct connection *conn, int n, int is_open)
{
	char *field;

	if (n < 0 || n > FIELD_MAX_BYTES)
		return 0;
	field = malloc((size_t)n + 1);
	if (!field)
		return 0;
	memset(field, 'x', (size_t)n);
	field[n] = 0;
	send_text(conn, "HTTP/1.1 200 OK\r\nMore: ");
	send_text(conn, field);
	send_text(conn, "\r\nX-Request-Id: ");
	send_text(conn, conn->request_id);
	free(field);
	if (!is_open) {
		send_text(conn, "\r\n" COMPLETE_HEADERS "\r\nhello world\n");
		return 1;
	}
	send_text(conn,
		  "\r\n" STAMP_HEADER "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 0; i < OPEN_CHUNKS; i++)
		send_text(conn, "c\r\nhello world\n\r\n");
	sleep(1);
	send_text(conn, "0\r\n\r\n");
	return 1;
}

int long_is_mode(const char *mode)
{
	return !strcmp(mode, "long") || !strcmp(mode, "stalled") ||
	       begins_with(mode, head_mode) ||
	       begins_with(mode, open_head_mode);
}

int long_respond(const struct connection *conn)
{
	const char *mode = conn->mode;

	if (begins_with(mode, head_mode))
		return send_long_head(conn, atoi(mode + strlen(head_mode)), 0);
	if (begins_with(mode, open_head_mode))
		return send_long_head(conn, atoi(mode + strlen(open_head_mode)),
				      1);
	return send_long_body(conn);
}
