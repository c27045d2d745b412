/* Stand-in for an upstream of the users' platform that misbehaves as their
 * pages say. The last part of a request's path names what it does: "plain",
 * "cut" (breaks off within the body), "unframed" (no length), "unframed-cut",
 * "extra" (a second answer behind the first), "other" (the answer to another
 * request), "garbage", "close" (runs, no answer), "shed" (did not run), "bare"
 * (503 without the word that it did not run), "early" (answers before the body
 * has come, then reads on), "encoded", "slow" (a second), "mute" (runs, never
 * answers), "long" (a body of LONG_BYTES), "health" (says how long it stays
 * cold, which /admin/cold/MS sets). */
#include "answer.h"
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <ctype.h>
#include <netinet/in.h>
#include <primroselead/address.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

/* Longest head of a request, in bytes. */
#define HEAD_MAX 32768

/* Length of a long body, in bytes: more than a VM keeps of an answer. */
#define LONG_BYTES (4 << 20)

static const char *instance;
static _Atomic int ran;
static _Atomic int refused;
static _Atomic int misdirected;
/* Requests that no caller may have sent as one of its own. */
static _Atomic int smuggled;
static _Atomic int checked;
static _Atomic int open_now;
static _Atomic int open_most;
/* On the clock of prl_now_ms. */
static _Atomic long long cold_until;
static _Atomic long long body_bytes;

/* A connection and what of it has been read. */
struct peer {
	int fd;
	char head[HEAD_MAX];
	size_t have;
	/** Length of the head of the request at its beginning. */
	size_t head_len;
	char id[80];
	char expected[80];
	char mode[32];
	long long length;
	int chunked;
	/** Among the connections that are counted. */
	int counted;
};

