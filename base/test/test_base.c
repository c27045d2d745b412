#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <primroselead/address.h>
#include <primroselead/backoff.h>
#include <primroselead/clock.h>
#include <primroselead/error.h>
#include <primroselead/hash.h>
#include <string.h>

static void test_error_names_code(void **state)
{
	struct prl_error err;

	(void)state;
	assert_int_equal(prl_error_set(&err, PRL_E_CONFLICT, "x %d", 7),
			 PRL_E_CONFLICT);
	assert_string_equal(err.text, "x 7");
	assert_string_equal(prl_code_name(err.code), "CONFLICT");
	assert_string_equal(prl_code_name((enum prl_code)99), "UNKNOWN");
	assert_int_equal(prl_error_set(NULL, PRL_E_IO, "y"), PRL_E_IO);
}

static void test_exit_statuses_differ(void **state)
{
	(void)state;
	for (int i = 0; i < prl_codes_count; i++)
		for (int k = 0; k < i; k++)
			assert_int_not_equal(
				prl_code_exit_status((enum prl_code)i),
				prl_code_exit_status((enum prl_code)k));
}

static void test_error_text_is_cut(void **state)
{
	struct prl_error err;
	char text[2000];

	(void)state;
	memset(text, 'a', sizeof(text) - 1);
	text[sizeof(text) - 1] = 0;
	prl_error_set(&err, PRL_E_IO, "%s", text);
	assert_int_equal(strlen(err.text), PRL_ERROR_TEXT_MAX - 1);
}

static void check_address(const char *text, int valid)
{
	struct sockaddr_storage addr;
	char back[PRL_ADDRESS_MAX];
	socklen_t len;

	assert_int_equal(prl_address_parse(text, &addr, &len), valid ? 0 : -1);
	if (!valid)
		return;
	prl_address_format(&addr, back, sizeof(back));
	assert_string_equal(back, text);
}

static void test_addresses(void **state)
{
	(void)state;
	check_address("127.0.0.1:80", 1);
	check_address("[::1]:8080", 1);
	check_address("localhost:80", 0);
	check_address("127.0.0.1", 0);
	check_address("127.0.0.1:0", 0);
	check_address("127.0.0.1:65536", 0);
	check_address("127.0.0.1:80x", 0);
	check_address(":80", 0);
	check_address("", 0);
	check_address("[::1:80", 0);
	check_address("[]:80", 0);
}

static void test_hash_order_matters(void **state)
{
	(void)state;
	assert_true(prl_hash_combine(1, 2) != prl_hash_combine(2, 1));
	assert_true(prl_hash_string("a") != prl_hash_string("b"));
	assert_true(prl_hash128("a", 1).low != prl_hash128("a", 1).high);
}

static void test_backoff(void **state)
{
	(void)state;
	assert_int_equal(prl_backoff(100, 800, 0), 100);
	assert_int_equal(prl_backoff(100, 800, 2), 400);
	assert_int_equal(prl_backoff(100, 800, 1000), 800);
	assert_int_equal(prl_backoff(100, 10000, 7), 10000);
	for (uint64_t random = 0; random < 1000; random += 7)
		assert_in_range(prl_jitter(100, random), 50, 149);
}

static void test_clock_does_not_go_back(void **state)
{
	int64_t before = prl_now_us();

	(void)state;
	for (int i = 0; i < 1000; i++) {
		int64_t now = prl_now_us();

		assert_true(now >= before);
		before = now;
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_error_names_code),
		cmocka_unit_test(test_exit_statuses_differ),
		cmocka_unit_test(test_error_text_is_cut),
		cmocka_unit_test(test_addresses),
		cmocka_unit_test(test_hash_order_matters),
		cmocka_unit_test(test_backoff),
		cmocka_unit_test(test_clock_does_not_go_back),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
