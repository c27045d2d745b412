/* Answers of the store that end, or begin again, at any byte. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "answers.h"
#include "scripted.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 2000

/* Cases of a test that are reported one by one. */
#define REPORTS_MAX 5

/* When the bytes of an earlier answer come again. */
enum surplus {
	SURPLUS_NONE,
	SURPLUS_AT_ONCE,
	SURPLUS_LATE,
	SURPLUS_WITH_NEXT,
};

/* The server's next reply; written while no call is active. */
static struct {
	char bytes[ANSWER_MAX];
	size_t len;
	enum scripted_end end;
	int is_second_page;
	enum surplus surplus;
	const char *surplus_bytes;
	size_t surplus_len;
	/* The next call comes, and this is its answer. */
	int is_next;
	char next[ANSWER_MAX];
	size_t next_len;
} plan;

static struct loop loop;
static struct fetch_pool fetches;
static int port;
static int nfailed;

static void append(struct scripted_reply *out, const char *bytes, size_t len)
{
	memcpy(out->bytes + out->len, bytes, len);
	out->len += len;
}

static void reply_to_next(const struct scripted_request *request,
			  struct scripted_reply *out)
{
	if (plan.surplus == SURPLUS_WITH_NEXT && request->uses_before)
		append(out, plan.surplus_bytes, plan.surplus_len);
	append(out, plan.next, plan.next_len);
}

static void reply(const struct scripted_request *request,
		  struct scripted_reply *out)
{
	size_t head_len;

	if (plan.is_next) {
		reply_to_next(request, out);
		return;
	}
	if (plan.is_second_page && !strstr(request->target, "after=")) {
		out->len = answer_format("HTTP/1.1 200 OK", answer_first_page,
					 RESPONSE_WITH_LENGTH, out->bytes,
					 &head_len);
		return;
	}
	append(out, plan.bytes, plan.len);
	out->end = plan.end;
	if (plan.surplus == SURPLUS_AT_ONCE)
		append(out, plan.surplus_bytes, plan.surplus_len);
	if (plan.surplus != SURPLUS_LATE)
		return;
	memcpy(out->then, plan.surplus_bytes, plan.surplus_len);
	out->then_len = plan.surplus_len;
	out->then_delay_ms = 1;
}

static int64_t version_of(int64_t revision)
{
	return revision ? store_version(ANSWER_ERA, revision) : 0;
}

/* Makes a call by a new client. */
static void make_call(struct store *s, struct store_call *c,
		      const struct answer_kind *k)
{
	char address[PRL_ADDRESS_MAX];

	snprintf(address, sizeof(address), "127.0.0.1:%d", port);
	store_init(s, &fetches, address);
	memset(c, 0, sizeof(*c));
	c->op = k->op;
	snprintf(c->key, sizeof(c->key), "%s", k->key);
	c->version = version_of(k->revision);
	c->value = k->value;
	c->len = k->value ? strlen(k->value) : 0;
	c->deadline_ms = prl_now_ms() + CALL_TIMEOUT_MS;
	store_call_wait(s, &loop, c);
}

static void report(const char *what, const struct answer_kind *k, size_t n,
		   const struct store_call *c)
{
	if (nfailed++ < REPORTS_MAX)
		print_message("%s: %s at byte %zu: %s, \"%s\"\n", what, k->name,
			      n, prl_code_name(c->err.code), c->err.text);
}

static void expect(const struct answer_kind *k, size_t n, enum prl_code code,
		   int64_t era)
{
	struct store s;
	struct store_call c;

	make_call(&s, &c, k);
	if (c.err.code != code)
		report("wrong result", k, n, &c);
	else if (!code && c.nobject != k->nobject)
		report("wrong objects", k, n, &c);
	else if (s.era != era)
		report("wrong era", k, n, &c);
	store_call_finish(&c);
}

static int is_framing_possible(const struct answer_kind *k,
			       enum response_framing framing)
{
	return k->body || framing == RESPONSE_WITH_LENGTH;
}

