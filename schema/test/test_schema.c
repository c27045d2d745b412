#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_general.h>
#include <cmocka.h>
#include <primroselead/schema.h>
#include <primroselead/service.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static apr_pool_t *pool;

static int setup(void **state)
{
	(void)state;
	apr_initialize();
	return apr_pool_create(&pool, NULL) != APR_SUCCESS;
}

static int teardown(void **state)
{
	(void)state;
	apr_pool_destroy(pool);
	apr_terminate();
	return 0;
}

static struct prl_error last_error;

static enum prl_code parse_text(const char *text, struct prl_service *s,
				struct prl_faults *f)
{
	memset(f, 0, sizeof(*f));
	strcpy(f->file, "x.ini");
	return prl_schema_parse(&prl_service_schema, text, strlen(text), s,
				pool, f, &last_error);
}

static void test_defaults_and_values(void **state)
{
	struct prl_service s;
	struct prl_faults f;

	(void)state;
	assert_int_equal(parse_text("[service]\nname = a\ndeadline=20\n"
				    "[region n]\ncapacity = 3\nspill= s , c\n",
				    &s, &f),
			 PRL_OK);
	assert_string_equal(s.service.name, "a");
	assert_int_equal(s.service.deadline, 20);
	assert_int_equal(s.service.lookup_ttl, 2000);
	assert_int_equal(s.service.choice, PRL_SERVICE_CHOICE_POWER_OF_TWO);
	assert_int_equal(s.nregion, 1);
	assert_string_equal(s.region[0].label, "n");
	assert_int_equal(s.region[0].spill.n, 2);
	assert_string_equal(s.region[0].spill.item[1], "c");
	assert_int_equal(s.shift.line, 0);
}

static void assert_fault(const struct prl_faults *f, const char *line)
{
	char text[512];

	for (int i = 0; i < f->n; i++) {
		prl_fault_format(f, i, text, sizeof(text));
		if (!strcmp(text, line))
			return;
	}
	for (int i = 0; i < f->n; i++) {
		prl_fault_format(f, i, text, sizeof(text));
		print_message("%s\n", text);
	}
	fail_msg("no fault \"%s\"", line);
}

static void test_every_fault_is_named(void **state)
{
	struct prl_service s;
	struct prl_faults f;

	(void)state;
	assert_int_equal(
		parse_text("[service]\nname = a\ndeadlin = 5\n"
			   "deadline = 1\nchoice = best\nretry_budget = x\n"
			   "[regoin n]\n"
			   "[upstream u]\nregion = n\ndomain = d\n"
			   "address = host:80\n"
			   "[service]\nname = b\n",
			   &s, &f),
		PRL_E_CONFIG);
	assert_fault(&f, "x.ini:3: [service] deadlin: unknown key, the nearest "
			 "known key is \"deadline\"");
	assert_fault(&f, "x.ini:4: [service] deadline: value 1 is outside the "
			 "range 10 to 3600000 ms");
	assert_fault(
		&f,
		"x.ini:5: [service] choice: \"best\" is not one of "
		"random, round-robin, least-outstanding, power-of-two, probe");
	assert_fault(&f, "x.ini:6: [service] retry_budget: \"x\" is not an "
			 "integer from 0 to 100 percent");
	assert_fault(&f,
		     "x.ini:7: [regoin n]: unknown section, the nearest known "
		     "section is [region]");
	assert_fault(&f, "x.ini:11: [upstream u] address: \"host:80\" is not a "
			 "numeric IP address and port such as 127.0.0.1:80");
	assert_fault(&f,
		     "x.ini:8: [upstream u] slots: key is missing and has no "
		     "default");
	assert_fault(&f, "x.ini:12: [service]: duplicate section, first on "
			 "line 1");
	assert_fault(&f, "x.ini:13: [service] name: duplicate key, first on "
			 "line 2");
}

/* Random sequences of tokens must not crash the parser, and an error must come
 * with at least one fault. */
static void test_random_texts(void **state)
{
	static const char *const parts[] = {
		"[service]", "[region ", "]",	     "\n",
		"=",	     "name",	 "capacity", "12",
		"-",	     "#",	 "[",	     " ",
		"\xff",	     "spill",	 ",,,",	     "99999999999999999999",
		"[link a",   "\r\n"};
	struct prl_service s;
	struct prl_faults f;
	char text[512];

	(void)state;
	srand(1);
	for (int i = 0; i < 3000; i++) {
		text[0] = 0;
		for (int k = rand() % 30; k > 0; k--)
			strcat(text, parts[rand() % (int)(sizeof(parts) /
							  sizeof(*parts))]);
		if (!parse_text(text, &s, &f))
			assert_int_equal(f.n, 0);
		else
			assert_true(f.n > 0);
	}
}

static void test_too_many_faults_are_counted(void **state)
{
	struct prl_service s;
	struct prl_faults f;
	char text[4096] = "[service]\nname = a\n";

	(void)state;
	for (int i = 0; i < 100; i++) {
		char line[32];

		snprintf(line, sizeof(line), "k%d = 1\n", i);
		strcat(text, line);
	}
	assert_int_equal(parse_text(text, &s, &f), PRL_E_CONFIG);
	assert_int_equal(f.n, PRL_FAULTS_MAX);
	assert_int_equal(f.n + f.dropped, 100);
}

/* An operator reads the error in a log line; the list of faults may be on
 * another stream. */
static void test_error_does_not_name_a_fault(void **state)
{
	struct prl_service s;
	struct prl_faults f;

	(void)state;
	parse_text("[service]\nname = a\nnone = 1\n\nnor_this = 2\n", &s, &f);
	assert_non_null(strstr(last_error.text, "x.ini:3: [service] none:"));
	assert_non_null(strstr(last_error.text, "(and 1 more fault"));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_defaults_and_values),
		cmocka_unit_test(test_every_fault_is_named),
		cmocka_unit_test(test_random_texts),
		cmocka_unit_test(test_too_many_faults_are_counted),
		cmocka_unit_test(test_error_does_not_name_a_fault),
	};

	return cmocka_run_group_tests(tests, setup, teardown);
}
