/* Stand-in for an upstream of the users' platform. It runs so many requests at
 * a time, queues a few more and refuses the rest with X-Not-Executed; it closes
 * idle connections at the time that it announces. On demand it sends some
 * refusals a second time, late: where the answer to the next request of the
 * connection is expected. Options, each "--name=value":
 *
 * port, instance, slots, queue, work_ms   what it is
 * keep_s     time after which it closes an idle connection
 * refuse_permille  requests that it refuses though it has room
 * late_permille  refusals that are sent a second time
 * period_ms, refuse_ms, late_ms  it does the first for refuse_ms, and the
 * second for late_ms, at the beginning of each period seed       of the drawing
 * of both record     file to which it appends "run ID", "refuse ID", "late ID"
 *
 * The body has as many bytes as the last segment of the path says.
 */
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNECTIONS_MAX 4096
#define HEAD_MAX 20000
#define ID_MAX 80
#define ANSWER_HEAD_MAX 512
#define POLL_MS 5

enum state { STATE_READING, STATE_QUEUED, STATE_RUNNING, STATE_WRITING };

struct connection {
	int fd;
	enum state state;
	char in[HEAD_MAX];
	size_t in_len;
	/** Bytes of the request's body that are still to come. */
	size_t body_left;
	char id[ID_MAX];
	int is_refused;
	size_t answer_bytes;
	int64_t done_ms;
	int64_t idle_since_ms;
	char *out;
	size_t out_len;
	size_t out_sent;
	char *late;
	size_t late_len;
	char late_id[ID_MAX];
};

static struct {
	int port;
	char instance[64];
	int slots;
	int queue;
	int work_ms;
	int keep_s;
	int refuse_permille;
	int late_permille;
	int refuse_ms;
	int refuse_period_ms;
	int late_ms;
	int late_period_ms;
	unsigned int seed;
	char record[512];
} options = {.slots = 6,
	     .queue = 6,
	     .work_ms = 50,
	     .keep_s = 10,
	     .seed = 1,

	     .refuse_ms = 8500,
	     .refuse_period_ms = 9000,
	     .late_ms = 5000,
	     .late_period_ms = 6000};

static struct connection *connection[CONNECTIONS_MAX];
static int nconnection;
static int running;
static int queued;

static int64_t now_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void record(const char *what, const char *id)
{
	char line[ID_MAX + 120];
	int fd = open(options.record, O_WRONLY | O_APPEND | O_CREAT, 0644);
	int n = snprintf(line, sizeof(line), "%s %s at %s\n", what, id,
			 options.instance);

	if (fd < 0 || write(fd, line, (size_t)n) < 0)
		perror(options.record);
	if (fd >= 0)
		close(fd);
}

/* Draws whether it does what it does for a part of each period. The clock is
 * the same for all upstreams, so that their times are. */
static int draw(int permille, int part_ms, int period_ms)
{
	return now_ms() % period_ms < part_ms &&
	       (int)(rand_r(&options.seed) % 1000U) < permille;
}

static void leave_slot(struct connection *c)
{
	running -= c->state == STATE_RUNNING;
	queued -= c->state == STATE_QUEUED;
}

static void close_at(int i)
{
	struct connection *c = connection[i];

	leave_slot(c);
	close(c->fd);
	free(c->out);
	free(c->late);
	free(c);
	connection[i] = connection[--nconnection];
}

/* Copies the value of a field of the head; empty if there is none. */
static void field(const char *head, const char *name, char *out, size_t size)
{
	size_t n = strlen(name);
	const char *line = head;

	out[0] = 0;
	while ((line = strstr(line, "\r\n"))) {
		line += 2;
		if (strncasecmp(line, name, n) != 0 || line[n] != ':')
			continue;
		line += n + 1;
		line += strspn(line, " ");
		snprintf(out, size, "%.*s", (int)strcspn(line, "\r"), line);
		return;
	}
}

static void append(struct connection *c, const char *bytes, size_t n)
{
	char *more = realloc(c->out, c->out_len + n);

	if (!more)
		abort();
	memcpy(more + c->out_len, bytes, n);
	c->out = more;
	c->out_len += n;
}

