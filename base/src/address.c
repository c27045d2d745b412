#include <arpa/inet.h>
#include <netinet/in.h>
#include <primroselead/address.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int parse_port(const char *text)
{
	char *end;
	long port = strtol(text, &end, 10);

	/* strtol also takes blanks and a sign before the digits. */
	if (strspn(text, "0123456789") != strlen(text) || end == text ||
	    port < 1 || port > 65535)
		return -1;
	return (int)port;
}

static int parse_v4(const char *host, int port, struct sockaddr_storage *addr,
		    socklen_t *len)
{
	struct sockaddr_in *sin = (struct sockaddr_in *)addr;

	if (inet_pton(AF_INET, host, &sin->sin_addr) != 1)
		return -1;
	sin->sin_family = AF_INET;
	sin->sin_port = htons((uint16_t)port);
	*len = sizeof(*sin);
	return 0;
}

static int parse_v6(const char *host, int port, struct sockaddr_storage *addr,
		    socklen_t *len)
{
	struct sockaddr_in6 *sin = (struct sockaddr_in6 *)addr;

	if (inet_pton(AF_INET6, host, &sin->sin6_addr) != 1)
		return -1;
	sin->sin6_family = AF_INET6;
	sin->sin6_port = htons((uint16_t)port);
	*len = sizeof(*sin);
	return 0;
}

int prl_address_parse(const char *text, struct sockaddr_storage *addr,
		      socklen_t *len)
{
	char host[PRL_ADDRESS_MAX];
	const char *colon = strrchr(text, ':');
	size_t n;
	int port;

	if (!colon || colon == text)
		return -1;
	port = parse_port(colon + 1);
	n = (size_t)(colon - text);
	if (port < 0 || n >= sizeof(host))
		return -1;
	memset(addr, 0, sizeof(*addr));
	if (text[0] == '[' && colon[-1] == ']' && n > 2) {
		memcpy(host, text + 1, n - 2);
		host[n - 2] = 0;
		return parse_v6(host, port, addr, len);
	}
	memcpy(host, text, n);
	host[n] = 0;
	return parse_v4(host, port, addr, len);
}

void prl_address_format(const struct sockaddr_storage *addr, char *text,
			size_t size)
{
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)addr;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)addr;
	char host[INET6_ADDRSTRLEN] = "";

	if (addr->ss_family == AF_INET6) {
		inet_ntop(AF_INET6, &v6->sin6_addr, host, sizeof(host));
		snprintf(text, size, "[%s]:%d", host, ntohs(v6->sin6_port));
		return;
	}
	inet_ntop(AF_INET, &v4->sin_addr, host, sizeof(host));
	snprintf(text, size, "%s:%d", host, ntohs(v4->sin_port));
}
