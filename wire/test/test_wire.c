#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "codec.h"
#include <cmocka.h>
#include <primroselead/clock.h>
#include <stdlib.h>
#include <string.h>

static struct wire_args probe_args(struct wire_vm *rumor)
{
	struct wire_args a = {.proc = WIRE_PROBE};
	struct wire_vm vm = {"a", "r", "d", "127.0.0.1:1", "127.0.0.1:2", 3, 0};

	*rumor = vm;
	a.u.probe.from = vm;
	a.u.probe.sequence = 77;
	a.u.probe.digest.complete = 5;
	a.u.probe.rumor.rumor_val = rumor;
	a.u.probe.rumor.rumor_len = 1;
	return a;
}

static void test_call_round_trip(void **state)
{
	struct wire_vm rumor;
	struct wire_args a = probe_args(&rumor);
	struct wire_args back;
	struct wire_request r;
	char data[2048];
	size_t n = wire_encode_call(data, sizeof(data), 9, &a);

	(void)state;
	assert_true(n > 0);
	assert_int_equal(wire_decode_call(data, n, &r, &back), 0);
	assert_int_equal(r.xid, 9);
	assert_int_equal(back.u.probe.sequence, 77);
	assert_string_equal(back.u.probe.rumor.rumor_val[0].rpc, "127.0.0.1:2");
	wire_args_free(&back);
	assert_int_equal(wire_encode_call(data, 40, 9, &a), 0);
}

/* A beat and changes arrive as they were sent; a procedure that this build does
 * not know is rejected, as builds before it reject these two. */
static void test_beat_and_changes_round_trip(void **state)
{
	struct wire_object object = {"servers/a", 12, {3, "xyz"}};
	struct wire_args beat = {.proc = WIRE_BEAT};
	struct wire_args changes = {.proc = WIRE_CHANGES};
	struct wire_args back;
	struct wire_request r;
	char data[2048];
	size_t n;

	(void)state;
	beat.u.beat.origin = "vm1";
	beat.u.beat.sequence = 5;
	beat.u.beat.live_sum = 0xfedcba9876543210ULL;
	beat.u.beat.age_ms = 700;
	n = wire_encode_call(data, sizeof(data), 9, &beat);
	assert_int_equal(wire_decode_call(data, n, &r, &back), 0);
	assert_string_equal(back.u.beat.origin, "vm1");
	assert_true(back.u.beat.live_sum == 0xfedcba9876543210ULL);
	assert_int_equal(back.u.beat.age_ms, 700);
	wire_args_free(&back);
	/* The procedure's number is the sixth word of a call. */
	data[23] = 99;
	assert_int_equal(wire_decode_call(data, n, &r, &back), -1);
	changes.u.changes.origin = "vm1";
	changes.u.changes.object.object_val = &object;
	changes.u.changes.object.object_len = 1;
	n = wire_encode_call(data, sizeof(data), 9, &changes);
	assert_int_equal(wire_decode_call(data, n, &r, &back), 0);
	assert_int_equal(back.u.changes.object.object_len, 1);
	assert_int_equal(back.u.changes.object.object_val[0].revision, 12);
	wire_args_free(&back);
}

static void test_reply_round_trip(void **state)
{
	struct wire_result r = {.proc = WIRE_CLAIM};
	struct wire_result back = {.proc = WIRE_CLAIM};
	char data[256];
	size_t n;

	(void)state;
	r.u.verdict.token = 0x1234567890abcdefULL;
	r.u.verdict.http_status = 201;
	n = wire_encode_reply(data, sizeof(data), 4, &r);
	assert_int_equal(wire_decode_reply(data, n, &back), 0);
	assert_true(back.u.verdict.token == r.u.verdict.token);
	assert_int_equal(back.u.verdict.http_status, 201);
	wire_result_free(&back);
}

/* Truncated messages and messages with altered bytes: the decoder must accept
 * or reject each without reading past its end, leaking memory or allocating
 * more than the schema allows. */
static void test_hostile_messages(void **state)
{
	struct wire_vm rumor;
	struct wire_args a = probe_args(&rumor);
	char valid[2048];
	size_t n = wire_encode_call(valid, sizeof(valid), 9, &a);
	int refused = 0;

	(void)state;
	srand(3);
	for (int i = 0; i < 200000; i++) {
		struct wire_args back;
		struct wire_request r;
		size_t len = n;
		char *data;

		if (rand() % 4 == 0)
			len = (size_t)rand() % n;
		/* A heap block of its own lets AddressSanitizer detect a read
		 * past the end. */
		data = malloc(len + 1);
		memcpy(data, valid, len);
		for (int k = rand() % 4; k > 0 && len; k--)
			data[(size_t)rand() % len] = (char)rand();
		if (wire_decode_call(data, len, &r, &back))
			refused++;
		else
			wire_args_free(&back);
		free(data);
	}
	assert_true(refused > 10000);
}