static size_t plan_answer(const struct answer_kind *k,
			  enum response_framing framing)
{
	size_t head_len;

	memset(&plan, 0, sizeof(plan));
	plan.len = answer_format(k->status_line, k->body, framing, plan.bytes,
				 &head_len);
	plan.is_second_page = k->is_second_page;
	return head_len;
}

static enum prl_code broken_code(const struct answer_kind *k)
{
	return k->op == STORE_PUT ? PRL_E_UNSETTLED : PRL_E_STORE_DOWN;
}

static void test_whole_answer_is_not_taken(void **state)
{
	(void)state;
	nfailed = 0;
	for (int i = 0; i < answer_nkind; i++)
		for (int f = RESPONSE_UNTIL_CLOSE; f <= RESPONSE_CHUNKED; f++) {
			const struct answer_kind *k = &answer_kinds[i];

			if (!is_framing_possible(k, f))
				continue;
			plan_answer(k, f);
			plan.end = f == RESPONSE_UNTIL_CLOSE ? SCRIPTED_CLOSE
							     : SCRIPTED_KEEP;
			expect(k, plan.len, k->code, ANSWER_ERA);
		}
	assert_int_equal(nfailed, 0);
}

static void test_status_that_is_none_is_taken(void **state)
{
	static const char *const statuses[] = {"000", "001", "099", "600",
					       "999", "2x0", "20",  "-200"};
	char line[64];

	(void)state;
	nfailed = 0;
	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++)
		for (int n = 0; n < answer_nkind; n++) {
			struct answer_kind k = answer_kinds[n];

			snprintf(line, sizeof(line), "HTTP/1.1 %s OK",
				 statuses[i]);
			k.status_line = line;
			plan_answer(&k, RESPONSE_WITH_LENGTH);
			plan.end = SCRIPTED_CLOSE;
			expect(&k, i, broken_code(&k),
			       k.is_second_page ? ANSWER_ERA : 0);
		}
	assert_int_equal(nfailed, 0);
}

/* Whether all has come but the last line end behind the chunks. */
static int is_known_whole(size_t n, size_t len, enum response_framing framing)
{
	return framing == RESPONSE_CHUNKED && n + 1 == len;
}

static void cut_at_every_byte(const struct answer_kind *k,
			      enum response_framing framing,
			      enum scripted_end end)
{
	size_t head_len = plan_answer(k, framing);
	int is_open = framing == RESPONSE_UNTIL_CLOSE && end == SCRIPTED_CLOSE;
	/* The first page has named the era. */
	int64_t era = k->is_second_page ? ANSWER_ERA : 0;
	size_t len = plan.len;

	plan.end = end;
	for (size_t n = 0; n < len; n++) {
		plan.len = n;
		if (is_known_whole(n, len, framing))
			continue;
		if (is_open && n >= head_len)
			expect(k, n, k->cut_body_code, ANSWER_ERA);
		else
			expect(k, n, broken_code(k), era);
	}
}

static void test_answer_that_ends_early_is_taken_for_whole(void **state)
{
	(void)state;
	nfailed = 0;
	for (int i = 0; i < answer_nkind; i++) {
		const struct answer_kind *k = &answer_kinds[i];

		for (int f = RESPONSE_UNTIL_CLOSE; f <= RESPONSE_CHUNKED; f++)
			if (is_framing_possible(k, f))
				cut_at_every_byte(k, f, SCRIPTED_CLOSE);
		/* Only the reset tells that the answer is cut. */
		cut_at_every_byte(k,
				  is_framing_possible(k, RESPONSE_UNTIL_CLOSE)
					  ? RESPONSE_UNTIL_CLOSE
					  : RESPONSE_WITH_LENGTH,
				  SCRIPTED_RESET);
	}
	assert_int_equal(nfailed, 0);
}

/* A read and a write that follow another call: the answers name objects of
 * theirs. */
