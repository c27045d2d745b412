/* Stand-in for an upstream of the users' platform that misbehaves. The last
 * segment of the request path selects the behaviour:
 *
 * plain         a valid response, as for all names that are not listed here
 * cut           closes the connection within the body
 * unframed      no Content-Length; the end of the connection ends the body
 * unframed-cut  the same, reset within the body
 * extra         a surplus second response
 * other         a response with another request's id
 * garbage       bytes that are not HTTP
 * close         runs the request, then closes without a response
 * shed          rejects the request with X-Not-Executed
 * bare          503 without X-Not-Executed
 * early         responds before it reads the body
 * early-N       the same with a body of N bytes, and reads on 1 s later
 * encoded       a body with Content-Encoding
 * slow          responds after 1 s
 * after-MS      responds after MS
 * shed-MS       rejects the request with X-Not-Executed after MS
 * mute          runs the request and sends nothing for 30 s
 * long          a body of LONG_BYTES
 * stalled       the same, but sends nothing for 30 s after its first half
 * echo          a body that names the request
 * fields        a body that is the head of the request, as it came
 * head-N        a valid response with a header field of N bytes
 * open-head-N   the same with a body in chunks, which ends after a second
 * endless-line  bytes without a line end until the connection closes
 * endless-head  header lines until the connection closes
 * endless-early informational responses until the connection closes
 * endless-body  a body without a length until the connection closes
 * endless-shed  the same in a rejection with X-Not-Executed
 * endless-chunks   a body of small chunks
 * endless-ext      an extension of a chunk's size
 * endless-size     digits of a chunk's size
 * endless-trailer  trailer fields after the last chunk
 * endless-length   a body of a length that it never reaches
 * endless-extra    bytes after a complete response
 * health        reports the remaining cold time, which /admin/cold/MS sets
 * bytes-N       a response with faults drawn from the number N (faulty.h)
 * smuggled      valid; counted, since no test sends it as a request of its own
 *
 * A request with the header "Crash-After-Ms: MS" ends the process MS after its
 * head has come; with the option --away=MS it only seems to end, and is back
 * under the same name after that time.
 *
 * /admin/runs lists the requests that ran: "ID TIMES LAST_MS" a line, in Unix
 * time.
 *
 * After /admin/limit/MILLI all responses name a rate limit, in thousandths of a
 * request per second, until a negative one is set. After /admin/leave/1 all say
 * that it leaves. For MS after /admin/closed/MS requests are rejected, with the
 * time left.
 */
#include "odd.h"
#include "answer.h"
#include "away.h"
#include "endless.h"
#include "faulty.h"
#include "fields.h"
#include "long.h"
#include "request.h"
#include "runs.h"
#include <apr_general.h>
#include <apr_thread_proc.h>
#include <ctype.h>
#include <glib.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

static const char *instance;
static _Atomic int ran;
static _Atomic int refused;
static _Atomic int ended;
static _Atomic int misdirected;
/* Requests that arrived only because a parser framed another one wrongly. */
static _Atomic int smuggled;
static _Atomic int health_checks;
static _Atomic int open_connections;
static _Atomic int open_connections_max;
/* Time on the clock of prl_now_ms. */
static _Atomic long long cold_until_ms;
static _Atomic long long body_bytes;
/* Bytes sent in responses without end. */
static _Atomic long long endless_bytes;
static _Atomic long long rate_limit_milli = -1;
static _Atomic int leaving;
/* Requests are rejected until this time on the clock of prl_now_ms; those that
 * arrived by then count as rejected. */
static _Atomic long long closed_until_ms;

static void send_text(const struct connection *conn, const char *text)
{
	request_send(conn->fd, text, strlen(text));
}

/* Header lines of the state that this upstream is in; empty if there is none.
 */
static void format_state(char *lines, size_t size)
{
	long long milli = rate_limit_milli;
	size_t n = 0;

	lines[0] = 0;
	if (milli >= 0)
		n = (size_t)snprintf(lines, size,
				     "Server-Limit: %lld.%03lld\r\n",
				     milli / 1000, milli % 1000);
	if (leaving)
		snprintf(lines + n, size - n, "Server-Leaving: 1\r\n");
}

