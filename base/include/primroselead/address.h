#ifndef PRIMROSELEAD_ADDRESS_H
#define PRIMROSELEAD_ADDRESS_H

#include <stddef.h>
#include <sys/socket.h>

/** Size of an address in text ("127.0.0.1:80", "[::1]:80"), end included. */
#define PRL_ADDRESS_MAX 56

/**
 * Reads an IP number and port. Fills the socket address and its length.
 * Returns 0, or -1 if the text is no address; names are never resolved.
 */
int prl_address_parse(const char *text, struct sockaddr_storage *addr,
		      socklen_t *len);

/** Writes an address as prl_address_parse reads it. */
void prl_address_format(const struct sockaddr_storage *addr, char *text,
			size_t size);

#endif
