#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "path.h"
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct vm_config vm1 = {1,		PORT_BASE, STORE_PORT, "norte",
				     "norte-a", NULL,	   NULL,       NULL};
const struct vm_config path_vm2_config = {
	2, PORT_BASE, STORE_PORT, "norte", "norte-b", NULL, NULL, NULL};
static const struct vm_config vm3 = {3,	      PORT_BASE, STORE_PORT, "sur",
				     "sur-a", NULL,	 NULL,	     NULL};

#define RETRY_MS 20

pid_t path_vm_pid[4];
pid_t path_upstream_pid[3];
char path_output[65536];

#define SERVICE(deadline_ms)                                                   \
	"[service]\nname = s\ndeadline = " #deadline_ms                        \
	"\nlookup_ttl = 500\nwarmup = 0\n" UPSTREAMS
#define UPSTREAMS                                                              \
	"[never_twice a]\npath = /accept*\n"                                   \
	"[region norte]\ncapacity = 12\nspill = sur\n"                         \
	"[region sur]\ncapacity = 6\nspill = norte\n"                          \
	"[upstream n1]\nregion = norte\ndomain = a\naddress = " LOOPBACK       \
	"7300\n"                                                               \
	"slots = 6\n"                                                          \
	"[upstream n2]\nregion = norte\ndomain = b\naddress = " LOOPBACK       \
	"7301\n"                                                               \
	"slots = 6\n"                                                          \
	"[upstream s1]\nregion = sur\ndomain = a\naddress = " LOOPBACK         \
	"7302\n"                                                               \
	"slots = 6\n"

const char path_service[] = SERVICE(8000);

const char path_long_deadline_service[] = SERVICE(60000);

int path_publish(const char *text)
{
	harness_write_file("s.ini", text);
	return harness_run(path_output, sizeof(path_output), "primroselead",
			   "publish", "--store=" LOOPBACK "7000", "--by=test",
			   harness_path("s.ini"), NULL);
}

int64_t path_published_version(void)
{
	const char *at = strstr(path_output, "by version ");

	return at ? strtoll(at + 11, NULL, 10) : -1;
}

int path_publish_and_wait(const char *text)
{
	if (path_publish(text))
		return -1;
	for (int i = 1; i <= 3; i++)
		if (!fleet_wait_revision(PORT_BASE + i,
					 path_published_version(), 15000))
			return -1;
	return 0;
}

int path_set_store_faults(const char *query)
{
	char url[160];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/faults?%s",
		 STORE_PORT, query);
	return harness_get(url, path_output, sizeof(path_output));
}

void path_set_upstream(int i, const char *query)
{
	char url[160];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/set?%s",
		 UPSTREAM_PORT_BASE + i, query);
	assert_int_equal(harness_get(url, path_output, sizeof(path_output)),
			 200);
}

int64_t path_upstream_stat(int i, const char *key)
{
	char url[160];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/stats",
		 UPSTREAM_PORT_BASE + i);
	harness_get(url, path_output, sizeof(path_output));
	return harness_json_int(path_output, key);
}

int path_runs_of_key(const char *key)
{
	char url[200];
	int n = 0;

	for (int i = 0; i < 3; i++) {
		snprintf(url, sizeof(url),
			 "http://127.0.0.1:%d/admin/count?key=%s",
			 UPSTREAM_PORT_BASE + i, key);
		harness_get(url, path_output, sizeof(path_output));
		n += atoi(path_output);
	}
	return n;
}

struct http_response path_post_accept(int vm, const char *key)
{
	char url[80];
	struct http_request req = {.method = "POST",
				   .url = url,
				   .host = "s",
				   .idempotency_key = key,
				   .body = "deposit"};

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/accept",
		 PORT_BASE + vm);
	return harness_send_request(&req);
}

struct http_response path_retry_accept(int vm, const char *key, int pauses_ms)
{
	struct http_response resp = path_post_accept(vm, key);

	for (int left = pauses_ms; resp.status != 200 && left > 0;
	     left -= RETRY_MS) {
		harness_sleep_ms(RETRY_MS);
		resp = path_post_accept(vm, key);
	}
	return resp;
}

int path_setup(void **state)
{
	(void)state;
	fleet_start_store(STORE_PORT);
	for (int i = 0; i < 3; i++)
		path_upstream_pid[i] =
			fleet_start_upstream(UPSTREAM_PORT_BASE + i, 6);
	path_vm_pid[1] = fleet_start_vm(&vm1);
	path_vm_pid[2] = fleet_start_vm(&path_vm2_config);
	path_vm_pid[3] = fleet_start_vm(&vm3);
	if (path_publish_and_wait(path_service))
		return -1;
	/* VMs acquire capacity when they next read the ledger. */
	harness_sleep_ms(2500);
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
	const char *args[16] = {"--vm=" LOOPBACK "7101," LOOPBACK "7102",
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
	memcpy(path_output, text, sizeof(path_output));
	print_message("%s", path_output);
	assert_int_equal(harness_json_int(path_output, "cut"), 0);
	assert_int_equal(harness_json_int(path_output, "wrong"), 0);
}
