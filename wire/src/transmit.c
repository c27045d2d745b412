#include <primroselead/wire.h>

void wire_transmit(int fd, const void *data, size_t len,
		   const struct sockaddr_storage *to, socklen_t to_len)
{
	/* A datagram that can't be sent is a lost one, which callers bear. */
	(void)!sendto(fd, data, len, MSG_DONTWAIT, (const struct sockaddr *)to,
		      to_len);
}
