#include "caller.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define HEAD_MAX 8192

/* Longest body that is sent with the head. */
#define BODY_AT_ONCE_BYTES 4096

/* Longest wait for bytes of a response, in s. */
#define WAIT_MAX_S 5

/* Reader of one response. */
struct reader {
	int fd;
	/** The connection has ended, and by a reset. */
	int ended;
	int was_reset;
	char buf[HEAD_MAX];
	size_t len;
	size_t at;
};

static int open_connection(int port)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons((unsigned short)port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval wait = {.tv_sec = WAIT_MAX_S};
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)))
		abort();
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

/* Returns the next byte, or -1 if the connection has ended. */
static int next_byte(struct reader *in)
{
	ssize_t n;

	if (in->at < in->len)
		return (unsigned char)in->buf[in->at++];
	if (in->ended)
		return -1;
	n = recv(in->fd, in->buf, sizeof(in->buf), 0);
	if (n <= 0) {
		in->ended = 1;
		in->was_reset = n < 0;
		return -1;
	}
	in->len = (size_t)n;
	in->at = 1;
	return (unsigned char)in->buf[0];
}

/* Reads a line without its end. Returns 0, or -1 if it is not complete. */
static int read_line(struct reader *in, char *line, size_t size)
{
	size_t n = 0;
	int c;

	while ((c = next_byte(in)) >= 0 && c != '\n')
		if (n + 1 < size)
			line[n++] = (char)c;
	if (c < 0)
		return -1;
	if (n && line[n - 1] == '\r')
		n--;
	line[n] = 0;
	return 0;
}

/* How the body of a response is framed. */
struct framing {
	/** -1 if not given. */
	long length;
	int is_chunked;
	int closes;
};

static const char *value_of(const char *line, const char *name)
{
	size_t n = strlen(name);

	if (strncasecmp(line, name, n) || line[n] != ':')
		return NULL;
	return line + n + 1 + strspn(line + n + 1, " ");
}

static void read_field(const char *line, struct framing *f,
		       struct caller_response *out)
{
	const char *value;

	if ((value = value_of(line, "Content-Length")))
		f->length = atol(value);
	if ((value = value_of(line, "Transfer-Encoding")))
		f->is_chunked = !strcasecmp(value, "chunked");
	if ((value = value_of(line, "Connection")))
		f->closes = !strcasecmp(value, "close");
	if ((value = value_of(line, "X-Server-Stamp")))
		out->has_stamp = *value != 0;
	if ((value = value_of(line, "X-Request-Id")))
		snprintf(out->id, sizeof(out->id), "%.63s", value);
	if (value_of(line, "Attempt-Id"))
		out->has_attempt_id = 1;
	if ((value = value_of(line, "Request-Outcome")))
		snprintf(out->outcome, sizeof(out->outcome), "%.15s", value);
}

/* Reads the final head. Returns 0, or -1 if it is not complete. */
static int read_head(struct reader *in, struct framing *f,
		     struct caller_response *out)
{
	char line[1024] = "";
	int status;

	do {
		*f = (struct framing){.length = -1};
		if (read_line(in, line, sizeof(line)) ||
		    sscanf(line, "HTTP/1.%*d %d", &status) != 1)
			return -1;
		for (;;) {
			if (read_line(in, line, sizeof(line)))
				return -1;
			if (!line[0])
				break;
			read_field(line, f, out);
		}
	} while (status < 200);
	out->status = status;
	return 0;
}

static void add_to_body(struct caller_response *out, int c)
{
	if (out->body_len < CALLER_BODY_MAX)
		out->body[out->body_len] = (char)c;
	out->body_len++;
}

/* Returns 0, or -1 if the connection ends before so many bytes. */
static int read_bytes(struct reader *in, long n, struct caller_response *out)
{
	for (; n > 0; n--) {
		int c = next_byte(in);

		if (c < 0)
			return -1;
		add_to_body(out, c);
	}
	return 0;
}

static int read_chunks(struct reader *in, struct caller_response *out)
{
	char line[64];

	for (;;) {
		long n;

		if (read_line(in, line, sizeof(line)))
			return -1;
		n = strtol(line, NULL, 16);
		if (!n)
			break;
		if (read_bytes(in, n, out) || read_line(in, line, sizeof(line)))
			return -1;
	}
	do {
		if (read_line(in, line, sizeof(line)))
			return -1;
	} while (line[0]);
	return 0;
}

static int read_until_close(struct reader *in, struct caller_response *out)
{
	int c;

	while ((c = next_byte(in)) >= 0)
		add_to_body(out, c);
	return in->was_reset ? -1 : 0;
}

