#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "crowd.h"
#include <cmocka.h>
#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <primroselead/clock.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The memory of a build with a sanitizer is not the product's. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define HAS_SANITIZER 1
#else
#define HAS_SANITIZER 0
#endif

/* Time after which a VM that takes no byte of any connection is taken to wait,
 * in ms. */
#define STALLED_MS 1000

/* Tries of an ordinary request beside a crowd, in less time together than the
 * VM keeps what sends nothing; and after it has left, when upstreams may have
 * to be tried again. */
#define TRIES_BESIDE 10
#define TRIES_AFTER 100

/* Time between two tries, in ms. */
#define TRY_EVERY_MS 100

#define TEXT(number) TEXT_OF(number)
#define TEXT_OF(number) #number

static const struct {
	const char *name;
	const char *path;
} doors[DOOR_COUNT] = {
	[DOOR_ROUTE] = {"route", NULL},
	[DOOR_NO_ROUTE] = {"no route", "/nowhere/x"},
	[DOOR_RELAY] = {"relay", NULL},
	[DOOR_READY] = {"ready", "/api/readiness"},
	[DOOR_LOOKUP] = {"look-up", "/api/resolve?name=h.example&region=norte"},
	[DOOR_METRICS] = {"metrics", "/-/metrics"},
};

const char *crowd_door_name(enum crowd_door door)
{
	return doors[door].name;
}

int crowd_port(enum crowd_door door)
{
	switch (door) {
	case DOOR_ROUTE:
	case DOOR_NO_ROUTE:
		return HTTP_PORT(1);
	case DOOR_RELAY:
		return RELAY_PORT(1);
	case DOOR_READY:
		return READY_PORT(1);
	case DOOR_LOOKUP:
		return LOOKUP_PORT(1);
	case DOOR_METRICS:
		return METRICS_PORT(1);
	case DOOR_COUNT:
		break;
	}
	return -1;
}

const char *crowd_path(enum crowd_door door, const char *route)
{
	return doors[door].path ? doors[door].path : route;
}

const char *crowd_headers(enum crowd_door door)
{
	if (door == DOOR_RELAY)
		return "Host: h.example\r\nX-Request-Id: crowd\r\n"
		       "Relayed-By: vm2\r\nRelay-Attempts: 1\r\n";
	return "Host: h.example\r\nX-Request-Id: crowd\r\n";
}

int crowd_setup(void **state)
{
	routes_traffic_lines =
		"memory = " TEXT(CROWD_MEMORY_MB) "\ndescriptors = " TEXT(
			CROWD_DESCRIPTORS) "\nconnections = " TEXT(CROWD_CONNECTIONS) "\n";
	return routes_setup(state);
}

void crowd_restart_vm(void)
{
	if (harness_has_ended(routes_vm_pid[1]))
		fail_msg("the VM has ended by itself");
	harness_kill(routes_vm_pid[1], SIGKILL);
	routes_start_vm(1);
}

static void close_at(struct crowd *c, int i)
{
	close(c->fd[i]);
	c->fd[i] = -1;
}

void crowd_open(struct crowd *c, enum crowd_door door, int n)
{
	memset(c, 0, sizeof(*c));
	assert_in_range(n, 1, CROWD_MAX);
	c->n = n;
	for (int i = 0; i < n; i++) {
		c->fd[i] = harness_connect(crowd_port(door));
		assert_true(c->fd[i] >= 0);
		fcntl(c->fd[i], F_SETFL, O_NONBLOCK);
	}
}

/* Sends what a connection takes of the text. Returns the number of bytes. */
static size_t send_at(struct crowd *c, int i, const char *text, size_t len)
{
	ssize_t n;

	if (c->fd[i] < 0 || c->sent[i] == len)
		return 0;
	n = send(c->fd[i], text + c->sent[i], len - c->sent[i], MSG_NOSIGNAL);
	if (n > 0)
		c->sent[i] += (size_t)n;
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		close_at(c, i);
	return n > 0 ? (size_t)n : 0;
}

static size_t send_round(struct crowd *c, const char *text, size_t len)
{
	size_t n = 0;

	for (int i = 0; i < c->n; i++)
		n += send_at(c, i, text, len);
	return n;
}

