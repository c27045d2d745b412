#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "returning.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

/* Time for which an upstream that has ended is away, in ms, and for which its
 * entry stays. */
#define AWAY_MS 500
#define ENTRY_LEFT_MS 1500

/* Pause between two looks for upstreams that have ended, in ms. */
#define LOOK_MS 10

/* Pause between two sendings, in ms. */
#define SENDING_INTERVAL_MS 250

/* Time in which three upstreams must have ended, in ms. */
#define ENDS_MAX_MS 20000

/* Time in which VMs follow a change of the upstreams, in ms. */
#define FOLLOW_MS 1500

int returning_ends;

static struct {
	/** 0 while it is away. */
	pid_t pid;
	char instance[32];
	int64_t back_ms;
	/** Entry of an earlier start that is still there; empty if none. */
	char left[32];
	int64_t left_until_ms;
} upstream[RETURNING_UPSTREAMS];

static void start_one(int i)
{
	static int serial;
	int port = UPSTREAM_PORT(11 + i);

	snprintf(upstream[i].instance, sizeof(upstream[i].instance), "i-r%d",
		 ++serial);
	upstream[i].pid = routes_start_upstream(upstream[i].instance, port);
	routes_put_upstream(upstream[i].instance, "s", port, "ready", 1);
}

static void remove_entry(const char *instance)
{
	char key[80];

	snprintf(key, sizeof(key), "servers/%s", instance);
	routes_put_object(key, "");
}

void returning_start(void)
{
	for (int i = 0; i < RETURNING_UPSTREAMS; i++)
		start_one(i);
	remove_entry("i-1");
	remove_entry("i-2");
	harness_sleep_ms(FOLLOW_MS);
}

int returning_setup(void **state)
{
	routes_setup(state);
	returning_start();
	return 0;
}

static void tend_one(int i, int64_t now)
{
	if (upstream[i].left[0] && now >= upstream[i].left_until_ms) {
		remove_entry(upstream[i].left);
		upstream[i].left[0] = 0;
	}
	if (!upstream[i].pid) {
		if (now >= upstream[i].back_ms)
			start_one(i);
		return;
	}
	if (!harness_has_ended(upstream[i].pid))
		return;
	returning_ends++;
	upstream[i].pid = 0;
	upstream[i].back_ms = now + AWAY_MS;
	if (upstream[i].left[0])
		remove_entry(upstream[i].left);
	memcpy(upstream[i].left, upstream[i].instance,
	       sizeof(upstream[i].left));
	upstream[i].left_until_ms = now + ENTRY_LEFT_MS;
}

static void tend(void)
{
	for (int i = 0; i < RETURNING_UPSTREAMS; i++)
		tend_one(i, prl_now_ms());
}

void returning_wait(int ms)
{
	int64_t until = prl_now_ms() + ms;

	do {
		tend();
		harness_sleep_ms(LOOK_MS);
	} while (prl_now_ms() < until);
	tend();
}

struct http_response returning_send(int n, const struct returning_request *q)
{
	static _Atomic int serial;
	char id[64];
	char url[160];
	const char *headers[] = {id, "X-Deadline-Remaining-Ms: 4000",
				 "Crash-After-Ms: 60", NULL, NULL};
	struct http_request req = {.method = q->method,
				   .url = url,
				   .host = "h.example",
				   .headers = headers,
				   .body = q->body};

	snprintf(id, sizeof(id), "X-Request-Id: q%d",
		 atomic_fetch_add(&serial, 1) + 1);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", HTTP_PORT(n),
		 q->path);
	headers[q->is_harmless ? 2 : 3] = q->header;
	return harness_send_request(&req);
}

static int send_in_turn(const struct returning_request *q)
{
	static int turn;

	return returning_send(1 + turn++ % 2, q).status;
}

int returning_send_until_known(const struct returning_request *q)
{
	int before = returning_ends;
	int64_t until = prl_now_ms() + ENDS_MAX_MS;

	while (returning_ends < before + 3 && prl_now_ms() < until) {
		send_in_turn(q);
		returning_wait(SENDING_INTERVAL_MS);
	}
	assert_true(returning_ends >= before + 3);
	until = prl_now_ms() + RETURNING_KNOWN_MS;
	while (prl_now_ms() < until) {
		send_in_turn(q);
		returning_wait(SENDING_INTERVAL_MS);
	}
	return returning_ends - before;
}

int returning_send_more(const struct returning_request *q, int count,
			int *not_served)
{
	const struct returning_request other = {
		.method = "GET", .path = "/safe/plain", .is_harmless = 1};
	int before = returning_ends;

	*not_served = 0;
	for (int i = 0; i < count; i++) {
		send_in_turn(q);
		returning_wait(SENDING_INTERVAL_MS);
		*not_served += send_in_turn(&other) != 200;
	}
	return returning_ends - before;
}
