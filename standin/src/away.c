#include "away.h"
#include <primroselead/address.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

/* Sockets whose numbers are remembered. */
#define FDS_MAX 4096

#define BACKLOG 128

static struct {
	pthread_mutex_t lock;
	struct sockaddr_storage address;
	socklen_t len;
	int fd;
	int away_ms;
	/** Set while it is to go away, until it has. */
	int is_ending;
	char is_open[FDS_MAX];
} listener = {.lock = PTHREAD_MUTEX_INITIALIZER};

static int open_socket(void)
{
	int one = 1;
	int fd = socket(listener.address.ss_family, SOCK_STREAM | SOCK_CLOEXEC,
			0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&listener.address, listener.len) ||
	    listen(fd, BACKLOG)) {
		close(fd);
		return -1;
	}
	return fd;
}

int away_listen(const char *address, int away_ms)
{
	listener.away_ms = away_ms;
	if (prl_address_parse(address, &listener.address, &listener.len))
		return -1;
	listener.fd = open_socket();
	return listener.fd < 0 ? -1 : 0;
}

/* Closes the socket, and opens another one once the time is over. */
static void stay_away(void)
{
	int fd;

	pthread_mutex_lock(&listener.lock);
	close(listener.fd);
	listener.fd = -1;
	listener.is_ending = 0;
	pthread_mutex_unlock(&listener.lock);
	do {
		usleep((useconds_t)listener.away_ms * 1000);
		fd = open_socket();
	} while (fd < 0);
	pthread_mutex_lock(&listener.lock);
	listener.fd = fd;
	pthread_mutex_unlock(&listener.lock);
}

static int is_ending(void)
{
	int ending;

	pthread_mutex_lock(&listener.lock);
	ending = listener.is_ending;
	pthread_mutex_unlock(&listener.lock);
	return ending;
}

int away_accept(void)
{
	int fd = accept(listener.fd, NULL, NULL);

	if (is_ending()) {
		if (fd >= 0)
			close(fd);
		stay_away();
		return -1;
	}
	if (fd < 0)
		return -1;
	pthread_mutex_lock(&listener.lock);
	if (fd < FDS_MAX)
		listener.is_open[fd] = 1;
	pthread_mutex_unlock(&listener.lock);
	return fd;
}

void away_remove(int fd)
{
	pthread_mutex_lock(&listener.lock);
	if (fd < FDS_MAX)
		listener.is_open[fd] = 0;
	pthread_mutex_unlock(&listener.lock);
}

void away_end(void)
{
	/* Resets a connection: nobody can tell a body that an orderly end cuts
	 * from one that ends with its connection. */
	const struct sockaddr none = {.sa_family = AF_UNSPEC};

	if (!listener.away_ms)
		_exit(0);
	pthread_mutex_lock(&listener.lock);
	listener.is_ending = 1;
	for (int fd = 0; fd < FDS_MAX; fd++)
		if (listener.is_open[fd])
			(void)connect(fd, &none, sizeof(none));
	/* The accept that is under way returns. */
	if (listener.fd >= 0)
		shutdown(listener.fd, SHUT_RDWR);
	pthread_mutex_unlock(&listener.lock);
}