/* Puts an answer behind what is still to be sent. */
static void answer(struct connection *c, const char *status, const char *fields,
		   size_t nbody)
{
	char head[ANSWER_HEAD_MAX];
	int n = snprintf(
		head, sizeof(head),
		"HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%s"
		"X-Server-Load: %d,%d,%d\r\n"
		"Keep-Alive: timeout=%d\r\nContent-Length: %zu\r\n\r\n",
		status, c->id, fields, running, queued, options.slots,
		options.keep_s, nbody);
	char *body = malloc(nbody + 1);

	if (!body)
		abort();
	memset(body, 'x', nbody);
	append(c, head, (size_t)n);
	append(c, body, nbody);
	if (c->is_refused &&
	    draw(options.late_permille, options.late_ms,
		 options.late_period_ms) &&
	    !c->late) {
		c->late = malloc((size_t)n + nbody);
		if (!c->late)
			abort();
		memcpy(c->late, head, (size_t)n);
		memcpy(c->late + n, body, nbody);
		c->late_len = (size_t)n + nbody;
		snprintf(c->late_id, sizeof(c->late_id), "%s", c->id);
	}
	free(body);
	c->state = STATE_WRITING;
}

static void run(struct connection *c)
{
	record("run", c->id);
	running++;
	c->state = STATE_RUNNING;
	c->done_ms = now_ms() + options.work_ms;
}

static void refuse(struct connection *c)
{
	record("refuse", c->id);
	c->is_refused = 1;
	answer(c, "503 Service Unavailable", "X-Not-Executed: 1\r\n", 0);
}

/* Sends the second copy of the last answer where that to the next request is
 * expected. */
static void send_late(struct connection *c)
{
	if (!c->late)
		return;
	record("late", c->late_id);
	append(c, c->late, c->late_len);
	free(c->late);
	c->late = NULL;
}

static void begin(struct connection *c)
{
	char expected[64];
	const char *path = strchr(c->in, ' ') + 1;
	const char *last = path;

	field(c->in, "X-Request-Id", c->id, sizeof(c->id));
	field(c->in, "X-Expected-Instance", expected, sizeof(expected));
	for (const char *p = path; *p && *p != ' '; p++)
		if (*p == '/')
			last = p + 1;
	c->answer_bytes = strtoul(last, NULL, 10);
	if (!strncmp(path, "/health ", 8)) {
		char fields[160];

		snprintf(fields, sizeof(fields), "X-Instance-Id: %s\r\n",
			 options.instance);
		answer(c, "200 OK", fields, 2);
		return;
	}
	c->is_refused = 0;
	send_late(c);
	if (expected[0] && strcmp(expected, options.instance) != 0)
		answer(c, "421 Misdirected Request", "", 0);
	else if (draw(options.refuse_permille, options.refuse_ms,
		      options.refuse_period_ms))
		refuse(c);
	else if (running < options.slots)
		run(c);
	else if (queued < options.queue) {
		queued++;
		c->state = STATE_QUEUED;
	} else
		refuse(c);
}

/* Takes a whole request from what was read. Returns 1 if there is one. */
static int take_request(struct connection *c)
{
	char length[32];
	char *end;
	size_t head;

	c->in[c->in_len] = 0;
	end = strstr(c->in, "\r\n\r\n");
	if (!end)
		return 0;
	field(c->in, "Content-Length", length, sizeof(length));
	head = (size_t)(end + 4 - c->in);
	if (c->in_len < head + strtoul(length, NULL, 10))
		return 0;
	end[2] = 0;
	begin(c);
	c->in_len = 0;
	return 1;
}

/* Returns -1 if the connection is to be closed. */
static int read_some(struct connection *c)
{
	ssize_t n = recv(c->fd, c->in + c->in_len, HEAD_MAX - 1 - c->in_len, 0);

	if (n < 0 && errno == EAGAIN)
		return 0;
	if (n <= 0 || c->in_len + (size_t)n >= HEAD_MAX - 1)
		return -1;
	c->in_len += (size_t)n;
	if (c->state == STATE_READING)
		take_request(c);
	return 0;
}

