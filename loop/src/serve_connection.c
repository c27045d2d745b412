#include "serve_connection.h"
#include <errno.h>
#include <fcntl.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <primroselead/clock.h>
#include <primroselead/head_need.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time for which the rest of a head is awaited before its room is known, in
 * ms. */
#define PART_WAIT_MS 1000

/* Time after which a listener without descriptors tries again, in ms. */
#define LISTEN_AGAIN_MS 100

/* Bytes of answers that the kernel holds of a connection without having sent
 * them, about. By default it holds megabytes for a caller that does not read,
 * and what it takes looks like progress. */
#define UNSENT_MAX_BYTES 65536

/* Bytes that a caller has to read between two looks to make progress. */
#define READ_MIN_BYTES 1024

/* Bytes that are looked at of a connection, at most. */
#define WINDOW_MAX 16384

static void link_connection(struct serve *s, struct serve_connection *c)
{
	c->next = s->connections;
	if (c->next)
		c->next->prev = c;
	s->connections = c;
	s->nconnection++;
}

static void unlink_connection(struct serve *s, struct serve_connection *c)
{
	if (c->prev)
		c->prev->next = c->next;
	else
		s->connections = c->next;
	if (c->next)
		c->next->prev = c->prev;
	if (c->state != CONNECTION_MOVED)
		s->nconnection--;
}

static void unlink_ended(struct serve *s, const struct serve_connection *c)
{
	struct serve_connection **p = &s->ended;

	while (*p && *p != c)
		p = &(*p)->next_ended;
	if (*p)
		*p = c->next_ended;
}

/* Watches a new or parked connection from now on. Events of others are
 * ignored: that costs less than to watch it anew for each request. Returns 0,
 * or -1 if it can't be watched. */
static int watch(struct serve_connection *c)
{
	if (!c->is_watched && loop_add(c->serve->loop, &c->fd,
				       EPOLLIN | EPOLLRDHUP | EPOLLET, NULL))
		return -1;
	c->is_watched = 1;
	return 0;
}

static void unwatch(struct serve_connection *c)
{
	if (c->is_watched)
		loop_remove(c->serve->loop, &c->fd);
	c->is_watched = 0;
}

void connection_wake_sweep(struct serve *s, int64_t deadline_ms)
{
	if (deadline_ms < s->idle_timer.deadline_ms)
		s->idle_timer.deadline_ms = deadline_ms;
}

static void stop_awaiting_room(struct serve_connection *c)
{
	c->serve->nwaiting -= (unsigned int)c->awaits_room;
	c->awaits_room = 0;
}

static void release_tier(const struct serve_connection *c)
{
	struct serve *s = c->serve;

	c->tier->n--;
	if (c->tier == &s->large && s->nwaiting)
		connection_wake_sweep(s, prl_now_ms());
}

/* Frees a connection whose descriptor is still open. */
static void free_connection(struct serve_connection *c)
{
	struct serve *s = c->serve;

	unwatch(c);
	unlink_connection(s, c);
	if (c->has_ended)
		unlink_ended(s, c);
	stop_awaiting_room(c);
	if (c->tier)
		release_tier(c);
	g_hash_table_remove(s->by_fd, GINT_TO_POINTER(c->fd.fd));
	g_free(c);
	if (s->is_full && s->nconnection < s->connections_max)
		serve_listen(s, 1);
}

/* The library is about to read a request: its time begins now, not when the one
 * before began. */
static void set_busy(struct serve_connection *c)
{
	c->state = CONNECTION_BUSY;
	c->begun_ms = prl_now_ms();
	c->progress_ms = c->begun_ms;
}

static void resume(struct serve_connection *c)
{
	set_busy(c);
	MHD_resume_connection(c->mhd);
	serve_wake(c->tier);
}

/* Ends a suspended connection: the library finds it closed. */
void connection_end_suspended(struct serve_connection *c)
{
	shutdown(c->fd.fd, SHUT_RDWR);
	if (c->state == CONNECTION_MOVED)
		c->serve->nconnection++;
	resume(c);
}

/* Gives a connection to a daemon, which closes the descriptor if it does not
 * take it. */
static void give(struct serve_connection *c, struct serve_tier *t)
{
	struct serve *s = c->serve;
	struct sockaddr_storage addr = {0};
	socklen_t len = sizeof(addr);

	c->tier = t;
	set_busy(c);
	t->n++;
	g_hash_table_insert(s->by_fd, GINT_TO_POINTER(c->fd.fd), c);
	getpeername(c->fd.fd, (struct sockaddr *)&addr, &len);
	if (MHD_add_connection(t->mhd, c->fd.fd, (struct sockaddr *)&addr,
			       len) == MHD_YES) {
		serve_wake(t);
		return;
	}
	connection_closed(c);
}

void connection_close_new(struct serve_connection *c)
{
	int fd = c->fd.fd;

	free_connection(c);
	close(fd);
}

/* Returns 0, or -1 if the kernel does not tell all of the fields in use. */
static int read_tcp_info(const struct serve_connection *c,
			 struct tcp_info *info)
{
	socklen_t len = sizeof(*info);