void crowd_send(struct crowd *c, const char *text, size_t len)
{
	int64_t deadline_ms = prl_now_ms() + STALLED_MS;

	memset(c->sent, 0, sizeof(c->sent));
	while (prl_now_ms() < deadline_ms) {
		if (send_round(c, text, len))
			deadline_ms = prl_now_ms() + STALLED_MS;
		else
			harness_sleep_ms(5);
	}
}

void crowd_send_some(struct crowd *c, const char *text, size_t len)
{
	memset(c->sent, 0, sizeof(c->sent));
	send_round(c, text, len);
}

void crowd_read_some(struct crowd *c, size_t len)
{
	char block[4096];

	assert_true(len <= sizeof(block));
	for (int i = 0; i < c->n; i++) {
		if (c->fd[i] < 0)
			continue;
		if (recv(c->fd[i], block, len, 0) == 0)
			close_at(c, i);
	}
}

void crowd_close(struct crowd *c)
{
	for (int i = 0; i < c->n; i++)
		if (c->fd[i] >= 0)
			close_at(c, i);
}

static int count_descriptors(void)
{
	char path[64];
	DIR *dir;
	int n = 0;

	snprintf(path, sizeof(path), "/proc/%d/fd", (int)routes_vm_pid[1]);
	dir = opendir(path);
	while (dir && readdir(dir))
		n++;
	if (dir)
		closedir(dir);
	return n;
}

void crowd_expect_bounds(const char *kind, enum crowd_door door)
{
	long kb;
	int n;

	if (harness_has_ended(routes_vm_pid[1]))
		fail_msg("%s at %s: the VM has ended", kind, doors[door].name);
	kb = harness_peak_kb(routes_vm_pid[1]);
	n = count_descriptors();
	print_message("%s at %s: peak %ld KB, %d descriptors\n", kind,
		      doors[door].name, kb, n);
	if (n > CROWD_DESCRIPTORS)
		fail_msg("%s at %s: %d descriptors", kind, doors[door].name, n);
	if (!HAS_SANITIZER && kb > CROWD_MEMORY_MB * 1024)
		fail_msg("%s at %s: %ld KB of memory", kind, doors[door].name,
			 kb);
}

static int is_safe_served(void)
{
	return routes_request("GET", "/safe/plain").status == 200;
}

static int is_post_served(void)
{
	char url[80];
	static int serial;
	char id[40];
	const char *headers[] = {id, "X-Deadline-Remaining-Ms: 4000", NULL};
	struct http_request req = {
		.url = url, .host = "h.example", .headers = headers};

	req.body = "some words of an ordinary body";
	snprintf(id, sizeof(id), "X-Request-Id: ordinary-%d", ++serial);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/once/plain",
		 HTTP_PORT(1));
	return harness_send_request(&req).status == 200;
}

static int is_page_served(enum crowd_door door)
{
	char text[32768];
	char url[120];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", crowd_port(door),
		 crowd_path(door, ""));
	return harness_get(url, text, sizeof(text)) == 200;
}

static int is_ready(void)
{
	return is_page_served(DOOR_READY);
}

static int is_found(void)
{
	return is_page_served(DOOR_LOOKUP);
}

static void expect_served(const char *kind, enum crowd_door door, int tries)
{
	static const struct {
		const char *name;
		int (*is_served)(void);
	} ordinary[] = {{"GET", is_safe_served},
			{"POST", is_post_served},
			{"readiness", is_ready},
			{"look-up", is_found}};

	for (size_t i = 0; i < sizeof(ordinary) / sizeof(ordinary[0]); i++) {
		int left = tries;

		while (!ordinary[i].is_served()) {
			if (!--left)
				fail_msg("%s at %s: an ordinary %s is not "
					 "served in %d tries",
					 kind, doors[door].name,
					 ordinary[i].name, tries);
			harness_sleep_ms(TRY_EVERY_MS);
		}
	}
}

void crowd_expect_served_beside(const char *kind, enum crowd_door door)
{
	expect_served(kind, door, TRIES_BESIDE);
}

void crowd_expect_served_after(const char *kind, enum crowd_door door)
{
	expect_served(kind, door, TRIES_AFTER);
}

void crowd_expect_harmless(struct crowd *c, const char *kind,
			   enum crowd_door door)
{
	crowd_expect_served_beside(kind, door);
	crowd_expect_bounds(kind, door);
	crowd_close(c);
	crowd_expect_served_after(kind, door);
	crowd_expect_bounds(kind, door);
}