void odd_respond(const struct connection *conn, const char *status,
		 const char *id, const char *headers, const char *body)
{
	char text[1024];
	char state[64];

	format_state(state, sizeof(state));
	snprintf(text, sizeof(text),
		 "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n"
		 "X-Server-Load: 1,0,6\r\n%s%s\r\n%s",
		 status, id, state, headers, body);
	send_text(conn, text);
}

static int send_echo(const struct connection *conn)
{
	char headers[120];
	char body[120];
	int n = snprintf(body, sizeof(body), "%s at %s\n", conn->request_id,
			 instance);

	snprintf(headers, sizeof(headers),
		 STAMP_HEADER "Content-Length: %d\r\n", n);
	odd_respond(conn, "200 OK", conn->request_id, headers, body);
	return 1;
}

static int respond_endlessly(const struct connection *conn)
{
	endless_bytes += endless_respond(conn);
	return 0;
}

/* The pause lets the other side read what was sent. */
static void reset_when_closed(int fd, int pause_ms)
{
	const struct linger off = {.l_onoff = 1};

	usleep((useconds_t)pause_ms * 1000);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
}

/* Sleeps for the time in ms behind a prefix of the mode, if it has the prefix.
 */
static void sleep_as_named(const struct connection *conn, const char *prefix)
{
	if (!strncmp(conn->mode, prefix, strlen(prefix)))
		usleep((useconds_t)atoi(conn->mode + strlen(prefix)) * 1000);
}

/* Responds as the path selects. Returns 1 to keep the connection, 0 to close
 * it. */
static int respond_by_mode(struct connection *conn)
{
	if (!strcmp(conn->mode, "cut")) {
		odd_respond(conn, "200 OK", conn->request_id, COMPLETE_HEADERS,
			    "hello");
		return 0;
	}
	if (!strcmp(conn->mode, "unframed")) {
		odd_respond(conn, "200 OK", conn->request_id, STAMP_HEADER,
			    "hello world\n");
		return 0;
	}
	if (!strcmp(conn->mode, "unframed-cut")) {
		odd_respond(conn, "200 OK", conn->request_id, STAMP_HEADER,
			    "hello");
		reset_when_closed(conn->fd, 50);
		return 0;
	}
	if (!strcmp(conn->mode, "other")) {
		odd_respond(conn, "200 OK", "of-another", COMPLETE_HEADERS,
			    "hello world\n");
		return 1;
	}
	if (!strcmp(conn->mode, "garbage")) {
		send_text(conn, "\x01\x02 no answer\r\n\r\n");
		return 0;
	}
	if (!strcmp(conn->mode, "close"))
		return 0;
	if (!strcmp(conn->mode, "mute")) {
		sleep(30);
		return 0;
	}
	if (!strcmp(conn->mode, "bare")) {
		odd_respond(conn, "503 Busy", conn->request_id,
			    COMPLETE_HEADERS, "hello world\n");
		return 1;
	}
	if (!strcmp(conn->mode, "encoded")) {
		odd_respond(conn, "200 OK", conn->request_id,
			    COMPLETE_HEADERS "Content-Encoding: gzip\r\n",
			    "hello world\n");
		return 1;
	}
	if (!strcmp(conn->mode, "echo"))
		return send_echo(conn);
	if (long_is_mode(conn->mode))
		return long_respond(conn);
	if (!strncmp(conn->mode, "endless-", 8))
		return respond_endlessly(conn);
	if (!strcmp(conn->mode, "slow"))
		sleep(1);
	sleep_as_named(conn, "after-");
	odd_respond(conn, "200 OK", conn->request_id, COMPLETE_HEADERS,
		    "hello world\n");
	if (!strcmp(conn->mode, "extra"))
		odd_respond(conn, "200 OK", conn->request_id, COMPLETE_HEADERS,
			    "HELLO WORLD\n");
	return 1;
}

/* Responds to a health check. Unlike other responses this one has no
 * X-Request-Id. */