static const struct answer_kind next_read = {
	.name = "read",
	.op = STORE_GET,
	.key = "k/c",
	.status_line = "HTTP/1.1 200 OK",
	.body = "{\"metadata\":{\"name\":\"c\",\"revision\":77},"
		"\"specification\":{\"x\":2}}",
};
static const struct answer_kind next_write = {
	.name = "write",
	.op = STORE_PUT,
	.key = "k/c",
	.value = "{\"x\":2}",
	.revision = 70,
	.status_line = "HTTP/1.1 200 OK",
	.body = "{\"metadata\":{\"name\":\"c\",\"revision\":77},"
		"\"specification\":{\"x\":2}}",
};

static void expect_next_has_its_own(const struct answer_kind *before, size_t n)
{
	const struct answer_kind *k = n / 2 % 2 ? &next_read : &next_write;
	struct store s;
	struct store_call c;
	size_t head_len;

	plan.next_len =
		answer_format(k->status_line, k->body, RESPONSE_WITH_LENGTH,
			      plan.next, &head_len);
	plan.is_next = 1;
	make_call(&s, &c, k);
	if (c.err.code)
		report("next call failed", before, n, &c);
	else if (c.revision != version_of(77))
		report("answer of another call", before, n, &c);
	else if (k->op == STORE_GET && strcmp(c.object[0].key, k->key) != 0)
		report("object of another call", before, n, &c);
	store_call_finish(&c);
	plan.is_next = 0;
}

static void repeat(const struct answer_kind *k, size_t at, size_t len,
		   enum surplus when)
{
	static char copy[ANSWER_MAX];

	memcpy(copy, plan.bytes, plan.len);
	plan.surplus = when;
	plan.surplus_bytes = copy + at;
	plan.surplus_len = len;
	expect(k, at ? at : len, k->code, ANSWER_ERA);
	expect_next_has_its_own(k, len);
}

/* Other answers say nothing that a call could take for its own result. */
static int says_something(const struct answer_kind *k)
{
	switch (k->code) {
	case PRL_E_STORE_DOWN:
	case PRL_E_UNSETTLED:
	case PRL_E_PROTOCOL:
		return 0;
	default:
		return 1;
	}
}

/* Of bytes that come before the next call, prefixes and suffixes alternate. */
static void repeat_at_every_byte(enum surplus when)
{
	nfailed = 0;
	for (int i = 0; i < answer_nkind; i++) {
		const struct answer_kind *k = &answer_kinds[i];

		plan_answer(k, RESPONSE_WITH_LENGTH);
		for (size_t n = 1; says_something(k) && n <= plan.len; n++) {
			if (n % 2 || when == SURPLUS_WITH_NEXT)
				repeat(k, 0, n, when);
			if (n % 2 == 0 || when == SURPLUS_WITH_NEXT)
				repeat(k, plan.len - n, n, when);
		}
	}
	assert_int_equal(nfailed, 0);
}

static void test_surplus_bytes_answer_the_next_call(void **state)
{
	(void)state;
	repeat_at_every_byte(SURPLUS_AT_ONCE);
}

static void test_late_bytes_answer_the_next_call(void **state)
{
	(void)state;
	repeat_at_every_byte(SURPLUS_LATE);
}

static void test_earlier_answer_answers_the_next_call(void **state)
{
	(void)state;
	repeat_at_every_byte(SURPLUS_WITH_NEXT);
}

static int setup(void **state)
{
	(void)state;
	port = scripted_start(reply);
	return loop_init(&loop, NULL) || fetch_pool_init(&fetches, &loop, NULL);
}

static int teardown(void **state)
{
	(void)state;
	fetch_pool_finish(&fetches);
	loop_finish(&loop);
	scripted_stop();
	return 0;
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_whole_answer_is_not_taken),
		cmocka_unit_test(test_status_that_is_none_is_taken),
		cmocka_unit_test(
			test_answer_that_ends_early_is_taken_for_whole),
		cmocka_unit_test(test_surplus_bytes_answer_the_next_call),
		cmocka_unit_test(test_late_bytes_answer_the_next_call),
		cmocka_unit_test(test_earlier_answer_answers_the_next_call),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
