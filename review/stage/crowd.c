/* Callers that read their answers at a pace. Each keeps a connection to an
 * entry VM and sends safe requests, by turns one with a short answer, which it
 * reads at once, and one with a long answer. At its deadline it gives an answer
 * up and closes the connection. A connection that has ended is made again.
 * Options, each "--name=value":
 *
 * port        of the entry VM
 * callers     number of them
 * answer      bytes of each long answer
 * bytes, every_ms  it reads so many bytes at a time
 * buffer      of its socket, in bytes
 * pause_ms    time between an answer and the next request
 * query       bytes of the query of the requests for a long answer
 * post        1: they are POST requests with a short body
 * deadline_ms of each request
 * per_s       callers that begin in a second
 * seconds     for which they go on
 * record      file to which it appends what became of the requests
 *
 * They announce the segment size of an Ethernet, so that the VM's kernel takes
 * no more of an answer than on a network.
 */
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CALLERS_MAX 4096
#define SEGMENT_BYTES 1400
#define TICK_MS 2
#define HEAD_MAX 1024
#define READ_MAX 65536
#define SHORT_BYTES 3L
#define QUERY_MAX 7000

struct caller {
	int fd;
	int64_t next_ms;
	int64_t give_up_ms;
	/** Bytes of the answer that are still to come; -1 before its head. */
	long left;
	char head[HEAD_MAX];
	size_t head_len;
	int is_asking;
	/** The next answer is to be a long one. */
	int is_long;
};

static struct {
	int port;
	int callers;
	long answer;
	int bytes;
	int buffer;
	int every_ms;
	int pause_ms;
	int per_s;
	int query;
	int post;
	int deadline_ms;
	int seconds;
	char record[512];
} options = {.callers = 100,
	     .answer = 300000,
	     .bytes = 16,
	     .buffer = 4096,
	     .every_ms = 1000,
	     .pause_ms = 1000,
	     .per_s = 400,
	     .deadline_ms = 4000,
	     .seconds = 30};

static struct caller caller[CALLERS_MAX];
static unsigned long sent;
static unsigned long whole;
static unsigned long refused;
static unsigned long ended;
/* Of those: the answer had begun. */
static unsigned long cut;
static unsigned long given_up;

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
	int segment = SEGMENT_BYTES;
	int size = options.buffer;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0)
		return -1;
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
	if (fcntl(fd, F_SETFL, O_NONBLOCK) ||
	    (connect(fd, (struct sockaddr *)&to, sizeof(to)) &&
	     errno != EINPROGRESS)) {
		close(fd);
		return -1;
	}
	return fd;
}

static void end(struct caller *c, int64_t now)
{
	if (c->fd >= 0)
		close(c->fd);
	ended += (unsigned long)c->is_asking;
	cut += (unsigned long)(c->is_asking && c->left > 0);
	c->fd = -1;
	c->is_asking = 0;
	c->is_long = 0;
	c->next_ms = now + options.pause_ms;
}

static void ask(struct caller *c, int64_t now)
{
	static char query[QUERY_MAX + 1];
	char text[QUERY_MAX + 512];
	ssize_t rc;
	int n;

	memset(query, 'q', (size_t)options.query);
	n = snprintf(text, sizeof(text),
		     "%s /once/%ld%s%s HTTP/1.1\r\nHost: h.example\r\n"
		     "X-Request-Id: r%d-%lu\r\n"
		     "X-Deadline-Remaining-Ms: %d\r\n%s\r\n%s",
		     options.post ? "POST" : "GET",
		     c->is_long ? options.answer : SHORT_BYTES,
		     c->is_long && options.query ? "?" : "",
		     c->is_long ? query : "", (int)getpid(), sent,
		     options.deadline_ms,
		     options.post ? "Content-Length: 2\r\n" : "",
		     options.post ? "ab" : "");
	rc = send(c->fd, text, (size_t)n, MSG_NOSIGNAL);
	if (rc < 0 && errno == EAGAIN) {
		c->next_ms = now + TICK_MS;
		return;
	}
	if (rc != n) {
		end(c, now);
		return;
	}
	sent++;
	c->is_asking = 1;
	c->left = -1;
	c->head_len = 0;
	c->give_up_ms = now + options.deadline_ms;
	c->next_ms = now + (c->is_long ? options.every_ms : TICK_MS);
}

