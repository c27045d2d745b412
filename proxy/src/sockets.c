#include "sockets.h"
#include <linux/sockios.h>
#include <poll.h>
#include <primroselead/hash.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>

/* Entries of the first allocation. */
#define ALLOCATED_MIN_ENTRIES 64

uint64_t sockets_hash_endpoints(const char *ip, int port, int local_port)
{
	char text[96];
	int n = snprintf(text, sizeof(text), "%.63s %d %d", ip, port,
			 local_port);

	return prl_hash64(text, (size_t)n, 0) | 1;
}

static struct proxy_socket *find_socket(struct proxy_sockets *s, int fd)
{
	for (int i = 0; i < s->n; i++)
		if (s->socket[i].fd == fd)
			return &s->socket[i];
	return NULL;
}

static struct proxy_socket *find_connection(const struct proxy_sockets *s,
					    uint64_t endpoint_hash)
{
	for (int i = 0; i < s->n; i++)
		if (s->socket[i].endpoint_hash == endpoint_hash)
			return &s->socket[i];
	return NULL;
}

int sockets_add(struct proxy_sockets *s, int fd)
{
	if (s->n == s->allocated) {
		int allocated =
			s->allocated ? s->allocated * 2 : ALLOCATED_MIN_ENTRIES;
		struct proxy_socket *table =
			realloc(s->socket, (size_t)allocated * sizeof(*table));

		if (!table)
			return -1;
		s->socket = table;
		s->allocated = allocated;
	}
	s->socket[s->n++] = (struct proxy_socket){.fd = fd};
	return 0;
}

void sockets_set_endpoints(struct proxy_sockets *s, int fd,
			   uint64_t endpoint_hash)
{
	struct proxy_socket *socket = find_socket(s, fd);

	if (!socket)
		return;
	socket->endpoint_hash = endpoint_hash;
	/* An earlier connection may have had the same endpoints. */
	for (int i = 0; i < SOCKETS_CLOSED_MAX; i++)
		if (s->unacked[i] == endpoint_hash)
			s->unacked[i] = 0;
}

static void free_answers(struct proxy_socket *socket)
{
	if (socket->answers)
		g_array_free(socket->answers, TRUE);
	socket->answers = NULL;
}

void sockets_remove(struct proxy_sockets *s, int fd)
{
	struct proxy_socket *socket = find_socket(s, fd);
	int waiting = 0;

	if (!socket)
		return;
	if (!ioctl(fd, SIOCOUTQ, &waiting) && waiting)
		s->unacked[s->nunacked++ % SOCKETS_CLOSED_MAX] =
			socket->endpoint_hash;
	free_answers(socket);
	*socket = s->socket[--s->n];
}

int sockets_was_unacked(const struct proxy_sockets *s, uint64_t endpoint_hash)
{
	for (int i = 0; i < SOCKETS_CLOSED_MAX; i++)
		if (s->unacked[i] == endpoint_hash)
			return 1;
	return 0;
}

int sockets_is_stale(const struct proxy_sockets *s, uint64_t endpoint_hash)
{
	const struct proxy_socket *socket = find_connection(s, endpoint_hash);
	struct pollfd p = {.events = POLLIN};

	if (!socket || socket->is_worn)
		return 1;
	p.fd = socket->fd;
	return poll(&p, 1, 0) != 0;
}

int sockets_count_use(struct proxy_sockets *s, uint64_t endpoint_hash)
{
	struct proxy_socket *socket = find_connection(s, endpoint_hash);

	return socket ? ++socket->uses : 0;
}

void sockets_set_names_attempts(struct proxy_sockets *s, uint64_t endpoint_hash)
{
	struct proxy_socket *socket = find_connection(s, endpoint_hash);

	if (socket)
		socket->names_attempts = 1;
}

int sockets_names_attempts(const struct proxy_sockets *s,
			   uint64_t endpoint_hash)
{
	const struct proxy_socket *socket = find_connection(s, endpoint_hash);

	return socket ? socket->names_attempts : 0;
}

static struct socket_answer *answer_at(const struct proxy_socket *socket,
				       guint i)
{
	return &g_array_index(socket->answers, struct socket_answer, i);
}

static void forget_expired(struct proxy_socket *socket, int64_t now)
{
	guint i = 0;

	while (i < socket->answers->len)
		if (answer_at(socket, i)->until_ms < now)
			g_array_remove_index_fast(socket->answers, i);
		else
			i++;
}

void sockets_note_answer(struct proxy_sockets *s, uint64_t endpoint_hash,
			 uint64_t id_hash, int64_t until_ms, int64_t now_ms)
{
	struct proxy_socket *socket = find_connection(s, endpoint_hash);
	struct socket_answer answer = {id_hash, until_ms};

	if (!socket)
		return;
	if (!socket->answers)
		socket->answers = g_array_new(FALSE, FALSE, sizeof(answer));
	forget_expired(socket, now_ms);
	if (socket->answers->len < SOCKET_ANSWERS_MAX)
		g_array_append_val(socket->answers, answer);
	else
		socket->is_worn = 1;
}

int sockets_has_answered(const struct proxy_sockets *s, uint64_t endpoint_hash,
			 uint64_t id_hash, int64_t now_ms)
{
	const struct proxy_socket *socket = find_connection(s, endpoint_hash);

	for (guint i = 0; socket && socket->answers && i < socket->answers->len;
	     i++)
		if (answer_at(socket, i)->id_hash == id_hash &&
		    answer_at(socket, i)->until_ms >= now_ms)
			return 1;
	return 0;
}

void sockets_finish(struct proxy_sockets *s)
{
	for (int i = 0; i < s->n; i++)
		free_answers(&s->socket[i]);
	free(s->socket);
	memset(s, 0, sizeof(*s));
}
