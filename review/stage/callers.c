/* Callers of requests that must not run twice. Each keeps a connection to an
 * entry VM, sends one request after the other, each with an id of its own, and
 * waits for the answer. Options, each "--name=value":
 *
 * ports     of the entry VMs, separated by commas; callers take turns
 * callers   number of them
 * keys      objects that the requests are about
 * pause_ms  time between two requests of one caller
 * seconds   for which they send
 * record    file to which they append "sent ID" and "answer ID STATUS"
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define PORTS_MAX 16
#define CALLERS_MAX 64
#define ANSWER_MAX 4096
/* What callers wait, in ms, and a margin after which they give up, in s. */
#define DEADLINE_MS 4000
#define MARGIN_S 2

static struct {
	int port[PORTS_MAX];
	int nport;
	int callers;
	int keys;
	int pause_ms;
	int seconds;
	char record[512];
} options = {.callers = 4, .keys = 25, .pause_ms = 200, .seconds = 30};

static double end_s;

static double now_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

static void sleep_ms(int ms)
{
	struct timespec t = {ms / 1000, (long)(ms % 1000) * 1000000};

	nanosleep(&t, NULL);
}

static void record(const char *what, const char *id, const char *status)
{
	char line[200];
	int fd = open(options.record, O_WRONLY | O_APPEND | O_CREAT, 0644);
	int n = snprintf(line, sizeof(line), "%s %s %s\n", what, id, status);

	if (fd < 0 || write(fd, line, (size_t)n) < 0)
		perror(options.record);
	if (fd >= 0)
		close(fd);
}

static int connect_to(int port)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	struct timeval limit = {DEADLINE_MS / 1000 + MARGIN_S, 0};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&to, sizeof(to))) {
		close(fd);
		return -1;
	}
	return fd;
}

/* Reads a whole answer, of which the length is given. Returns its status, 0 if
 * the connection ended before. */
static int read_answer(int fd, char *buf, size_t size)
{
	size_t len = 0;
	const char *end;
	const char *length;

	for (;;) {
		ssize_t n = recv(fd, buf + len, size - 1 - len, 0);

		if (n <= 0)
			return 0;
		len += (size_t)n;
		buf[len] = 0;
		end = strstr(buf, "\r\n\r\n");
		length = strcasestr(buf, "\r\nContent-Length:");
		if (end && length &&
		    len >= (size_t)(end + 4 - buf) +
				    strtoul(length + 17, NULL, 10))
			return (int)strtol(buf + 9, NULL, 10);
	}
}

static int ask(int fd, const char *id, int key, char *buf, size_t size)
{
	int n = snprintf(buf, size,
			 "POST /once/3 HTTP/1.1\r\nHost: h.example\r\n"
			 "X-Request-Id: %s\r\nX-Deadline-Remaining-Ms: %d\r\n"
			 "X-Affinity-Key: %d\r\n"
			 "Content-Length: 3\r\n\r\nabc",
			 id, DEADLINE_MS, key);

	if (send(fd, buf, (size_t)n, MSG_NOSIGNAL) != n)
		return 0;
	return read_answer(fd, buf, size);
}

static void *call(void *ctx)
{
	int self = (int)(intptr_t)ctx;
	int port = options.port[self % options.nport];
	char buf[ANSWER_MAX];
	char id[40];
	char status[16];
	int fd = -1;

	sleep_ms(options.pause_ms * self / options.callers);
	for (int k = 0; now_s() < end_s; k++) {
		int code;

		if (fd < 0)
			fd = connect_to(port);
		if (fd >= 0) {
			snprintf(id, sizeof(id), "c%d-%d", self, k);
			record("sent", id, "");
			code = ask(fd, id, (self * 7 + k) % options.keys, buf,
				   sizeof(buf));
			snprintf(status, sizeof(status), "%d", code);
			record("answer", id, status);
			if (!code || strcasestr(buf, "\r\nConnection: close")) {
				close(fd);
				fd = -1;
			}
		}
		sleep_ms(options.pause_ms);
	}
	if (fd >= 0)
		close(fd);
	return NULL;
}

static void read_ports(const char *text)
{
	char *end;

	while (options.nport < PORTS_MAX && *text) {
		options.port[options.nport++] = (int)strtol(text, &end, 10);
		text = *end ? end + 1 : end;
	}
}

int main(int argc, char **argv)
{
	pthread_t thread[CALLERS_MAX];

	for (int i = 1; i < argc; i++) {
		if (!strncmp(argv[i], "--ports=", 8))
			read_ports(argv[i] + 8);
		sscanf(argv[i], "--callers=%d", &options.callers);
		sscanf(argv[i], "--keys=%d", &options.keys);
		sscanf(argv[i], "--pause_ms=%d", &options.pause_ms);
		sscanf(argv[i], "--seconds=%d", &options.seconds);
		sscanf(argv[i], "--record=%511s", options.record);
	}
	if (!options.nport || options.callers > CALLERS_MAX)
		return 2;
	end_s = now_s() + options.seconds;
	for (int i = 0; i < options.callers; i++)
		if (pthread_create(&thread[i], NULL, call, (void *)(intptr_t)i))
			return 2;
	for (int i = 0; i < options.callers; i++)
		pthread_join(thread[i], NULL);
	return 0;
}
