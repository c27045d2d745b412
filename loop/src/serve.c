#include "serve_connection.h"
#include <errno.h>
#include <primroselead/address.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

/* Size of a message of libmicrohttpd with its end. */
#define MESSAGE_MAX 256

static void run_daemon(struct serve_tier *t)
{
	MHD_UNSIGNED_LONG_LONG ms;

	MHD_run(t->mhd);
	t->timer.deadline_ms = PRL_NEVER;
	if (MHD_get_timeout(t->mhd, &ms) == MHD_YES)
		t->timer.deadline_ms = prl_now_ms() + (int64_t)ms;
	connection_park_ended(t->serve);
}

static void on_ready(struct loop_fd *f, uint32_t events)
{
	(void)events;
	run_daemon(f->ctx);
}

static void on_timer(struct loop_timer *t, int64_t now)
{
	(void)now;
	run_daemon(t->ctx);
}

static void on_connect(struct loop_fd *f, uint32_t events)
{
	(void)events;
	connection_accept_all(f->ctx);
}

static void on_idle_timer(struct loop_timer *t, int64_t now)
{
	connection_sweep(t->ctx, now);
}

static struct serve_connection *find_connection(struct MHD_Connection *mhd)
{
	return MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
		->socket_context;
}

static void on_connection(void *ctx, struct MHD_Connection *mhd,
			  void **socket_context,
			  enum MHD_ConnectionNotificationCode what)
{
	switch (what) {
	case MHD_CONNECTION_NOTIFY_STARTED:
		*socket_context = connection_opened(ctx, mhd);
		break;
	case MHD_CONNECTION_NOTIFY_CLOSED:
		if (*socket_context)
			connection_closed(*socket_context);
		*socket_context = NULL;
		break;
	}
}

static void *on_begin(void *ctx, const char *target, struct MHD_Connection *mhd)
{
	const struct serve *s = ctx;

	connection_begun(find_connection(mhd));
	return s->begin ? s->begin(s->ctx, target, mhd) : NULL;
}

static enum MHD_Result on_request(void *ctx, struct MHD_Connection *mhd,
				  const char *url, const char *method,
				  const char *version, const char *data,
				  size_t *len, void **state)
{
	const struct serve *s = ctx;

	connection_received(find_connection(mhd), method, *len);
	return s->handle(s->ctx, mhd, url, method, version, data, len, state);
}

static void on_completed(void *ctx, struct MHD_Connection *mhd, void **state,
			 enum MHD_RequestTerminationCode why)
{
	const struct serve *s = ctx;

	connection_ended(find_connection(mhd));
	if (s->completed)
		s->completed(s->ctx, mhd, state, why);
}

/* Disables libmicrohttpd's percent-decoding of paths and arguments: a proxy
 * must forward them unchanged, and code that compares a path or an argument
 * decodes it first. */
static size_t skip_unescape(void *ctx, struct MHD_Connection *conn, char *text)
{
	(void)ctx;
	(void)conn;
	return strlen(text);
}

/* Passes on what libmicrohttpd says of requests and responses that it gives up,
 * not of connections that callers have closed. */
static void on_message(void *ctx, const char *format, va_list args)
{
	static const char given_up[] = "Closing connection";
	const struct serve *s = ctx;
	char text[MESSAGE_MAX];

	vsnprintf(text, sizeof(text), format, args);
	text[strcspn(text, "\r\n")] = 0;
	if (s->report && strstr(text, given_up))
		s->report(s->ctx, text);
}

static enum prl_code start_tier(struct serve *s, struct serve_tier *t,
				size_t memory_bytes, struct prl_error *err)
{
	t->mhd = MHD_start_daemon(
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG |
			MHD_USE_NO_LISTEN_SOCKET,
		0, NULL, NULL, on_request, s, MHD_OPTION_EXTERNAL_LOGGER,
		on_message, s, MHD_OPTION_CONNECTION_LIMIT,
		2 * s->connections_max, MHD_OPTION_CONNECTION_TIMEOUT,
		s->idle_timeout_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		memory_bytes, MHD_OPTION_UNESCAPE_CALLBACK, skip_unescape, NULL,
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, s,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, s,
		MHD_OPTION_URI_LOG_CALLBACK, on_begin, s, MHD_OPTION_END);
	if (!t->mhd)
		return prl_error_set(err, PRL_E_IO, "can't start a daemon: %s",
				     strerror(errno));
	t->memory_bytes = memory_bytes;
	t->serve = s;
	t->fd.fd =
		MHD_get_daemon_info(t->mhd, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
	t->fd.on_ready = on_ready;
	t->fd.ctx = t;
	t->timer.on_expiry = on_timer;
	t->timer.ctx = t;
	if (loop_add(s->loop, &t->fd, EPOLLIN, err)) {
		MHD_stop_daemon(t->mhd);
		t->mhd = NULL;
		return PRL_E_IO;
	}
	loop_timer_add(s->loop, &t->timer);
	return PRL_OK;
}

struct serve_tier *serve_usual_tier(struct serve *s)
{
	struct serve_tier *least = &s->usual[0];

	for (int i = 0; i < s->nusual; i++) {
		if (s->usual[i].n < SERVE_DAEMON_CONNECTIONS)
			return &s->usual[i];
		if (s->usual[i].n < least->n)
			least = &s->usual[i];
	}
	if (s->nusual == SERVE_DAEMONS_MAX ||
	    start_tier(s, &s->usual[s->nusual], s->memory_bytes, NULL))
		return least;
	return &s->usual[s->nusual++];
}

static int open_listener(const struct sockaddr *addr, socklen_t len)
{
	int one = 1;
	int fd = socket(addr->sa_family,
			SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one));
	if (bind(fd, addr, len) || listen(fd, SOMAXCONN)) {
		close(fd);
		return -1;
	}
	return fd;
}

