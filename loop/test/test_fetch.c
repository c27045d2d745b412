#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "scripted.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <primroselead/fetch.h>
#include <stdio.h>
#include <string.h>

#define BODY "0123456789"

/* Longest time that a transfer may take, in ms. */
#define TRANSFER_MAX_MS 5000

static struct loop loop;
static struct fetch_pool pool;
static char url[64];
static enum scripted_end end;

/* A transfer that pauses at its first bytes. */
struct transfer {
	struct fetch fetch;
	int paused;
	int is_rejecting;
	size_t len;
	int ended;
	CURLcode result;
};

static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	static const char text[] =
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"a\r\n" BODY "\r\n0\r\n\r\n";

	(void)request;
	memcpy(out->bytes, text, sizeof(text) - 1);
	out->len = sizeof(text) - 1;
	out->end = end;
}

static size_t on_body(char *data, size_t size, size_t n, void *ctx)
{
	struct transfer *t = ctx;

	(void)data;
	if (!t->paused) {
		t->paused = 1;
		return CURL_WRITEFUNC_PAUSE;
	}
	if (t->is_rejecting)
		return 0;
	t->len += size * n;
	return size * n;
}

static void on_done(struct fetch *f, CURLcode result)
{
	struct transfer *t = f->ctx;

	t->ended = 1;
	t->result = result;
}

static void run_until(const int *condition)
{
	int64_t deadline_ms = prl_now_ms() + TRANSFER_MAX_MS;

	while (!*condition && prl_now_ms() < deadline_ms)
		loop_run_once(&loop, prl_now_ms() + 10);
	assert_true(*condition);
}

static void start_transfer(struct transfer *t)
{
	CURL *easy = curl_easy_init();

	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, t);
	t->fetch = (struct fetch){.easy = easy, .done = on_done, .ctx = t};
	assert_int_equal(fetch_start(&pool, &t->fetch, NULL), PRL_OK);
	run_until(&t->paused);
}

static void run_transfer(struct transfer *t)
{
	start_transfer(t);
	fetch_unpause(&pool, &t->fetch);
	run_until(&t->ended);
	curl_easy_cleanup(t->fetch.easy);
}

static void test_paused_body_is_not_passed_on(void **state)
{
	(void)state;
	for (end = SCRIPTED_KEEP; end <= SCRIPTED_CLOSE; end++) {
		struct transfer t = {0};

		run_transfer(&t);
		assert_int_equal(t.result, CURLE_OK);
		assert_int_equal(t.len, strlen(BODY));
	}
}

static void test_body_rejected_after_a_pause_is_whole(void **state)
{
	struct transfer t = {.is_rejecting = 1};

	(void)state;
	end = SCRIPTED_CLOSE;
	run_transfer(&t);
	assert_int_equal(t.result, CURLE_WRITE_ERROR);
}

/* Nothing else ends a transfer over a connection that stays open. */
static void test_body_rejected_after_a_pause_does_not_end(void **state)
{
	struct transfer t = {.is_rejecting = 1};

	(void)state;
	end = SCRIPTED_KEEP;
	run_transfer(&t);
	assert_int_equal(t.result, CURLE_WRITE_ERROR);
}

static void test_transfer_is_cancelled_after_its_body_was_rejected(void **s)
{
	struct transfer t = {.is_rejecting = 1};

	(void)s;
	end = SCRIPTED_KEEP;
	start_transfer(&t);
	fetch_unpause(&pool, &t.fetch);
	fetch_cancel(&pool, &t.fetch);
	curl_easy_cleanup(t.fetch.easy);
	loop_run_once(&loop, prl_now_ms() + 10);
	assert_false(t.ended);
}

static int setup(void **state)
{
	struct prl_error err;

	(void)state;
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/",
		 scripted_start(reply));
	return loop_init(&loop, &err) || fetch_pool_init(&pool, &loop, &err)
		       ? -1
		       : 0;
}

static int teardown(void **state)
{
	(void)state;
	fetch_pool_finish(&pool);
	loop_finish(&loop);
	scripted_stop();
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_paused_body_is_not_passed_on),
		cmocka_unit_test(test_body_rejected_after_a_pause_is_whole),
		cmocka_unit_test(test_body_rejected_after_a_pause_does_not_end),
		cmocka_unit_test(
			test_transfer_is_cancelled_after_its_body_was_rejected),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
