#include <primroselead/wire.h>

void wire_transmit(int fd, const void *data, size_t len,
		   const struct sockaddr_storage *to, socklen_t to_len)
{
	/* A failed send is treated as a lost datagram: calls are retransmitted
	 * or time out. */
	(void)!sendto(fd, data, len, MSG_DONTWAIT, (const struct sockaddr *)to,
		      to_len);
}
