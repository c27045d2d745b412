/* A network path between VMs and upstreams that can fail: forwards connections
 * of some loopback ports to others. Usage:
 *
 *     standin-link --admin=PORT --paths=FROM:TO[,FROM:TO...]
 *
 * GET /admin/MODE on the admin port sets the state of all paths:
 *
 * pass        connections are forwarded
 * silent      new connections are not answered, open ones carry nothing
 * refuse      new connections are refused, open ones reset
 * refuse-new  new connections are refused, open ones are forwarded
 */
#include "answer.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PATHS_MAX 8
#define PAIRS_MAX 512

/* Connections that fill the queue of a listening socket that accepts none. */
#define FILLERS 2

enum mode { PASS, SILENT, REFUSE, REFUSE_NEW };

static const char *const mode_names[] = {"pass", "silent", "refuse",
					 "refuse-new"};

struct path {
	int from;
	int to;
	/** Listening socket; -1 while connections are refused. */
	int fd;
	int filler[FILLERS];
};

/** A forwarded connection: its socket at the VM and the one at the upstream. */
struct pair {
	int fd[2];
};

static struct path path[PATHS_MAX];
static int npath;
static struct pair pair[PAIRS_MAX];
static int npair;
static enum mode mode;

static struct sockaddr_in loopback(int port)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
}

static int listen_on(int port, int backlog)
{
	struct sockaddr_in addr = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&addr, sizeof(addr)) ||
	    listen(fd, backlog)) {
		perror("standin-link: listen");
		exit(1);
	}
	return fd;
}

static int connect_to(int port, int flags)
{
	struct sockaddr_in addr = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);

	if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return -1;
	}
	return fd;
}

static void close_listener(struct path *p)
{
	if (p->fd >= 0)
		close(p->fd);
	p->fd = -1;
	for (int i = 0; i < FILLERS; i++) {
		if (p->filler[i] >= 0)
			close(p->filler[i]);
		p->filler[i] = -1;
	}
}

/* The kernel drops requests to connect while the queue of a listening socket is
 * full. */
static void stop_answering(struct path *p)
{
	p->fd = listen_on(p->from, 0);
	for (int i = 0; i < FILLERS; i++)
		p->filler[i] = connect_to(p->from, SOCK_NONBLOCK);
}

static void close_pair(int i, int reset)
{
	struct linger off = {.l_onoff = reset};

	for (int side = 0; side < 2; side++) {
		setsockopt(pair[i].fd[side], SOL_SOCKET, SO_LINGER, &off,
			   sizeof(off));
		close(pair[i].fd[side]);
	}
	pair[i] = pair[--npair];
}

static void set_mode(enum mode to)
{
	mode = to;
	for (int i = 0; i < npath; i++) {
		close_listener(&path[i]);
		if (mode == PASS)
			path[i].fd = listen_on(path[i].from, 128);
		else if (mode == SILENT)
			stop_answering(&path[i]);
	}
	while (mode == REFUSE && npair)
		close_pair(npair - 1, 1);
}

static void accept_pair(const struct path *p)
{
	int fd = accept(p->fd, NULL, NULL);
	int to;

	if (fd < 0)
		return;
	to = npair < PAIRS_MAX ? connect_to(p->to, 0) : -1;
	if (to < 0) {
		close(fd);
		return;
	}
	pair[npair++] = (struct pair){{fd, to}};
}

/* How a connection goes on. */
enum progress { OPEN, CLOSED, BROKEN };

static enum progress forward(int from, int to)
{
	char data[65536];
	ssize_t n = recv(from, data, sizeof(data), 0);
	ssize_t sent = 0;

	if (n <= 0)
		return n ? BROKEN : CLOSED;
	while (sent < n) {
		ssize_t k =
			send(to, data + sent, (size_t)(n - sent), MSG_NOSIGNAL);

		if (k <= 0)
			return BROKEN;
		sent += k;
	}
	return OPEN;
}

static void handle_admin(int listener)
{
	static const char ok[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
				 "Content-Length: 5\r\n\r\ndone\n";
	char text[1024];
	char name[32] = "";
	int fd = accept(listener, NULL, NULL);
	ssize_t n = fd < 0 ? -1 : recv(fd, text, sizeof(text) - 1, 0);

	if (n > 0) {
		text[n] = 0;
		sscanf(text, "GET /admin/%31[a-z-]", name);
		for (int i = 0; i < 4; i++)
			if (!strcmp(name, mode_names[i]))
				set_mode((enum mode)i);
		send(fd, ok, sizeof(ok) - 1, MSG_NOSIGNAL);
	}
	if (fd >= 0)
		close(fd);
}

static void read_paths(const char *text)
{
	while (npath < PATHS_MAX &&
	       sscanf(text, "%d:%d", &path[npath].from, &path[npath].to) == 2) {
		path[npath].fd = -1;
		for (int i = 0; i < FILLERS; i++)
			path[npath].filler[i] = -1;
		npath++;
		text += strcspn(text, ",");
		text += *text == ',';
	}
}

/* Forwards what has arrived on the open connections. Backwards, since a
 * connection that ends is replaced by the last one. A reset stays a reset: a
 * body that ends with its connection looks whole after a close. */
static void forward_pairs(const struct pollfd *ready, int n)
{
	for (int i = n - 1; i >= 0; i--) {
		enum progress progress = OPEN;

		if (ready[2 * i].revents)
			progress = forward(pair[i].fd[0], pair[i].fd[1]);
		if (progress == OPEN && ready[2 * i + 1].revents)
			progress = forward(pair[i].fd[1], pair[i].fd[0]);
		if (progress != OPEN)
			close_pair(i, progress == BROKEN);
	}
}

static void run(int admin)
{
	static struct pollfd set[1 + PATHS_MAX + 2 * PAIRS_MAX];

	for (;;) {
		struct pollfd *pairs = set + 1 + npath;
		int carried = mode == SILENT ? 0 : npair;
		nfds_t count = 1 + (nfds_t)npath + 2 * (nfds_t)carried;

		set[0] = (struct pollfd){.fd = admin, .events = POLLIN};
		for (int i = 0; i < npath; i++)
			set[1 + i] = (struct pollfd){
				.fd = mode == PASS ? path[i].fd : -1,
				.events = POLLIN};
		for (int i = 0; i < 2 * carried; i++)
			pairs[i] = (struct pollfd){.fd = pair[i / 2].fd[i % 2],
						   .events = POLLIN};
		if (poll(set, count, -1) < 0)
			continue;
		forward_pairs(pairs, carried);
		for (int i = 0; i < npath; i++)
			if (set[1 + i].revents)
				accept_pair(&path[i]);
		if (set[0].revents)
			handle_admin(admin);
	}
}

int main(int argc, char **argv)
{
	signal(SIGPIPE, SIG_IGN);
	read_paths(command_option(argc, argv, "paths", ""));
	if (!npath) {
		fprintf(stderr, "standin-link: no paths\n");
		return 1;
	}
	set_mode(PASS);
	run(listen_on(atoi(command_option(argc, argv, "admin", "9100")), 16));
}