/* Reads on in the head of the answer. Returns -1 if it is none. */
static int take_head(struct caller *c, const char *bytes, size_t n)
{
	const char *end_of_head;
	const char *length;
	size_t before = c->head_len;
	size_t kept = n;

	if (kept > HEAD_MAX - 1 - before)
		kept = HEAD_MAX - 1 - before;
	memcpy(c->head + before, bytes, kept);
	c->head_len += kept;
	c->head[c->head_len] = 0;
	end_of_head = strstr(c->head, "\r\n\r\n");
	if (!end_of_head)
		return c->head_len == HEAD_MAX - 1 ? -1 : 0;
	length = strcasestr(c->head, "\r\nContent-Length:");
	if (!length)
		return -1;
	c->left = strtol(length + 17, NULL, 10) -
		  (long)(before + n - (size_t)(end_of_head + 4 - c->head));
	return 0;
}

static void finish(struct caller *c, int64_t now)
{
	if (strstr(c->head, " 200 "))
		whole++;
	else
		refused++;
	c->is_asking = 0;
	c->next_ms = now + (c->is_long ? options.pause_ms : TICK_MS);
	c->is_long = !c->is_long;
	if (strcasestr(c->head, "\r\nConnection: close")) {
		close(c->fd);
		c->fd = -1;
	}
}

static void read_on(struct caller *c, int64_t now)
{
	static char bytes[READ_MAX];
	ssize_t n = recv(c->fd, bytes,
			 c->is_long ? (size_t)options.bytes : READ_MAX, 0);

	c->next_ms = now + (c->is_long ? options.every_ms : TICK_MS);
	if (n < 0 && errno == EAGAIN)
		return;
	if (n <= 0) {
		end(c, now);
		return;
	}
	if (c->left >= 0)
		c->left -= n;
	else if (take_head(c, bytes, (size_t)n)) {
		end(c, now);
		return;
	}
	if (!c->left)
		finish(c, now);
}

static void step(struct caller *c, int64_t now)
{
	if (c->is_asking && now >= c->give_up_ms) {
		given_up++;
		c->is_asking = 0;
		end(c, now);
	}
	if (now < c->next_ms)
		return;
	if (c->fd < 0) {
		c->fd = connect_to(options.port);
		c->next_ms = now + (c->fd < 0 ? options.pause_ms : TICK_MS);
	} else if (c->is_asking)
		read_on(c, now);
	else
		ask(c, now);
}

static void read_options(int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		sscanf(argv[i], "--port=%d", &options.port);
		sscanf(argv[i], "--callers=%d", &options.callers);
		sscanf(argv[i], "--answer=%ld", &options.answer);
		sscanf(argv[i], "--bytes=%d", &options.bytes);
		sscanf(argv[i], "--buffer=%d", &options.buffer);
		sscanf(argv[i], "--every_ms=%d", &options.every_ms);
		sscanf(argv[i], "--pause_ms=%d", &options.pause_ms);
		sscanf(argv[i], "--per_s=%d", &options.per_s);
		sscanf(argv[i], "--query=%d", &options.query);
		sscanf(argv[i], "--post=%d", &options.post);
		sscanf(argv[i], "--deadline_ms=%d", &options.deadline_ms);
		sscanf(argv[i], "--seconds=%d", &options.seconds);
		sscanf(argv[i], "--record=%511s", options.record);
	}
}

int main(int argc, char **argv)
{
	struct timespec tick = {0, TICK_MS * 1000000L};
	int64_t begin;
	FILE *record;

	read_options(argc, argv);
	if (options.callers > CALLERS_MAX || options.bytes > READ_MAX ||
	    options.query > QUERY_MAX)
		return 2;
	begin = now_ms();
	for (int i = 0; i < options.callers; i++)
		caller[i] = (struct caller){
			.fd = -1, .next_ms = begin + i * 1000 / options.per_s};
	while (now_ms() < begin + options.seconds * 1000) {
		for (int i = 0; i < options.callers; i++)
			step(&caller[i], now_ms());
		nanosleep(&tick, NULL);
	}
	record = fopen(options.record, "a");
	if (!record)
		return 2;
	fprintf(record,
		"crowd at port %d: %lu requests sent, %lu answered whole, "
		"%lu refused, %lu ended by the VM, %lu of them in the answer, "
		"%lu given up\n",
		options.port, sent, whole, refused, ended, cut, given_up);
	fclose(record);
	return 0;
}
