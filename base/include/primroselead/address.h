#ifndef PRIMROSELEAD_ADDRESS_H
#define PRIMROSELEAD_ADDRESS_H

#include <stddef.h>
#include <sys/socket.h>

/** Size in bytes of an address as text ("127.0.0.1:80", "[::1]:80"), including
 * the terminating null byte. */
#define PRL_ADDRESS_MAX 56

/**
 * Parses a numeric IPv4 address or a bracketed IPv6 address with a port from
 * 1 to 65535 into a socket address and its length. Host names are not resolved.
 * Returns 0, or -1 if the text is not such an address.
 */
int prl_address_parse(const char *text, struct sockaddr_storage *addr,
		      socklen_t *len);

/** Formats an IPv4 or IPv6 socket address as prl_address_parse() accepts it. A
 * buffer of PRL_ADDRESS_MAX bytes is large enough. */
void prl_address_format(const struct sockaddr_storage *addr, char *text,
			size_t size);

#endif
