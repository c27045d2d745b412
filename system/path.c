#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "path.h"
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct vm vm1 = {1, BASE, STORE, "norte", "norte-a", NULL, NULL};
const struct vm path_vm2 = {2, BASE, STORE, "norte", "norte-b", NULL, NULL};
static const struct vm vm3 = {3, BASE, STORE, "sur", "sur-a", NULL, NULL};

/* Time between two tries, in ms. */
#define RETRY_MS 20

pid_t path_vm[4];
pid_t path_upstream[3];
char path_out[65536];

#define SERVICE(deadline_ms)                                                   \
	"[service]\nname = s\ndeadline = " #deadline_ms                        \
	"\nlookup_ttl = 500\nwarmup = 0\n" UPSTREAMS
#define UPSTREAMS                                                              \
	"[never_twice a]\npath = /accept*\n"                                   \
	"[region norte]\ncapacity = 12\nspill = sur\n"                         \
	"[region sur]\ncapacity = 6\nspill = norte\n"                          \
	"[upstream n1]\nregion = norte\ndomain = a\naddress = "                \
	"127.0.0.1:27300\n"                                                    \
	"slots = 6\n"                                                          \
	"[upstream n2]\nregion = norte\ndomain = b\naddress = "                \
	"127.0.0.1:27301\n"                                                    \
	"slots = 6\n"                                                          \
	"[upstream s1]\nregion = sur\ndomain = a\naddress = 127.0.0.1:27302\n" \
	"slots = 6\n"

const char path_service[] = SERVICE(8000);

/* For bodies of 64 MiB where each step is checked and the cores are taken. */
const char path_patient_service[] = SERVICE(60000);

int path_publish(const char *text)
{
	harness_write("s.ini", text);
	return harness_run(path_out, sizeof(path_out), "primroselead",
			   "publish", "--store=127.0.0.1:27000", "--by=test",
			   harness_path("s.ini"), NULL);
}

int64_t path_published(void)
{
	const char *at = strstr(path_out, "by version ");

	return at ? strtoll(at + 11, NULL, 10) : -1;
}

/* Publishes and waits until all VMs have it; returns 0 or -1. */
int path_put_in_force(const char *text)
{
	if (path_publish(text))
		return -1;
	for (int i = 1; i <= 3; i++)
		if (!fleet_wait(BASE + i, path_published(), 15000))
			return -1;
	return 0;
}

int path_store_faults(const char *query)
{
	char url[160];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/faults?%s", STORE,
		 query);
	return harness_get(url, path_out, sizeof(path_out));
}

void path_upstream_set(int i, const char *query)
{
	char url[160];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/set?%s", UP + i,
		 query);
	assert_int_equal(harness_get(url, path_out, sizeof(path_out)), 200);
}

int64_t path_upstream_number(int i, const char *key)
{
	char url[160];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/stats", UP + i);
	harness_get(url, path_out, sizeof(path_out));
	return harness_number(path_out, key);
}

/* How often any upstream ran a key. */
int path_key_count(const char *key)
{
	char url[200];
	int n = 0;

	for (int i = 0; i < 3; i++) {
		snprintf(url, sizeof(url),
			 "http://127.0.0.1:%d/admin/count?key=%s", UP + i, key);
		harness_get(url, path_out, sizeof(path_out));
		n += atoi(path_out);
	}
	return n;
}

struct answer path_accept_at(int vm, const char *key)
{
	char url[80];
	struct call c = {.method = "POST",
			 .url = url,
			 .host = "s",
			 .key = key,
			 .body = "deposit"};

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/accept", BASE + vm);
	return harness_call(&c);
}

struct answer path_accept_free(int vm, const char *key, int ms)
{
	struct answer a = path_accept_at(vm, key);

	for (int left = ms; a.status != 200 && left > 0; left -= RETRY_MS) {
		harness_sleep(RETRY_MS);
		a = path_accept_at(vm, key);
	}
	return a;
}

int path_setup(void **state)
{
	(void)state;
	fleet_store(STORE);
	for (int i = 0; i < 3; i++)
		path_upstream[i] = fleet_upstream(UP + i, 6);
	path_vm[1] = fleet_vm(&vm1);
	path_vm[2] = fleet_vm(&path_vm2);
	path_vm[3] = fleet_vm(&vm3);
	if (path_put_in_force(path_service))
		return -1;
	/* Capacity is taken by the next looks at the ledger. */
	harness_sleep(2500);
	return 0;
}

int path_teardown(void **state)
{
	(void)state;
	harness_finish();
	return 0;
}

void path_run_load(const char *const *more)
{
	const char *args[16] = {"--vm=127.0.0.1:27101,127.0.0.1:27102",
				"--service=s"};
	char text[65536];
	int n = 2;

	while (*more)
		args[n++] = *more++;
	assert_int_equal(harness_run(text, sizeof(text), "standin-load",
				     args[0], args[1], args[2], args[3],
				     args[4], args[5], args[6], args[7],
				     args[8], NULL),
			 0);
	memcpy(path_out, text, sizeof(path_out));
	print_message("%s", path_out);
	assert_int_equal(harness_number(path_out, "cut"), 0);
	assert_int_equal(harness_number(path_out, "wrong"), 0);
}
