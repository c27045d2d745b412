#include "port.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

int port_find_free(void)
{
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int port = -1;

	if (!bind(fd, (struct sockaddr *)&addr, len) &&
	    !getsockname(fd, (struct sockaddr *)&addr, &len))
		port = ntohs(addr.sin_port);
	close(fd);
	return port;
}