static int write_some(struct connection *c)
{
	ssize_t n;

	if (c->out_sent < c->out_len) {
		n = send(c->fd, c->out + c->out_sent, c->out_len - c->out_sent,
			 MSG_NOSIGNAL);
		if (n < 0 && errno != EAGAIN)
			return -1;
		c->out_sent += n > 0 ? (size_t)n : 0;
	}
	if (c->out_sent < c->out_len)
		return 0;
	free(c->out);
	c->out = NULL;
	c->out_len = 0;
	c->out_sent = 0;
	if (c->state != STATE_WRITING)
		return 0;
	c->state = STATE_READING;
	c->idle_since_ms = now_ms();
	return 0;
}

static void advance(struct connection *c, int64_t now)
{
	char stamp[200];

	if (c->state == STATE_QUEUED && running < options.slots) {
		queued--;
		run(c);
	}
	if (c->state != STATE_RUNNING || now < c->done_ms)
		return;
	running--;
	snprintf(stamp, sizeof(stamp), "X-Server-Stamp: s.%s.%s\r\n",
		 options.instance, c->id);
	answer(c, "200 OK", stamp, c->answer_bytes);
}

static int listen_at(int port)
{
	struct sockaddr_in to = {.sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port),
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (fd < 0 || bind(fd, (struct sockaddr *)&to, sizeof(to)) ||
	    listen(fd, 1024) || fcntl(fd, F_SETFL, O_NONBLOCK)) {
		perror("listen");
		exit(2);
	}
	return fd;
}

static void accept_all(int listener)
{
	int fd;

	while (nconnection < CONNECTIONS_MAX &&
	       (fd = accept(listener, NULL, NULL)) >= 0) {
		struct connection *c = calloc(1, sizeof(*c));

		if (!c || fcntl(fd, F_SETFL, O_NONBLOCK))
			abort();
		c->fd = fd;
		c->idle_since_ms = now_ms();
		connection[nconnection++] = c;
	}
}

static void serve(int i, short events, int64_t now)
{
	struct connection *c = connection[i];
	int ended = 0;

	if (events & (POLLIN | POLLHUP | POLLERR))
		ended = read_some(c);
	if (!ended) {
		advance(c, now);
		ended = write_some(c);
	}
	if (!ended && c->state == STATE_READING && !c->in_len &&
	    now > c->idle_since_ms + options.keep_s * 1000)
		ended = -1;
	if (ended)
		close_at(i);
}

static void read_options(int argc, char **argv)
{
	for (int i = 1; i < argc; i++) {
		sscanf(argv[i], "--port=%d", &options.port);
		sscanf(argv[i], "--instance=%63s", options.instance);
		sscanf(argv[i], "--slots=%d", &options.slots);
		sscanf(argv[i], "--queue=%d", &options.queue);
		sscanf(argv[i], "--work_ms=%d", &options.work_ms);
		sscanf(argv[i], "--keep_s=%d", &options.keep_s);
		sscanf(argv[i], "--refuse_permille=%d",
		       &options.refuse_permille);
		sscanf(argv[i], "--late_permille=%d", &options.late_permille);
		sscanf(argv[i], "--refuse_ms=%d", &options.refuse_ms);
		sscanf(argv[i], "--late_ms=%d", &options.late_ms);
		sscanf(argv[i], "--refuse_period_ms=%d",
		       &options.refuse_period_ms);
		sscanf(argv[i], "--late_period_ms=%d", &options.late_period_ms);
		sscanf(argv[i], "--seed=%u", &options.seed);
		sscanf(argv[i], "--record=%511s", options.record);
	}
}

int main(int argc, char **argv)
{
	static struct pollfd p[CONNECTIONS_MAX + 1];
	int listener;

	read_options(argc, argv);
	listener = listen_at(options.port);
	for (;;) {
		int n = nconnection;
		int64_t now;

		p[0] = (struct pollfd){.fd = listener, .events = POLLIN};
		for (int i = 0; i < n; i++) {
			p[i + 1] = (struct pollfd){.fd = connection[i]->fd,
						   .events = POLLIN};
			if (connection[i]->out_len)
				p[i + 1].events |= POLLOUT;
		}
		poll(p, (nfds_t)n + 1, POLL_MS);
		now = now_ms();
		/* From the end, since a closed one is replaced by the last. */
		for (int i = n - 1; i >= 0; i--)
			serve(i, p[i + 1].revents, now);
		accept_all(listener);
	}
}
