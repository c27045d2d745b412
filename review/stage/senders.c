/* Callers that send slowly. Each makes a connection to an entry VM and sends an
 * upload on it, a few bytes at a time; when it gets an answer, or its
 * connection ends, it begins again. Options, each "--name=value":
 *
 * port        of the entry VM
 * callers     number of them
 * body        bytes of each upload
 * bytes, every_ms  it sends so many bytes at a time
 * per_s       callers that begin in a second
 * seconds     for which they go on
 */
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CALLERS_MAX 4096
#define DEADLINE_MS 20000
#define AGAIN_MS 1000
#define TICK_MS 5
#define PIECE_MAX 4096

struct sender {
	int fd;
	int64_t next_ms;
	/** Bytes of the body that are still to be sent; -1 before its head. */
	long left;
};

static struct {
	int port;
	int callers;
	long body;
	int bytes;
	int every_ms;
	int per_s;
	int seconds;
} options = {.callers = 100,
	     .body = 100000,
	     .bytes = 600,
	     .every_ms = 250,
	     .per_s = 500,
	     .seconds = 30};

static struct sender sender[CALLERS_MAX];
static unsigned long nupload;

static int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static int connect_to(int port)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	if (fcntl(fd, F_SETFL, O_NONBLOCK) ||
	    (connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	     errno != EINPROGRESS)) {
		close(fd);
		return -1;
	}
	return fd;
}

static void end(struct sender *s, int64_t now)
{
	if (s->fd >= 0)
		close(s->fd);
	s->fd = -1;
	s->next_ms = now + AGAIN_MS;
}

/* Returns the bytes sent, 0 if none can be sent now, -1 at an error. */
static ssize_t send_some(const struct sender *s, const char *text, size_t n)
{
	ssize_t rc = send(s->fd, text, n, MSG_NOSIGNAL);

	if (rc < 0)
		return errno == EAGAIN ? 0 : -1;
	return rc;
}

static void send_head(struct sender *s, int64_t now)
{
	char text[512];
	int n = snprintf(text, sizeof(text),
			 "POST /once/3 HTTP/1.1\r\nHost: h.example\r\n"
			 "X-Request-Id: s%d-%lu\r\n"
			 "X-Deadline-Remaining-Ms: %d\r\n"
			 "Content-Length: %ld\r\n\r\n",
			 (int)getpid(), nupload, DEADLINE_MS, options.body);
	ssize_t rc = send_some(s, text, (size_t)n);

	if (!rc)
		return;
	if (rc != n) {
		end(s, now);
		return;
	}
	nupload++;
	s->left = options.body;
}

static void send_body(struct sender *s, int64_t now)
{
	static const char piece[PIECE_MAX];
	size_t n = (size_t)options.bytes;
	char answer[512];
	ssize_t rc;

	if (recv(s->fd, answer, sizeof(answer), 0) >= 0 || errno != EAGAIN) {
		end(s, now);
		return;
	}
	if ((long)n > s->left)
		n = (size_t)s->left;
	rc = n ? send_some(s, piece, n) : 0;
	if (rc < 0)
		end(s, now);
	else
		s->left -= rc;
}

static void step(struct sender *s, int64_t now)
{
	if (now < s->next_ms)
		return;
	s->next_ms = now + options.every_ms;
	if (s->fd < 0) {
		s->fd = connect_to(options.port);
		s->left = -1;
	} else if (s->left < 0)
		send_head(s, now);
	else
		send_body(s, now);
}

static void read_options(int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		sscanf(argv[i], "--port=%d", &options.port);
		sscanf(argv[i], "--callers=%d", &options.callers);
		sscanf(argv[i], "--body=%ld", &options.body);
		sscanf(argv[i], "--bytes=%d", &options.bytes);
		sscanf(argv[i], "--every_ms=%d", &options.every_ms);
		sscanf(argv[i], "--per_s=%d", &options.per_s);
		sscanf(argv[i], "--seconds=%d", &options.seconds);
	}
}

int main(int argc, char **argv)
{
	struct timespec tick = {0, TICK_MS * 1000000L};
	int64_t begin;

	read_options(argc, argv);
	if (options.callers > CALLERS_MAX || options.bytes > PIECE_MAX)
		return 2;
	begin = now_ms();
	for (int i = 0; i < options.callers; i++)
		sender[i] = (struct sender){
			.fd = -1, .next_ms = begin + i * 1000 / options.per_s};
	while (now_ms() < begin + options.seconds * 1000) {
		for (int i = 0; i < options.callers; i++)
			step(&sender[i], now_ms());
		nanosleep(&tick, NULL);
	}
	return 0;
}
