/* Loaded into the VMs of the second group (LD_PRELOAD): what they connect to
 * the links of the first group goes to those of the second one. All VMs learn
 * the same addresses of upstreams, and yet have links of their own. */
#undef _GNU_SOURCE
#define _DEFAULT_SOURCE
#include "links.h"
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

/* The port to connect to in place of another one. */
static int moved_port(int port)
{
	const char *text = getenv(SOAK_LINKS_VARIABLE);
	int first;
	int count;
	int shift;

	if (!text || sscanf(text, "%d,%d,%d", &first, &count, &shift) != 3)
		return port;
	return port >= first && port < first + count ? port + shift : port;
}

int connect(int fd, const struct sockaddr *addr, socklen_t len)
{
	struct sockaddr_in to;

	if (addr->sa_family != AF_INET || len < sizeof(to))
		return (int)syscall(SYS_connect, fd, addr, len);
	memcpy(&to, addr, sizeof(to));
	to.sin_port = htons((uint16_t)moved_port(ntohs(to.sin_port)));
	return (int)syscall(SYS_connect, fd, &to, sizeof(to));
}
