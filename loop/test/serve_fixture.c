#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "serve_fixture.h"
#include <arpa/inet.h>
#include <cmocka.h>
#include <glib.h>
#include <port.h>
#include <primroselead/clock.h>
#include <primroselead/serve.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>

/* Block of an answer without end. */
#define BLOCK_BYTES 8192

struct fixture {
	struct loop loop;
	struct serve serve;
	pthread_t thread;
	int port;
	int is_stopping;
	/* Highest number of connections that the listener had. */
	int most;
	/* Bytes of answers without end. */
	size_t endless;
};

static struct fixture f;

unsigned int serve_large_max;

/* A request counts its own body, and says how much memory it had. */
struct seen {
	size_t body;
};

static void *begin(void *ctx, const char *target, struct MHD_Connection *conn)
{
	(void)ctx;
	(void)target;
	(void)conn;
	return g_new0(struct seen, 1);
}

static void completed(void *ctx, struct MHD_Connection *conn, void **state,
		      enum MHD_RequestTerminationCode why)
{
	(void)ctx;
	(void)conn;
	(void)why;
	g_free(*state);
	*state = NULL;
}

static ssize_t more(void *ctx, uint64_t pos, char *buf, size_t max)
{
	(void)ctx;
	(void)pos;
	memset(buf, 'x', max);
	__atomic_fetch_add(&f.endless, max, __ATOMIC_SEQ_CST);
	return (ssize_t)max;
}

static enum MHD_Result handle(void *ctx, struct MHD_Connection *conn,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *len, void **state)
{
	struct seen *seen = *state;
	struct MHD_Response *r;
	char text[100];
	enum MHD_Result rc;

	(void)ctx;
	(void)method;
	(void)version;
	(void)data;
	if (!seen->body) {
		/* The first call comes before the body. */
		seen->body = 1;
		return MHD_YES;
	}
	if (*len) {
		seen->body += *len;
		*len = 0;
		return MHD_YES;
	}
	snprintf(text, sizeof(text), "%s body %zu memory %zu\n", url,
		 seen->body - 1, serve_connection_memory(conn));
	if (strcmp(url, ENDLESS_PATH) != 0)
		r = MHD_create_response_from_buffer(strlen(text), text,
						    MHD_RESPMEM_MUST_COPY);
	else
		r = MHD_create_response_from_callback(
			MHD_SIZE_UNKNOWN, BLOCK_BYTES, more, NULL, NULL);
	if (serve_is_costly(conn))
		MHD_add_response_header(r, "Connection", "close");
	rc = MHD_queue_response(conn, 200, r);
	MHD_destroy_response(r);
	return rc;
}

static void *run(void *ctx)
{
	(void)ctx;
	while (!__atomic_load_n(&f.is_stopping, __ATOMIC_SEQ_CST)) {
		int n;

		loop_run_once(&f.loop, prl_now_ms() + 20);
		n = (int)serve_connection_count(&f.serve);
		if (n > __atomic_load_n(&f.most, __ATOMIC_SEQ_CST))
			__atomic_store_n(&f.most, n, __ATOMIC_SEQ_CST);
	}
	return NULL;
}

int serve_setup(void **state)
{
	static char address[32];
	struct serve_options o = {
		.address = address,
		.connections_max = CONNECTIONS_MAX,
		.idle_timeout_s = 2,
		.connection_memory_bytes = USUAL_BYTES,
		.large_memory_bytes = LARGE_BYTES,
		.large_max = serve_large_max,
		.begin = begin,
		.handle = handle,
		.completed = completed,
	};
	struct prl_error err;

	(void)state;
	memset(&f, 0, sizeof(f));
	f.port = port_find_free();
	snprintf(address, sizeof(address), "127.0.0.1:%d", f.port);
	assert_int_equal(loop_init(&f.loop, &err), PRL_OK);
	assert_int_equal(serve_init(&f.serve, &f.loop, &o, &err), PRL_OK);
	return pthread_create(&f.thread, NULL, run, NULL);
}

int serve_teardown(void **state)
{
	(void)state;
	__atomic_store_n(&f.is_stopping, 1, __ATOMIC_SEQ_CST);
	pthread_join(f.thread, NULL);
	serve_finish(&f.serve);
	loop_finish(&f.loop);
	return 0;
}

int serve_most_connections(void)
{
	return __atomic_load_n(&f.most, __ATOMIC_SEQ_CST);
}

size_t serve_endless_bytes(void)
{
	return __atomic_load_n(&f.endless, __ATOMIC_SEQ_CST);
}

void dial_with(int fd)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons((uint16_t)f.port),
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval wait = {.tv_sec = WAIT_S};

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	assert_int_equal(connect(fd, (struct sockaddr *)&addr, sizeof(addr)),
			 0);
}

int dial(void)
{
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	dial_with(fd);
	return fd;
}

void say(int fd, const char *text, size_t len)
{
	assert_int_equal(send(fd, text, len, MSG_NOSIGNAL), (ssize_t)len);
}

int hear(int fd, char *body, size_t size)
{
	char head[1024] = "";
	size_t n = 0;
	size_t length;

	while (!strstr(head, "\r\n\r\n")) {
		if (n == sizeof(head) - 1 || recv(fd, head + n, 1, 0) != 1)
			return -1;
		head[++n] = 0;
	}
	assert_non_null(strstr(head, "HTTP/1.1 200"));
	length = (size_t)atol(strstr(head, "Content-Length: ") + 16);
	assert_true(length < size);
	for (n = 0; n < length; n++)
		if (recv(fd, body + n, 1, 0) != 1)
			return -1;
	body[n] = 0;
	return 0;
}

void expect(int fd, const char *path, size_t body, size_t memory)
{
	char got[200];
	char wanted[200];

	snprintf(wanted, sizeof(wanted), "%s body %zu memory %zu\n", path, body,
		 memory);
	assert_int_equal(hear(fd, got, sizeof(got)), 0);
	assert_string_equal(got, wanted);
}

char *format_head(const char *method, const char *path, int nfield,
		  const char *last)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%s %s HTTP/1.1\r\nHost: h\r\n", method, path);
	for (int i = 0; i < nfield; i++)
		g_string_append(text, "a: 1\r\n");
	g_string_append_printf(text, "%s\r\n", last);
	return g_string_free(text, FALSE);
}

void ask(int fd, const char *method, const char *path, int nfield,
	 const char *last)
{
	char *text = format_head(method, path, nfield, last);

	say(fd, text, strlen(text));
	g_free(text);
}