static void say(const struct peer *p, const char *text)
{
	size_t len = strlen(text);

	while (len) {
		ssize_t n = send(p->fd, text, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		text += n;
		len -= (size_t)n;
	}
}

/* Reads more. Returns 0, or -1 at the end of the connection. */
static int read_more(struct peer *p)
{
	ssize_t n = recv(p->fd, p->head + p->have, HEAD_MAX - 1 - p->have, 0);

	if (n <= 0)
		return -1;
	p->have += (size_t)n;
	p->head[p->have] = 0;
	return 0;
}

static void copy_value(const char *head, const char *name, char *out,
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

static void parse(struct peer *p)
{
	char number[32];
	size_t target = strcspn(p->head, " ") + 1;
	size_t end = target + strcspn(p->head + target, " ?");
	size_t begin = end;

	while (begin > target && p->head[begin - 1] != '/')
		begin--;
	snprintf(p->mode, sizeof(p->mode), "%.*s", (int)(end - begin),
		 p->head + begin);
	copy_value(p->head, "\r\nX-Request-Id:", p->id, sizeof(p->id));
	copy_value(p->head, "\r\nX-Expected-Instance:", p->expected,
		   sizeof(p->expected));
	copy_value(p->head, "\r\nContent-Length:", number, sizeof(number));
	p->length = atoll(number);
	p->chunked = strcasestr(p->head, "\r\nTransfer-Encoding: chunked") != 0;
}

/* Returns 0 when a whole head was read. */
static int read_head(struct peer *p)
{
	char *end;
	char kept;

	while (!(end = strstr(p->head, "\r\n\r\n")))
		if (p->have == HEAD_MAX - 1 || read_more(p))
			return -1;
	p->head_len = (size_t)(end - p->head) + 4;
	kept = p->head[p->head_len];
	p->head[p->head_len] = 0;
	parse(p);
	p->head[p->head_len] = kept;
	return 0;
}

static void drop(struct peer *p, size_t n)
{
	memmove(p->head, p->head + n, p->have - n);
	p->have -= n;
	p->head[p->have] = 0;
}

/* Reads the body away. Returns 0, or -1 if it breaks off. */
static int read_body(struct peer *p)
{
	long long left = p->length;

	drop(p, p->head_len);
	while (p->chunked && !strstr(p->head, "0\r\n\r\n")) {
		/* Keeps enough to see the end across two reads. */
		if (p->have > 4)
			drop(p, p->have - 4);
		if (read_more(p))
			return -1;
	}
	if (p->chunked) {
		drop(p, p->have);
		return 0;
	}
	while (left > (long long)p->have) {
		left -= (long long)p->have;
		body_bytes += (long long)p->have;
		drop(p, p->have);
		if (read_more(p))
			return -1;
	}
	body_bytes += left;
	drop(p, (size_t)left);
	return 0;
}

static void answer(const struct peer *p, const char *status, const char *id,
		   const char *more, const char *body)
{
	char text[1024];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n"
		 "X-Server-Load: 1,0,6\r\n%s\r\n%s",
		 status, id, more, body);
	say(p, text);
}

#define STAMP "X-Server-Stamp: 1.2.3\r\n"
#define WHOLE STAMP "Content-Length: 12\r\n"

static int answer_long(const struct peer *p)
{
	char length[64];
	char block[8192];

	snprintf(length, sizeof(length), STAMP "Content-Length: %d\r\n",
		 LONG_BYTES);
	answer(p, "200 OK", p->id, length, "");
	memset(block, 'x', sizeof(block) - 1);
	block[sizeof(block) - 1] = 0;
	for (int sent = 0; sent < LONG_BYTES; sent += (int)sizeof(block) - 1) {
		if (LONG_BYTES - sent < (int)sizeof(block) - 1)
			block[LONG_BYTES - sent] = 0;
		say(p, block);
	}
	return 1;
}

/* Answers. Returns 1 if the connection goes on. */
static int act(struct peer *p)
{
	if (!strcmp(p->mode, "cut")) {
		answer(p, "200 OK", p->id, WHOLE, "hello");
		return 0;
	}
	if (!strcmp(p->mode, "unframed")) {
		answer(p, "200 OK", p->id, STAMP, "hello world\n");
		return 0;
	}
	if (!strcmp(p->mode, "unframed-cut")) {
		struct linger off = {.l_onoff = 1};

		answer(p, "200 OK", p->id, STAMP, "hello");
		usleep(50000);
		setsockopt(p->fd, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
		return 0;
	}
	if (!strcmp(p->mode, "other")) {
		answer(p, "200 OK", "of-another", WHOLE, "hello world\n");
		return 1;
	}
	if (!strcmp(p->mode, "garbage")) {
		say(p, "\x01\x02 no answer\r\n\r\n");
		return 0;
	}
	if (!strcmp(p->mode, "close"))
		return 0;
	if (!strcmp(p->mode, "mute")) {
		sleep(30);
		return 0;
	}
	if (!strcmp(p->mode, "bare")) {
		answer(p, "503 Busy", p->id, WHOLE, "hello world\n");
		return 1;
	}
	if (!strcmp(p->mode, "encoded")) {
		answer(p, "200 OK", p->id, WHOLE "Content-Encoding: gzip\r\n",
		       "hello world\n");
		return 1;
	}
	if (!strcmp(p->mode, "long"))
		return answer_long(p);
	if (!strcmp(p->mode, "slow"))
		sleep(1);
	answer(p, "200 OK", p->id, WHOLE, "hello world\n");
	if (!strcmp(p->mode, "extra"))
		answer(p, "200 OK", p->id, WHOLE, "HELLO WORLD\n");
	return 1;
}

/* Unlike other answers this one does not name its request. */
static int answer_health(const struct peer *p)
{
	char text[256];
	long long left = cold_until - prl_now_ms();

	checked++;
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
		 "X-Cold-Remaining-Ms: %lld\r\nContent-Length: 0\r\n\r\n",
		 instance, left > 0 ? left : 0);
	say(p, text);
	return 1;
}

static int is_admin(struct peer *p)
{
	char text[256];

	if (strncmp(p->head, "GET /admin/", 11))
		return 0;
	if (!strncmp(p->head, "GET /admin/cold/", 16))
		cold_until = prl_now_ms() + atoll(p->head + 16);
	snprintf(text, sizeof(text),
		 "{\"ran\":%d,\"refused\":%d,\"misdirected\":%d,"
		 "\"smuggled\":%d,\"checked\":%d,\"open_most\":%d,"
		 "\"body_bytes\":%lld}\n",
		 ran, refused, misdirected, smuggled, checked, open_most,
		 (long long)body_bytes);
	say(p, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
	say(p, text);
	return 1;
}

/* Counts a connection of VMs once. */
static void count_connection(struct peer *p)
{
	int now;

	if (p->counted)
		return;
	p->counted = 1;
	now = ++open_now;
	if (now > open_most)
		open_most = now;
}

/* Serves one request. Returns 1 if the connection goes on. */
static int serve_one(struct peer *p)
{
	if (read_head(p) || is_admin(p))
		return 0;
	count_connection(p);
	if (p->expected[0] && strcmp(p->expected, instance)) {
		misdirected++;
		answer(p, "421 Misdirected", p->id, "Content-Length: 0\r\n",
		       "");
		return !read_body(p);
	}
	if (!strcmp(p->mode, "shed")) {
		refused++;
		answer(p, "503 Full", p->id,
		       "X-Not-Executed: 1\r\nContent-Length: 0\r\n", "");
		return !read_body(p);
	}
	if (!strcmp(p->mode, "health"))
		return !read_body(p) && answer_health(p);
	ran++;
	smuggled += !strcmp(p->mode, "smuggled");
	if (!strcmp(p->mode, "early")) {
		answer(p, "413 Too Long", p->id, WHOLE, "hello world\n");
		return !read_body(p);
	}
	return !read_body(p) && act(p);
}

static void *APR_THREAD_FUNC run(apr_thread_t *self, void *ctx)
{
	struct peer *p = ctx;

	(void)self;
	while (serve_one(p))
		;
	if (p->counted)
		open_now--;
	close(p->fd);
	free(p);
	return NULL;
}

static int listen_on(const char *address)
{
	struct sockaddr_storage addr;
	socklen_t len;
	int one = 1;
	int fd;

	if (prl_address_parse(address, &addr, &len))
		return -1;
	fd = socket(addr.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&addr, len) || listen(fd, 128))
		return -1;
	return fd;
}

int main(int argc, char **argv)
{
	int fd = listen_on(option(argc, argv, "listen", "127.0.0.1:9000"));
	apr_pool_t *pool;

	instance = option(argc, argv, "instance", "i-1");
	signal(SIGPIPE, SIG_IGN);
	if (fd < 0 || apr_initialize() || apr_pool_create(&pool, NULL)) {
		fprintf(stderr, "odd stand-in: can't listen\n");
		return 1;
	}
	for (;;) {
		struct peer *p = calloc(1, sizeof(*p));
		apr_thread_t *thread;

		if (!p)
			return 1;
		p->fd = accept(fd, NULL, NULL);
		if (p->fd < 0 || apr_thread_create(&thread, NULL, run, p, pool))
			free(p);
	}
}
