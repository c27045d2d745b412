#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "isolated.h"
#include <cmocka.h>
#include <stdio.h>

#define LINK_PORT(n) (PORT_BASE + 300 + (n))
#define LINK_ADMIN_PORT (PORT_BASE + 310)

/* Time from the cut until callers must be served again, in ms. */
#define TOUCH_MS 4000

/* Pause between two requests, in ms, and after one that was not served. */
#define REQUEST_INTERVAL_MS 40
#define FAILED_INTERVAL_MS 700

void isolated_set_link(const char *mode)
{
	char url[80];
	char text[64];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/%s",
		 LINK_ADMIN_PORT, mode);
	assert_int_equal(harness_get(url, text, sizeof(text)), 200);
}

static void start_link(void)
{
	char admin[32];
	char paths[120];
	char url[80];
	const char *args[] = {admin, paths, NULL};

	snprintf(admin, sizeof(admin), "--admin=%d", LINK_ADMIN_PORT);
	snprintf(paths, sizeof(paths), "--paths=%d:%d,%d:%d,%d:%d",
		 LINK_PORT(1), UPSTREAM_PORT(1), LINK_PORT(2), UPSTREAM_PORT(2),
		 LINK_PORT(3), UPSTREAM_PORT(3));
	harness_spawn("standin-link", args);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/pass",
		 LINK_ADMIN_PORT);
	assert_true(fleet_wait_text(url, "done", 5000));
}

static void put_upstreams(void)
{
	routes_use_store(ISOLATED_STORE_PORT);
	routes_put_manifest(3, "s");
	routes_put_upstream("i-1", "s", LINK_PORT(1), "ready", 1);
	routes_put_upstream("i-2", "s", LINK_PORT(2), "ready", 1);
	routes_put_upstream("i-3", "t", LINK_PORT(3), "ready", 1);
	routes_use_store(STORE_PORT);
}

void isolated_start(void)
{
	start_link();
	fleet_start_store(ISOLATED_STORE_PORT);
	put_upstreams();
	routes_start_vm_with_store(ISOLATED_VM, ISOLATED_STORE_PORT);
}

void isolated_press(void)
{
	for (int ms = 0; ms < TOUCH_MS;) {
		struct http_response resp =
			routes_request_at(ISOLATED_VM, "GET", "/safe/plain");

		ms += resp.status == 200 ? REQUEST_INTERVAL_MS
					 : FAILED_INTERVAL_MS;
		harness_sleep_ms(REQUEST_INTERVAL_MS);
	}
}

void isolated_cut(void)
{
	isolated_set_link("refuse");
	isolated_press();
}