	memset(info, 0, sizeof(*info));
	if (getsockopt(c->fd.fd, IPPROTO_TCP, TCP_INFO, info, &len) ||
	    len < offsetof(struct tcp_info, tcpi_bytes_received) +
			    sizeof(info->tcpi_bytes_received))
		return -1;
	return 0;
}

/* Bytes that the library has read of a connection; -1 if that is not known. */
static int64_t count_read_bytes(const struct serve_connection *c)
{
	struct tcp_info info;
	int waiting = 0;

	if (read_tcp_info(c, &info) || ioctl(c->fd.fd, FIONREAD, &waiting))
		return -1;
	return (int64_t)info.tcpi_bytes_received - waiting;
}

/* Begins to count anew where the length of a request was not known. If a part
 * of the next one was read with it, the library finds a longer method than what
 * waits begins with (check_method). */
static void count_anew(struct serve_connection *c, const char *bytes, size_t n)
{
	const char *end = memchr(bytes, ' ', n);

	if (!end || end == bytes)
		return;
	c->request_bytes = count_read_bytes(c);
	c->method_len = (size_t)(end - bytes);
}

static struct serve_connection *new_connection(struct serve *s, int fd);

/* Moves a parked connection to the daemon with more memory. Returns 0, or -1 if
 * it has to stay. */
static int move(struct serve_connection *c)
{
	struct serve_connection *to;
	int fd;

	if (c->request_bytes < 0 || count_read_bytes(c) != c->request_bytes)
		return -1;
	fd = fcntl(c->fd.fd, F_DUPFD_CLOEXEC, 0);
	if (fd < 0)
		return -1;
	to = new_connection(c->serve, fd);
	unwatch(c);
	c->state = CONNECTION_MOVED;
	c->serve->nconnection--;
	to->moved_from = c;
	to->request_bytes = -1;
	give(to, &c->serve->large);
	return 0;
}

void connection_await(struct serve_connection *c, int ms)
{
	c->deadline_ms = prl_now_ms() + ms;
	connection_wake_sweep(c->serve, c->deadline_ms);
}

int connection_has_room(const struct serve *s)
{
	return s->large.n < s->large_max;
}

/* Whether the connection needs the larger memory and does not have it. */
static int lacks_room(const struct serve_connection *c, enum head_need need)
{
	if (need != HEAD_NEED_ROOM || !c->serve->large.mhd)
		return 0;
	return c->state == CONNECTION_NEW || c->tier != &c->serve->large;
}

static void await_room(struct serve_connection *c)
{
	struct serve *s = c->serve;

	c->has_part = 0;
	c->awaits_room = 1;
	s->nwaiting++;
	connection_await(c, s->idle_ms);
	connection_wake_sweep(s, prl_now_ms());
}

/* Chooses the daemon for the requests that wait, or goes on with the present
 * one. */
void connection_proceed(struct serve_connection *c, enum head_need need,
			int64_t first_bytes)
{
	struct serve *s = c->serve;

	if (need == HEAD_NEED_ROOM_LATER)
		need = connection_has_room(s) ? HEAD_NEED_ROOM : HEAD_NEED_FITS;
	c->has_part = 0;
	if (need == HEAD_NEED_ROOM && c->state == CONNECTION_PARKED &&
	    c->tier != &s->large && !move(c))
		return;
	if (c->request_bytes >= 0)
		c->request_bytes =
			first_bytes < 0 ? -1 : c->request_bytes + first_bytes;
	if (c->state == CONNECTION_NEW) {
		give(c,
		     need == HEAD_NEED_FITS ? serve_usual_tier(s) : &s->large);
		return;
	}
	resume(c);
}

/* Looks at what waits on a new or parked connection. Returns 0 if it goes on
 * waiting. */
static int look(struct serve_connection *c)
{
	char bytes[WINDOW_MAX];
	size_t memory = c->serve->memory_bytes;
	size_t window = head_need_window(memory);
	ssize_t n = recv(c->fd.fd, bytes,
			 window < sizeof(bytes) ? window : sizeof(bytes),
			 MSG_PEEK | MSG_DONTWAIT);
	int64_t first_bytes = -1;
	enum head_need need;

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return 0;
	if (n <= 0) {
		if (c->state == CONNECTION_NEW)
			connection_close_new(c);
		else
			resume(c);
		return 1;
	}
	need = head_need(bytes, (size_t)n, memory, &first_bytes);
	if (need == HEAD_NEED_MORE) {
		if (!c->has_part) {
			c->is_late = 0;
			connection_await(c, PART_WAIT_MS);
		}
		c->has_part = 1;
		return 0;
	}
	if (lacks_room(c, need) && !connection_has_room(c->serve)) {
		await_room(c);
		return 0;
	}
	if (c->state == CONNECTION_PARKED && c->request_bytes < 0 &&
	    need == HEAD_NEED_FITS)
		count_anew(c, bytes, (size_t)n);
	connection_proceed(c, need, first_bytes);
	return 1;
}

static void on_readable(struct loop_fd *f, uint32_t events)
{
	struct serve_connection *c = f->ctx;

	(void)events;
	if (!c->awaits_room &&
	    (c->state == CONNECTION_NEW || c->state == CONNECTION_PARKED))
		look(c);
}