/* Fills the arguments of the procedures about loads and shared limits. */
static void fill_load_sample(uint32_t proc, struct wire_args *a)
{
	static struct wire_load load = {6, 3, 1, 140, 70};
	static struct wire_region_load region_load = {7, 12000};
	static struct wire_usage_entry entry = {.limit = 5, .taken = 6};

	switch (proc) {
	case WIRE_LOADS:
		a->u.loads.load.load_val = &load;
		a->u.loads.load.load_len = 1;
		break;
	case WIRE_REGION_LOADS:
		a->u.region_loads.region = "r";
		a->u.region_loads.load.load_val = &region_load;
		a->u.region_loads.load.load_len = 1;
		break;
	case WIRE_USAGE:
		a->u.usage.entry.entry_val = &entry;
		a->u.usage.entry.entry_len = 1;
		break;
	default:
		break;
	}
}

/* Calls of all procedures, with each array filled. */
static size_t encode_sample(uint32_t proc, char *data, size_t size)
{
	struct wire_vm vm = {"a", "r", "d", "127.0.0.1:1", "127.0.0.1:2", 3, 0};
	struct wire_object object = {"servers/a", 12, {3, "xyz"}};
	struct wire_news news = {
		.instance = "i-1", .upstream = 3, .body.type = WIRE_NEWS_LIMIT};
	uint64_t service = 4;
	struct wire_quarantine_record record = {.head = 5};
	struct wire_args a = {.proc = proc};

	switch (proc) {
	case WIRE_PROBE:
		a.u.probe.from = vm;
		a.u.probe.rumor.rumor_val = &vm;
		a.u.probe.rumor.rumor_len = 1;
		break;
	case WIRE_INDIRECT:
		a.u.indirect.from = vm;
		a.u.indirect.target = "127.0.0.1:3";
		break;
	case WIRE_PUSH:
		a.u.push.object.object_val = &object;
		a.u.push.object.object_len = 1;
		break;
	case WIRE_BORROW:
		a.u.borrow.service = "s";
		a.u.borrow.region = "r";
		a.u.borrow.borrower = "a";
		break;
	case WIRE_RETURN:
		a.u.give_back.service = "s";
		a.u.give_back.region = "r";
		break;
	case WIRE_COLD:
		a.u.cold.instance = "i-1";
		break;
	case WIRE_NEWS:
		a.u.news.news.news_val = &news;
		a.u.news.news.news_len = 1;
		break;
	case WIRE_ISOLATION:
		a.u.isolation.vm = "a";
		a.u.isolation.service.service_val = &service;
		a.u.isolation.service.service_len = 1;
		break;
	case WIRE_BEAT:
		a.u.beat.origin = "a";
		break;
	case WIRE_CHANGES:
		a.u.changes.origin = "a";
		a.u.changes.object.object_val = &object;
		a.u.changes.object.object_len = 1;
		break;
	case WIRE_QUARANTINE:
		a.u.quarantine.record.record_val = &record;
		a.u.quarantine.record.record_len = 1;
		break;
	default:
		fill_load_sample(proc, &a);
		break;
	}
	return wire_encode_call(data, size, 9, &a);
}

static size_t encode_sample_reply(uint32_t proc, char *data, size_t size)
{
	struct wire_vm vm = {"a", "r", "d", "127.0.0.1:1", "127.0.0.1:2", 3, 0};
	struct wire_object object = {"servers/a", 12, {3, "xyz"}};
	struct wire_usage_answer answer = {.known = 1, .credit_milli = -5};
	struct wire_demand demand = {.limit = 5, .rate_milli = 6};
	uint64_t low = 5;
	struct wire_result r = {.proc = proc};

	if (proc == WIRE_USAGE) {
		r.u.usage.answer.answer_val = &answer;
		r.u.usage.answer.answer_len = 1;
		r.u.usage.low.low_val = &low;
		r.u.usage.low.low_len = 1;
		r.u.usage.demand.demand_val = &demand;
		r.u.usage.demand.demand_len = 1;
	}
	if (proc == WIRE_PROBE || proc == WIRE_INDIRECT) {
		r.u.ack.from = vm;
		r.u.ack.rumor.rumor_val = &vm;
		r.u.ack.rumor.rumor_len = 1;
	}
	if (proc == WIRE_PULL) {
		r.u.delta.object.object_val = &object;
		r.u.delta.object.object_len = 1;
	}
	return wire_encode_reply(data, size, 9, &r);
}

/* Decodes the first bytes of a message, in a block of their own. */
static int decode(uint32_t proc, int is_reply, const char *bytes, size_t len)
{
	struct wire_result result = {.proc = proc};
	struct wire_args args;
	struct wire_request r;
	char *data = malloc(len + 1);
	int rc;

	memcpy(data, bytes, len);
	rc = is_reply ? wire_decode_reply(data, len, &result)
		      : wire_decode_call(data, len, &r, &args);
	if (!rc && is_reply)
		wire_result_free(&result);
	if (!rc && !is_reply)
		wire_args_free(&args);
	free(data);
	return rc;
}

