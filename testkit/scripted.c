#include "scripted.h"
#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_MAX 16384

/* A connection, and the bytes that were read and not consumed yet. */
struct connection {
	int fd;
	char buf[REQUEST_MAX];
	size_t len;
	struct scripted_request request;
};

/* How often a request arrived and ran. */
struct record {
	int arrivals;
	int runs;
};

static void (*fill_reply)(const struct scripted_request *request,
			  struct scripted_reply *out);
static int listen_fd;
static pthread_t accept_thread;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* struct record by request id; protected by the lock. */
static GHashTable *records;
static _Atomic int malformed;
static _Atomic int accepted;
static _Atomic int busy;

static struct record *find_record(const char *id)
{
	struct record *rec = g_hash_table_lookup(records, id);

	if (!rec) {
		rec = g_new0(struct record, 1);
		g_hash_table_insert(records, g_strdup(id), rec);
	}
	return rec;
}

static void count_request(const char *id, int runs)
{
	struct record *rec;

	pthread_mutex_lock(&lock);
	rec = find_record(id);
	rec->arrivals++;
	rec->runs += runs;
	pthread_mutex_unlock(&lock);
}

static struct record read_record(const char *id)
{
	struct record rec;

	pthread_mutex_lock(&lock);
	rec = *find_record(id);
	pthread_mutex_unlock(&lock);
	return rec;
}

int scripted_count_runs(const char *id)
{
	return read_record(id).runs;
}

int scripted_count_arrivals(const char *id)
{
	return read_record(id).arrivals;
}

int scripted_count_connections(void)
{
	return accepted;
}

int scripted_count_malformed(void)
{
	return malformed;
}

void scripted_wait_idle(void)
{
	while (busy)
		usleep(100);
}

static void send_bytes(int fd, const char *bytes, size_t len)
{
	while (len) {
		ssize_t n = send(fd, bytes, len, MSG_NOSIGNAL);

		if (n <= 0)
			return;
		bytes += n;
		len -= (size_t)n;
	}
}

static void send_fill(int fd, size_t len)
{
	char block[8192];

	memset(block, 'x', sizeof(block));
	while (len) {
		size_t n = len < sizeof(block) ? len : sizeof(block);

		send_bytes(fd, block, n);
		len -= n;
	}
}

static int read_more(struct connection *c)
{
	ssize_t n = recv(c->fd, c->buf + c->len, REQUEST_MAX - 1 - c->len, 0);

	if (n <= 0)
		return -1;
	c->len += (size_t)n;
	c->buf[c->len] = 0;
	return 0;
}

static void consume(struct connection *c, size_t n)
{
	memmove(c->buf, c->buf + n, c->len - n + 1);
	c->len -= n;
}

static int starts_a_request(const char *buf)
{
	static const char *const methods[] = {"GET /", "POST /", "HEAD /",
					      "PUT /", "DELETE /"};

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++)
		if (!strncmp(buf, methods[i], strlen(methods[i])))
			return 1;
	return 0;
}

static void copy_value(const char *head, const char *name, char *out,
		       size_t size)
{
	const char *at = strcasestr(head, name);

	out[0] = 0;
	if (at)
		at += strlen(name) + strspn(at + strlen(name), " ");
	if (at)
		snprintf(out, size, "%.*s", (int)strcspn(at, "\r"), at);
}

/* Reads the method and the target from the first line of a request. */
static void read_first_line(struct connection *c)
{
	size_t method_len = strcspn(c->buf, " ");
	const char *target = c->buf + method_len + 1;

	snprintf(c->request.method, sizeof(c->request.method), "%.*s",
		 (int)method_len, c->buf);
	snprintf(c->request.target, sizeof(c->request.target), "%.*s",
		 (int)strcspn(target, " "), target);
}

/* Reads the head of a request and consumes it. Returns the length of the body,
 * or -1 if the connection ends. */
static long read_head(struct connection *c)
{
	char length[32];
	char *end;

	while (!(end = strstr(c->buf, "\r\n\r\n")))
		if (c->len == REQUEST_MAX - 1 || read_more(c))
			return -1;
	if (!starts_a_request(c->buf)) {
		malformed++;
		return -1;
	}
	*end = 0;
	g_strlcpy(c->request.head, c->buf, sizeof(c->request.head));
	read_first_line(c);
	copy_value(c->buf, "\r\nX-Request-Id:", c->request.id,
		   sizeof(c->request.id));
	copy_value(c->buf, "\r\nAttempt-Id:", c->request.attempt_id,
		   sizeof(c->request.attempt_id));
	copy_value(c->buf, "\r\nContent-Length:", length, sizeof(length));
	consume(c, (size_t)(end - c->buf) + 4);
	return atol(length);
}

static int read_body(struct connection *c, long len)
{
	while (len > (long)c->len) {
		len -= (long)c->len;
		consume(c, c->len);
		if (read_more(c))
			return -1;
	}
	consume(c, (size_t)len);
	return 0;
}

/* Serves one request. Returns 1 to keep the connection. */
static int serve_request(struct connection *c)
{
	static const struct linger no_linger = {.l_onoff = 1};
	struct scripted_reply reply = {0};
	long len = read_head(c);

	if (len < 0)
		return 0;
	fill_reply(&c->request, &reply);
	count_request(c->request.id, reply.runs);
	if (!reply.is_early && read_body(c, len))
		return 0;
	send_bytes(c->fd, reply.bytes, reply.len);
	send_fill(c->fd, reply.fill_len);
	if (reply.is_early && reply.end == SCRIPTED_KEEP && read_body(c, len))
		return 0;
	if (reply.then_len) {
		usleep((useconds_t)reply.then_delay_ms * 1000);
		send_bytes(c->fd, reply.then, reply.then_len);
	}
	if (reply.end_delay_ms)
		usleep((useconds_t)reply.end_delay_ms * 1000);
	if (reply.end == SCRIPTED_RESET)
		setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &no_linger,
			   sizeof(no_linger));
	c->request.uses_before++;
	strcpy(c->request.id_before, c->request.id);
	return reply.end == SCRIPTED_KEEP;
}

static int wait_for_request(struct connection *c)
{
	return c->len ? 0 : read_more(c);
}

static void *serve_connection(void *ctx)
{
	struct connection *c = ctx;
	int one = 1;
	int keep = 1;

	setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	while (keep && !wait_for_request(c)) {
		busy++;
		keep = serve_request(c);
		if (!keep) {
			close(c->fd);
			c->fd = -1;
		}
		busy--;
	}
	if (c->fd >= 0)
		close(c->fd);
	free(c);
	return NULL;
}

static void *accept_connections(void *ctx)
{
	int fd;

	(void)ctx;
	while ((fd = accept(listen_fd, NULL, NULL)) >= 0) {
		struct connection *c = calloc(1, sizeof(*c));
		pthread_t thread;

		c->fd = fd;
		accepted++;
		pthread_create(&thread, NULL, serve_connection, c);
		pthread_detach(thread);
	}
	return NULL;
}

int scripted_start(void (*reply)(const struct scripted_request *request,
				 struct scripted_reply *out))
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);

	fill_reply = reply;
	records =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(listen_fd, (struct sockaddr *)&addr, len) ||
	    listen(listen_fd, 64) ||
	    getsockname(listen_fd, (struct sockaddr *)&addr, &len) ||
	    pthread_create(&accept_thread, NULL, accept_connections, NULL))
		abort();
	return ntohs(addr.sin_port);
}

void scripted_stop(void)
{
	shutdown(listen_fd, SHUT_RDWR);
	pthread_join(accept_thread, NULL);
	close(listen_fd);
}