enum prl_code serve_init(struct serve *s, struct loop *l,
			 const struct serve_options *o, struct prl_error *err)
{
	struct sockaddr_storage addr;
	socklen_t len;

	memset(s, 0, sizeof(*s));
	if (prl_address_parse(o->address, &addr, &len))
		return prl_error_set(
			err, PRL_E_IO,
			"address \"%s\" is not a numeric IP address "
			"and port",
			o->address);
	s->loop = l;
	s->begin = o->begin;
	s->handle = o->handle;
	s->completed = o->completed;
	s->report = o->report;
	s->ctx = o->ctx;
	s->connections_max = o->connections_max;
	s->large_max = o->large_max ? o->large_max : o->connections_max;
	s->idle_timeout_s = o->idle_timeout_s;
	s->memory_bytes = o->connection_memory_bytes;
	s->idle_ms = (int)o->idle_timeout_s * 1000;
	s->by_fd = g_hash_table_new(NULL, NULL);
	s->idle_timer.on_expiry = on_idle_timer;
	s->idle_timer.ctx = s;
	loop_timer_add(l, &s->idle_timer);
	s->listener.on_ready = on_connect;
	s->listener.ctx = s;
	s->listener.fd = open_listener((struct sockaddr *)&addr, len);
	if (s->listener.fd < 0)
		return prl_error_set(err, PRL_E_IO, "can't listen on %s: %s",
				     o->address, strerror(errno));
	if (start_tier(s, &s->usual[0], s->memory_bytes, err) ||
	    (o->large_memory_bytes &&
	     start_tier(s, &s->large, o->large_memory_bytes, err)))
		return err->code;
	s->nusual = 1;
	return loop_add(l, &s->listener, EPOLLIN, err);
}

static void stop_tier(struct serve_tier *t)
{
	if (!t->mhd)
		return;
	MHD_run(t->mhd);
	loop_remove(t->serve->loop, &t->fd);
	loop_timer_remove(t->serve->loop, &t->timer);
	MHD_stop_daemon(t->mhd);
}

void serve_finish(struct serve *s)
{
	s->is_finishing = 1;
	serve_quiesce(s);
	loop_timer_remove(s->loop, &s->idle_timer);
	connection_release_all(s);
	stop_tier(&s->large);
	while (s->nusual)
		stop_tier(&s->usual[--s->nusual]);
	connection_free_all(s);
	g_hash_table_destroy(s->by_fd);
}

void serve_wake(struct serve_tier *t)
{
	t->timer.deadline_ms = prl_now_ms();
}

void serve_resume(struct serve *s, struct MHD_Connection *conn)
{
	const struct serve_connection *c = find_connection(conn);

	(void)s;
	MHD_resume_connection(conn);
	serve_wake(c->tier);
}

void serve_close(struct MHD_Connection *conn)
{
	const struct serve_connection *c = find_connection(conn);

	shutdown(c->fd.fd, SHUT_RDWR);
	serve_wake(c->tier);
}

void serve_listen(struct serve *s, int on)
{
	if (s->listener.fd < 0 || s->is_full == !on)
		return;
	s->is_full = !on;
	if (!on)
		loop_remove(s->loop, &s->listener);
	else
		loop_add(s->loop, &s->listener, EPOLLIN, NULL);
}

void serve_quiesce(struct serve *s)
{
	if (s->listener.fd < 0)
		return;
	if (!s->is_full)
		loop_remove(s->loop, &s->listener);
	close(s->listener.fd);
	s->listener.fd = -1;
}

unsigned int serve_connection_count(const struct serve *s)
{
	return s->nconnection;
}

size_t serve_connection_memory(struct MHD_Connection *conn)
{
	return find_connection(conn)->tier->memory_bytes;
}

int64_t serve_taken_bytes(struct MHD_Connection *conn)
{
	return connection_taken_bytes(find_connection(conn));
}

int serve_is_costly(struct MHD_Connection *conn)
{
	const struct serve_connection *c = find_connection(conn);

	return c->tier == &c->serve->large &&
	       c->tier->n > connection_large_kept_max(c->serve);
}