/* Loads arrive as they were sent, the slowness that is not known too. */
static void test_loads_round_trip(void **state)
{
	struct wire_load sent = {6, 3, 1, -1, 70};
	struct wire_args a = {.proc = WIRE_LOADS};
	const struct wire_load *load;
	struct wire_args back;
	struct wire_request r;
	char data[1024];
	size_t n;

	(void)state;
	a.u.loads.load.load_val = &sent;
	a.u.loads.load.load_len = 1;
	n = wire_encode_call(data, sizeof(data), 9, &a);
	assert_int_equal(wire_decode_call(data, n, &r, &back), 0);
	assert_int_equal(back.u.loads.load.load_len, 1);
	load = back.u.loads.load.load_val;
	assert_int_equal(load->upstream, 6);
	assert_int_equal(load->running, 3);
	assert_int_equal(load->waiting, 1);
	assert_int_equal(load->slowness_percent, -1);
	assert_int_equal(load->age_ms, 70);
	wire_args_free(&back);
}

/* Only the whole message counts: not a part of it, nor one that something
 * follows, be it padding or another message. */
static void test_message_of_another_length_is_taken(void **state)
{
	int nfailed = 0;

	(void)state;
	for (uint32_t proc = WIRE_PROBE; proc <= WIRE_REGION_LOADS; proc++)
		for (int is_reply = 0; is_reply < 2; is_reply++) {
			char data[2048] = {0};
			size_t n =
				is_reply ? encode_sample_reply(proc, data, 1024)
					 : encode_sample(proc, data, 1024);

			assert_true(n > 0);
			assert_int_equal(decode(proc, is_reply, data, n), 0);
			for (size_t len = 0; len < n; len++)
				nfailed += !decode(proc, is_reply, data, len);
			for (size_t len = n + 1; len <= n + 64; len++)
				nfailed += !decode(proc, is_reply, data, len);
			memcpy(data + n, data, n);
			nfailed += !decode(proc, is_reply, data, 2 * n);
		}
	assert_int_equal(nfailed, 0);
}

static void on_call(void *ctx, const struct wire_request *r,
		    const struct wire_args *args)
{
	struct wire_node *n = ctx;
	struct wire_result result = {.proc = WIRE_CLAIM};

	if (args->proc != WIRE_CLAIM)
		return;
	result.u.verdict.token = args->u.claim.token + 1;
	wire_reply(n, r, &result, NULL);
}

struct call_outcome {
	int completed;
	int answered;
	uint64_t token;
};

static void on_done(void *ctx, const struct wire_result *result)
{
	struct call_outcome *g = ctx;

	g->completed++;
	if (!result)
		return;
	g->answered++;
	g->token = result->u.verdict.token;
}

/* A call completes with its reply or, if the reply is lost, at its deadline; it
 * must not stay pending. */
static void test_call_and_timeout(void **state)
{
	static struct wire_node a;
	static struct wire_node b;
	struct wire_args args = {.proc = WIRE_CLAIM, .u.claim.token = 41};
	struct call_outcome outcome = {0};
	struct wire_call_options o = {.deadline_ms = prl_now_ms() + 1000,
				      .done = on_done,
				      .ctx = &outcome};
	struct loop l;

	(void)state;
	loop_init(&l, NULL);
	assert_int_equal(
		wire_node_init(&a, &l, "127.0.0.1:28411", on_call, &a, NULL),
		PRL_OK);
	assert_int_equal(
		wire_node_init(&b, &l, "127.0.0.1:28412", on_call, &b, NULL),
		PRL_OK);
	wire_call(&a, "127.0.0.1:28412", &args, &o, NULL);
	while (!outcome.completed)
		loop_run_once(&l, prl_now_ms() + 100);
	assert_int_equal(outcome.token, 42);
	/* A call without a reply is retransmitted, and completes once, at its
	 * deadline. */
	memset(&outcome, 0, sizeof(outcome));
	args.proc = WIRE_PULL;
	o.deadline_ms = prl_now_ms() + 60;
	o.retransmit_ms = 20;
	wire_call(&a, "127.0.0.1:28412", &args, &o, NULL);
	while (!outcome.completed)
		loop_run_once(&l, prl_now_ms() + 100);
	assert_int_equal(outcome.answered, 0);
	assert_true(b.received_datagrams >= 3);
	wire_node_finish(&a);
	wire_node_finish(&b);
	loop_finish(&l);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_call_round_trip),
		cmocka_unit_test(test_beat_and_changes_round_trip),
		cmocka_unit_test(test_reply_round_trip),
		cmocka_unit_test(test_hostile_messages),
		cmocka_unit_test(test_loads_round_trip),
		cmocka_unit_test(test_message_of_another_length_is_taken),
		cmocka_unit_test(test_call_and_timeout),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
