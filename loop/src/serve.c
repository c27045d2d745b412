#include <errno.h>
#include <primroselead/address.h>
#include <primroselead/clock.h>
#include <primroselead/serve.h>
#include <stdio.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

/* Size of a message of libmicrohttpd with its end. */
#define MESSAGE_MAX 256

static void run_daemon(struct serve *s)
{
	MHD_UNSIGNED_LONG_LONG ms;

	MHD_run(s->mhd);
	s->timer.deadline_ms = PRL_NEVER;
	if (MHD_get_timeout(s->mhd, &ms) == MHD_YES)
		s->timer.deadline_ms = prl_now_ms() + (int64_t)ms;
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

static struct MHD_Daemon *start_daemon(struct serve *s,
				       const struct serve_options *o,
				       const struct sockaddr *addr)
{
	unsigned int flags =
		MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG;

	if (addr->sa_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	return MHD_start_daemon(
		flags, 0, NULL, NULL, o->handle, o->ctx,
		MHD_OPTION_EXTERNAL_LOGGER, on_message, s, MHD_OPTION_SOCK_ADDR,
		addr, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
		MHD_OPTION_CONNECTION_LIMIT, o->connections_max,
		MHD_OPTION_CONNECTION_TIMEOUT, o->idle_timeout_s,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT, o->connection_memory_bytes,
		MHD_OPTION_UNESCAPE_CALLBACK, skip_unescape, NULL,
		MHD_OPTION_NOTIFY_COMPLETED, o->completed, o->ctx,
		o->begin ? MHD_OPTION_URI_LOG_CALLBACK : MHD_OPTION_END,
		o->begin, o->ctx, MHD_OPTION_END);
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
	s->report = o->report;
	s->ctx = o->ctx;
	s->mhd = start_daemon(s, o, (struct sockaddr *)&addr);
	if (!s->mhd)
		return prl_error_set(err, PRL_E_IO, "can't listen on %s: %s",
				     o->address, strerror(errno));
	s->loop = l;
	s->fd.fd =
		MHD_get_daemon_info(s->mhd, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
	s->fd.on_ready = on_ready;
	s->fd.ctx = s;
	s->timer.on_expiry = on_timer;
	s->timer.ctx = s;
	loop_timer_add(l, &s->timer);
	return loop_add(l, &s->fd, EPOLLIN, err);
}

void serve_finish(struct serve *s)
{
	loop_remove(s->loop, &s->fd);
	loop_timer_remove(s->loop, &s->timer);
	MHD_stop_daemon(s->mhd);
}

void serve_resume(struct serve *s, struct MHD_Connection *conn)
{
	MHD_resume_connection(conn);
	s->timer.deadline_ms = prl_now_ms();
}

void serve_quiesce(struct serve *s)
{
	MHD_socket fd;

	if (s->quiesced)
		return;
	s->quiesced = 1;
	fd = MHD_quiesce_daemon(s->mhd);
	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

unsigned int serve_connection_count(const struct serve *s)
{
	return MHD_get_daemon_info(s->mhd, MHD_DAEMON_INFO_CURRENT_CONNECTIONS)
		->num_connections;
}