static int read_response_body(struct reader *in, const struct framing *f,
			      const char *method, struct caller_response *out)
{
	if (!strcmp(method, "HEAD") || out->status == 204 || out->status == 304)
		return 0;
	if (f->is_chunked)
		return read_chunks(in, out);
	if (f->length >= 0)
		return read_bytes(in, f->length, out);
	return read_until_close(in, out);
}

static void send_request(const struct caller *c, const char *method,
			 const char *path, const char *id, size_t body_len)
{
	char text[8192];
	int n = snprintf(text, sizeof(text),
			 "%s %s HTTP/1.%d\r\nHost: h\r\nX-Request-Id: %s\r\n"
			 "Idempotency-Key: %s\r\n"
			 "X-Deadline-Remaining-Ms: 8000\r\n%s",
			 method, path, !c->is_http_1_0, id, id,
			 c->fields ? c->fields : "");

	if (!strcmp(method, "POST") && c->sends_chunks &&
	    body_len > BODY_AT_ONCE_BYTES)
		n += snprintf(text + n, sizeof(text) - (size_t)n,
			      "Transfer-Encoding: chunked\r\n");
	else if (!strcmp(method, "POST"))
		n += snprintf(text + n, sizeof(text) - (size_t)n,
			      "Content-Length: %zu\r\n", body_len);
	n += snprintf(text + n, sizeof(text) - (size_t)n, "\r\n");
	if (!strcmp(method, "POST") && body_len <= BODY_AT_ONCE_BYTES) {
		memset(text + n, 'b', body_len);
		n += (int)body_len;
	}
	if (send(c->fd, text, (size_t)n, MSG_NOSIGNAL) != n)
		abort();
}

/* A long body, which is sent while the response is read. */
struct long_body {
	pthread_t thread;
	int fd;
	size_t len;
	int is_chunked;
};

/* Returns 0, or -1 if the connection has ended. */
static int send_whole(int fd, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return -1;
		bytes += n;
		len -= (size_t)n;
	}
	return 0;
}

static int send_block(const struct long_body *b, const char *block, size_t len)
{
	char size[32];
	int n = snprintf(size, sizeof(size), "%zx\r\n", len);

	if (!b->is_chunked)
		return send_whole(b->fd, block, len);
	return send_whole(b->fd, size, (size_t)n) ||
	       send_whole(b->fd, block, len) || send_whole(b->fd, "\r\n", 2);
}

static void *send_long_body(void *ctx)
{
	const struct long_body *b = ctx;
	char block[8192];

	memset(block, 'b', sizeof(block));
	for (size_t sent = 0; sent < b->len;) {
		size_t left = b->len - sent;
		size_t n = left < sizeof(block) ? left : sizeof(block);

		if (send_block(b, block, n))
			return NULL;
		sent += n;
	}
	if (b->is_chunked)
		send_whole(b->fd, "0\r\n\r\n", 5);
	return NULL;
}

static void begin_body(struct long_body *b, const struct caller *c,
		       const char *method, size_t len)
{
	if (strcmp(method, "POST") != 0 || len <= BODY_AT_ONCE_BYTES)
		return;
	b->fd = c->fd;
	b->is_chunked = c->sends_chunks;
	b->len = len;
	if (pthread_create(&b->thread, NULL, send_long_body, b))
		abort();
}

static void end_body(const struct long_body *b, int is_complete)
{
	if (!b->len)
		return;
	/* The rest of the body is not taken. */
	if (!is_complete)
		shutdown(b->fd, SHUT_RDWR);
	pthread_join(b->thread, NULL);
}

/* Whether the VM has closed the connection meanwhile. */
static int is_closed(int fd)
{
	char byte;

	return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void caller_request(struct caller *c, const char *method, const char *path,
		    const char *id, size_t body_len,
		    struct caller_response *out)
{
	struct reader in = {0};
	struct long_body body = {0};
	struct framing f;

	memset(out, 0, sizeof(*out));
	if (c->fd && is_closed(c->fd))
		caller_finish(c);
	if (!c->fd)
		c->fd = open_connection(c->port);
	in.fd = c->fd;
	send_request(c, method, path, id, body_len);
	begin_body(&body, c, method, body_len);
	if (!read_head(&in, &f, out) &&
	    !read_response_body(&in, &f, method, out))
		out->is_complete = 1;
	end_body(&body, out->is_complete && !f.closes);
	out->has_surplus = in.at < in.len;
	if (!out->is_complete || f.closes || in.ended || out->has_surplus)
		caller_finish(c);
}

void caller_finish(struct caller *c)
{
	if (c->fd)
		close(c->fd);
	c->fd = 0;
}
