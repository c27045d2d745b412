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

void sockets_remove(struct proxy_sockets *s, int fd)
{
	struct proxy_socket *socket = find_socket(s, fd);
	int waiting = 0;

	if (!socket)
		return;
	if (!ioctl(fd, SIOCOUTQ, &waiting) && waiting)
		s->unacked[s->nunacked++ % SOCKETS_CLOSED_MAX] =
			socket->endpoint_hash;
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
	for (int i = 0; i < s->n; i++) {
		struct pollfd p = {.fd = s->socket[i].fd, .events = POLLIN};

		if (s->socket[i].endpoint_hash == endpoint_hash)
			return poll(&p, 1, 0) != 0;
	}
	return 1;
}

int sockets_count_use(struct proxy_sockets *s, uint64_t endpoint_hash)
{
	for (int i = 0; i < s->n; i++)
		if (s->socket[i].endpoint_hash == endpoint_hash)
			return ++s->socket[i].uses;
	return 0;
}

void sockets_set_names_attempts(struct proxy_sockets *s, uint64_t endpoint_hash)
{
	for (int i = 0; i < s->n; i++)
		if (s->socket[i].endpoint_hash == endpoint_hash)
			s->socket[i].names_attempts = 1;
}

int sockets_names_attempts(const struct proxy_sockets *s,
			   uint64_t endpoint_hash)
{
	for (int i = 0; i < s->n; i++)
		if (s->socket[i].endpoint_hash == endpoint_hash)
			return s->socket[i].names_attempts;
	return 0;
}

void sockets_finish(struct proxy_sockets *s)
{
	free(s->socket);
	memset(s, 0, sizeof(*s));
}