static struct serve_connection *new_connection(struct serve *s, int fd)
{
	struct serve_connection *c = g_new0(struct serve_connection, 1);

	c->serve = s;
	c->progress_ms = prl_now_ms();
	c->fd.fd = fd;
	c->fd.on_ready = on_readable;
	c->fd.ctx = c;
	link_connection(s, c);
	return c;
}

static void begin_new(struct serve *s, int fd)
{
	struct serve_connection *c = new_connection(s, fd);
	int one = 1;
	int unsent = UNSENT_MAX_BYTES;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent, sizeof(unsent));
	if (!s->large.mhd) {
		give(c, serve_usual_tier(s));
		return;
	}
	connection_await(c, s->idle_ms);
	if (!look(c) && watch(c))
		connection_close_new(c);
}

void connection_accept_all(struct serve *s)
{
	while (s->nconnection < s->connections_max) {
		int fd = accept4(s->listener.fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd >= 0)
			begin_new(s, fd);
		else if (errno == EAGAIN)
			return;
		else if (errno != ECONNABORTED && errno != EINTR)
			break;
	}
	/* No room, or no descriptors or memory for now. */
	serve_listen(s, 0);
	connection_wake_sweep(s, prl_now_ms() + LISTEN_AGAIN_MS);
}

struct serve_connection *connection_opened(struct serve *s,
					   struct MHD_Connection *mhd)
{
	int fd = MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
			 ->connect_fd;
	struct serve_connection *c =
		g_hash_table_lookup(s->by_fd, GINT_TO_POINTER(fd));

	if (c)
		c->mhd = mhd;
	return c;
}

void connection_closed(struct serve_connection *c)
{
	struct serve_connection *from = c->moved_from;
	int is_finishing = c->serve->is_finishing;

	free_connection(c);
	if (from && !is_finishing)
		connection_end_suspended(from);
}

void connection_begun(struct serve_connection *c)
{
	c->begun_ms = prl_now_ms();
	c->progress_ms = c->begun_ms;
	c->is_head_read = 0;
	c->is_received = 0;
	c->taken_bytes = -1;
	if (!c->has_ended)
		return;
	/* The library had read another request with the one before. */
	c->has_ended = 0;
	c->request_bytes = -1;
	unlink_ended(c->serve, c);
}

int64_t connection_taken_bytes(const struct serve_connection *c)
{
	struct tcp_info info;

	return read_tcp_info(c, &info) ? -1 : (int64_t)info.tcpi_bytes_acked;
}

void connection_note_reading(struct serve_connection *c, int64_t now)
{
	int64_t taken;

	if (c->state != CONNECTION_BUSY || !c->is_received)
		return;
	taken = connection_taken_bytes(c);
	if (c->taken_bytes >= 0 && taken < c->taken_bytes + READ_MIN_BYTES)
		return;
	c->taken_bytes = taken;
	c->progress_ms = now;
}

static void check_method(struct serve_connection *c, const char *method)
{
	if (c->method_len && strlen(method) != c->method_len)
		c->request_bytes = -1;
	c->method_len = 0;
}

void connection_received(struct serve_connection *c, const char *method,
			 size_t len)
{
	check_method(c, method);
	/* The first call comes before the body. */
	if (!c->is_head_read)
		c->is_head_read = 1;
	else if (!len)
		c->is_received = 1;
	c->progress_ms = prl_now_ms();
}

void connection_ended(struct serve_connection *c)
{
	if (c->has_ended || !c->serve->large.mhd)
		return;
	c->has_ended = 1;
	c->next_ended = c->serve->ended;
	c->serve->ended = c;
}

static void park(struct serve_connection *c)
{
	struct serve *s = c->serve;

	MHD_suspend_connection(c->mhd);
	c->state = CONNECTION_PARKED;
	c->has_part = 0;
	c->progress_ms = prl_now_ms();
	connection_await(c, s->idle_ms);
	if (c->tier == &s->large && s->large.n > connection_large_kept_max(s))
		connection_end_suspended(c);
	else if (!look(c) && watch(c))
		connection_end_suspended(c);
}

void connection_park_ended(struct serve *s)
{
	while (s->ended) {
		struct serve_connection *c = s->ended;

		s->ended = c->next_ended;
		c->has_ended = 0;
		park(c);
	}
}

void connection_give_room(struct serve_connection *c)
{
	stop_awaiting_room(c);
	look(c);
}

void connection_release_all(struct serve *s)
{
	struct serve_connection *next;

	for (struct serve_connection *c = s->connections; c; c = next) {
		next = c->next;
		switch (c->state) {
		case CONNECTION_NEW:
			connection_close_new(c);
			break;
		case CONNECTION_PARKED:
		case CONNECTION_MOVED:
			connection_end_suspended(c);
			break;
		case CONNECTION_BUSY:
			break;
		}
	}
}

void connection_free_all(struct serve *s)
{
	struct serve_connection *next;

	for (struct serve_connection *c = s->connections; c; c = next) {
		next = c->next;
		free_connection(c);
	}
}