static int send_health_response(const struct connection *conn)
{
	char text[256];
	char state[64];
	long long left = cold_until_ms - prl_now_ms();

	health_checks++;
	format_state(state, sizeof(state));
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
		 "X-Cold-Remaining-Ms: %lld\r\n%sContent-Length: 0\r\n\r\n",
		 instance, left > 0 ? left : 0, state);
	send_text(conn, text);
	return 1;
}

static int send_runs(const struct connection *conn)
{
	char *text = runs_format();

	send_text(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
	send_text(conn, text);
	g_free(text);
	return 1;
}

static int handle_admin(struct connection *conn)
{
	char text[256];

	if (strncmp(conn->buf, "GET /admin/", 11))
		return 0;
	if (!strncmp(conn->buf, "GET /admin/runs", 15))
		return send_runs(conn);
	if (!strncmp(conn->buf, "GET /admin/cold/", 16))
		cold_until_ms = prl_now_ms() + atoll(conn->buf + 16);
	if (!strncmp(conn->buf, "GET /admin/limit/", 17))
		rate_limit_milli = atoll(conn->buf + 17);
	if (!strncmp(conn->buf, "GET /admin/leave/", 17))
		leaving = atoi(conn->buf + 17);
	if (!strncmp(conn->buf, "GET /admin/closed/", 18))
		closed_until_ms = prl_now_ms() + atoll(conn->buf + 18);
	snprintf(text, sizeof(text),
		 "{\"ran\":%d,\"ended\":%d,\"refused\":%d,\"misdirected\":%d,"
		 "\"smuggled\":%d,\"checked\":%d,\"open_most\":%d,"
		 "\"body_bytes\":%lld,\"endless_bytes\":%lld}\n",
		 ran, ended, refused, misdirected, smuggled, health_checks,
		 open_connections_max, (long long)body_bytes,
		 (long long)endless_bytes);
	send_text(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
	send_text(conn, text);
	return 1;
}

/* Counts a connection from a VM on its first request; admin connections are not
 * counted. */
static void count_connection(struct connection *conn)
{
	int now;

	if (conn->counted)
		return;
	conn->counted = 1;
	now = ++open_connections;
	if (now > open_connections_max)
		open_connections_max = now;
}

static int reject_closed(struct connection *conn)
{
	char headers[120];
	long long left = closed_until_ms - prl_now_ms();

	refused++;
	snprintf(headers, sizeof(headers),
		 "X-Not-Executed: 1\r\nRetry-After: %lld.%03lld\r\n"
		 "Content-Length: 0\r\n",
		 left / 1000, left % 1000);
	odd_respond(conn, "503 Closed", conn->request_id, headers, "");
	return !request_discard_body(conn);
}

/* Bytes of an earlier response that come as the next request does. */
static void send_pending(struct connection *conn)
{
	request_send(conn->fd, conn->pending, conn->pending_len);
	conn->pending_len = 0;
}

static void count_run(const struct connection *conn, int runs)
{
	if (!runs) {
		refused++;
		return;
	}
	ran++;
	runs_add(conn->request_id);
}

/* Ends the process under a request; with it all that other requests wait for.
 */
static void crash(const struct connection *conn)
{
	usleep((useconds_t)atoi(conn->crash_after_ms) * 1000);
	ended++;
	away_end();
}

/* Sends a response with the faults that the number in the path selects. */
static int serve_faulty(struct connection *conn)
{
	const struct faulty_request q = {
		.number = (uint32_t)atoi(conn->mode + strlen("bytes-")),
		.is_head = !strcmp(conn->method, "HEAD"),
		.id = conn->request_id,
		.instance = instance,
	};
	struct faulty_response r;

	faulty_draw(&q, &r);
	if (!r.is_early && request_discard_body(conn))
		return 0;
	count_run(conn, r.runs);
	request_send(conn->fd, r.bytes, r.len);
	if (r.is_early && r.end == FAULTY_KEEP && request_discard_body(conn))
		return 0;
	switch (r.copy) {
	case FAULTY_NO_COPY:
		break;
	case FAULTY_LATE:
		usleep((useconds_t)r.delay_ms * 1000);
		request_send(conn->fd, r.bytes + r.copy_at, r.copy_len);
		break;
	case FAULTY_WITH_NEXT:
		memcpy(conn->pending, r.bytes + r.copy_at, r.copy_len);
		conn->pending_len = r.copy_len;
		break;
	}
	if (r.end == FAULTY_RESET)
		reset_when_closed(conn->fd, r.delay_ms);
	return r.end == FAULTY_KEEP;
}

/* Rejects an upload with a body of the length that the path names, and reads
 * nothing for a while. */
static void send_early(const struct connection *conn)
{
	int left = atoi(conn->mode + strlen("early-"));
	char length[80];
	char block[1024];

	snprintf(length, sizeof(length), STAMP_HEADER "Content-Length: %d\r\n",
		 left);
	odd_respond(conn, "413 Too Long", conn->request_id, length, "");
	memset(block, 'x', sizeof(block));
	for (; left > 0; left -= (int)sizeof(block))
		request_send(conn->fd, block,
			     left < (int)sizeof(block) ? (size_t)left
						       : sizeof(block));
	sleep(1);
}

/* Serves one request. Returns 1 to keep the connection, 0 to close it. */
static int serve_request(struct connection *conn)
{
	if (request_read_head(conn) || handle_admin(conn))
		return 0;
	count_connection(conn);
	send_pending(conn);
	if (conn->expected_instance[0] &&
	    strcmp(conn->expected_instance, instance)) {
		misdirected++;
		odd_respond(conn, "421 Misdirected", conn->request_id,
			    "Content-Length: 0\r\n", "");
		return !request_discard_body(conn);
	}
	if (prl_now_ms() < closed_until_ms)
		return reject_closed(conn);
	if (!strcmp(conn->mode, "shed") || !strncmp(conn->mode, "shed-", 5)) {
		refused++;
		sleep_as_named(conn, "shed-");
		odd_respond(conn, "503 Full", conn->request_id,
			    "X-Not-Executed: 1\r\nContent-Length: 0\r\n", "");
		return !request_discard_body(conn);
	}
	if (!strcmp(conn->mode, "health"))
		return !request_discard_body(conn) &&
		       send_health_response(conn);
	if (!strncmp(conn->mode, "bytes-", 6))
		return serve_faulty(conn);
	ran++;
	runs_add(conn->request_id);
	smuggled += !strcmp(conn->mode, "smuggled");
	if (conn->crash_after_ms[0])
		crash(conn);
	if (!strcmp(conn->mode, "early")) {
		odd_respond(conn, "413 Too Long", conn->request_id,
			    COMPLETE_HEADERS, "hello world\n");
		return !request_discard_body(conn);
	}
	if (!strncmp(conn->mode, "early-", 6)) {
		send_early(conn);
		return !request_discard_body(conn);
	}
	if (!strcmp(conn->mode, "fields"))
		return fields_respond(conn);
	return !request_discard_body(conn) && respond_by_mode(conn);
}

static void *APR_THREAD_FUNC serve_connection(apr_thread_t *self, void *ctx)
{
	struct connection *conn = ctx;

	(void)self;
	while (serve_request(conn))
		;
	if (conn->counted)
		open_connections--;
	away_remove(conn->fd);
	close(conn->fd);
	free(conn);
	return NULL;
}

int main(int argc, char **argv)
{
	apr_threadattr_t *detached;
	apr_pool_t *pool;

	instance = command_option(argc, argv, "instance", "i-1");
	runs_init();
	signal(SIGPIPE, SIG_IGN);
	if (away_listen(command_option(argc, argv, "listen", "127.0.0.1:9000"),
			atoi(command_option(argc, argv, "away", "0"))) ||
	    apr_initialize() || apr_pool_create(&pool, NULL) ||
	    apr_threadattr_create(&detached, pool) ||
	    apr_threadattr_detach_set(detached, 1)) {
		fprintf(stderr, "standin-odd: can't listen\n");
		return 1;
	}
	for (;;) {
		struct connection *conn = calloc(1, sizeof(*conn));
		apr_thread_t *thread;

		if (!conn)
			return 1;
		conn->body_bytes = &body_bytes;
		conn->fd = away_accept();
		if (conn->fd < 0 ||
		    apr_thread_create(&thread, detached, serve_connection, conn,
				      pool))
			free(conn);
	}
}
