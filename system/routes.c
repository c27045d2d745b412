#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include "routes.h"
#include <cmocka.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

pid_t routes_vm_pid[ROUTES_VMS_MAX + 1];

int routes_port_base = TEST_PORT(9000);

int routes_readers = 3;

int routes_drain_ms = 500;

const char *routes_traffic_lines = "";

const char *routes_more_sections = "";

int routes_is_production[ROUTES_VMS_MAX + 1];

const char *routes_region[ROUTES_VMS_MAX + 1];

/* 0 stands for STORE_PORT. */
static int objects_port;

void routes_use_store(int port)
{
	objects_port = port;
}

void routes_put_object(const char *key, const char *value)
{
	char url[160];
	struct http_request req = {.method = "PUT", .url = url, .body = value};

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/objects/%s",
		 objects_port ? objects_port : STORE_PORT, key);
	assert_int_equal(harness_send_request(&req).status, 200);
}

void routes_set_store_faults(const char *query)
{
	char url[120];
	char text[400];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/faults?%s",
		 STORE_PORT, query);
	assert_int_equal(harness_get(url, text, sizeof(text)), 200);
}

void routes_put_manifest(int version, const char *safe_service)
{
	char text[2048];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":{"
		 "\"a\":{\"host\":\"h.example\",\"path_prefix\":\"/safe/\","
		 "\"kind\":\"safe\",\"timeout_ms\":2000,"
		 "\"target_latency_ms\":500,\"priority\":2,\"service\":\"%s\","
		 "\"max_attempts\":2,\"sticky_sessions\":true},"
		 "\"b\":{\"host\":\"h.example\",\"path_prefix\":\"/once/\","
		 "\"kind\":\"unsafe\",\"timeout_ms\":1500,"
		 "\"target_latency_ms\":500,\"priority\":1,\"service\":\"s\","
		 "\"max_attempts\":2},"
		 "\"c\":{\"host\":\"h.example\",\"path_prefix\":\"/up/\","
		 "\"kind\":\"upload\",\"timeout_ms\":20000,"
		 "\"target_latency_ms\":500,\"priority\":1,\"service\":\"s\","
		 "\"max_attempts\":2},"
		 "\"d\":{\"host\":\"h.example\",\"path_prefix\":\"/none/\","
		 "\"kind\":\"upload\",\"timeout_ms\":20000,"
		 "\"target_latency_ms\":500,\"priority\":1,"
		 "\"service\":\"empty\",\"max_attempts\":2},"
		 "\"e\":{\"host\":\"h.example\",\"path_prefix\":\"/far/\","
		 "\"kind\":\"safe\",\"timeout_ms\":2000,\"service\":\"s\","
		 "\"home_regions\":[\"sur\"]},"
		 "\"f\":{\"host\":\"h.example\",\"path_prefix\":\"/near/\","
		 "\"kind\":\"safe\",\"timeout_ms\":2000,\"service\":\"s\","
		 "\"home_regions\":[\"norte\",\"sur\"]}},"
		 "\"services\":{\"s\":{\"max_connections\":100,"
		 "\"health_check_path\":\"/health\","
		 "\"cold_start_s\":0,\"cold_per_s\":5},"
		 "\"t\":{\"max_connections\":4,\"cold_start_s\":0,"
		 "\"cold_per_s\":5},\"empty\":{}},"
		 "\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
		 "\"idle_timeout_ms\":15000}}",
		 version, safe_service);
	routes_put_object("config/main", text);
}

/* Slots of an upstream, unless a test needs others. */
#define UPSTREAM_SLOTS 6

static void put_entry(const char *instance, const char *service, int port,
		      const char *state, int slots, int cold_ms, int sequence)
{
	char key[80];
	char text[2048];

	snprintf(key, sizeof(key), "servers/%s", instance);
	snprintf(text, sizeof(text),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"norte-a\",\"version\":\"v1\",\"slots\":%d,"
		 "\"state\":\"%s\",\"cold_remaining_ms\":%d,\"sequence\":%d,"
		 "\"born\":1700000000000}",
		 service, port, slots, state, cold_ms, sequence);
	routes_put_object(key, text);
}

void routes_put_cold_upstream(const char *instance, const char *service,
			      int port, int cold_ms, int sequence)
{
	put_entry(instance, service, port, "ready", UPSTREAM_SLOTS, cold_ms,
		  sequence);
}

void routes_put_upstream(const char *instance, const char *service, int port,
			 const char *state, int sequence)
{
	put_entry(instance, service, port, state, UPSTREAM_SLOTS, 0, sequence);
}

void routes_put_slots(const char *instance, const char *service, int port,
		      int slots, int sequence)
{
	put_entry(instance, service, port, "ready", slots, 0, sequence);
}

pid_t routes_start_returning_upstream(const char *instance, int port,
				      int away_ms)
{
	char listen[64];
	char name[64];
	char away[32];
	const char *args[] = {listen, name, away, NULL};
	char url[80];
	pid_t pid;

	snprintf(listen, sizeof(listen), "--listen=127.0.0.1:%d", port);
	snprintf(name, sizeof(name), "--instance=%s", instance);
	snprintf(away, sizeof(away), "--away=%d", away_ms);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/stats", port);
	pid = harness_spawn("standin-odd", args);
	assert_true(fleet_wait_text(url, "ran", 5000));
	return pid;
}

pid_t routes_start_upstream(const char *instance, int port)
{
	return routes_start_returning_upstream(instance, port, 0);
}

int64_t routes_upstream_stat(int port, const char *name)
{
	char url[80];
	char text[400];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/stats", port);
	harness_get(url, text, sizeof(text));
	return harness_json_int(text, name);
}

int64_t routes_runs_of_s(void)
{
	return routes_upstream_stat(UPSTREAM_PORT(1), "ran") +
	       routes_upstream_stat(UPSTREAM_PORT(2), "ran");
}

static const char vm_settings_format[] =
	"[steering]\nsource = manifest\n"
	"[traffic]\nthreads = 1\nidle = 5\n%s"
	"[control]\nheartbeat = 100\nsuspect = 600\ndrain = %d\n%s"
	"[domain norte-a]\nregion = norte\n"
	"[bound 0]\nis = grace_period_s=6\n"
	"[bound 1]\nis = budget_extra_retries=600\n"
	"%s";

pid_t routes_spawn_vm(int n, int store_port)
{
	char listen[200];
	char settings[sizeof(vm_settings_format) + 300];
	char more[160] = "";
	char traffic[120];
	char domain[40];
	const char *region = routes_region[n] ? routes_region[n] : "norte";
	struct vm_config vm = {.number = n,
			       .port_base = PORT_BASE,
			       .store_port = store_port,
			       .region = region,
			       .domain = domain,
			       .extra_listen_lines = listen,
			       .extra_settings = settings};

	snprintf(domain, sizeof(domain), "%s-a", region);
	if (routes_is_production[n])
		vm.program = "primroseleadd-production";
	else
		snprintf(more, sizeof(more), "readers = %d\n", routes_readers);
	g_strlcpy(traffic, routes_traffic_lines, sizeof(traffic));
	if (routes_region[n]) {
		g_strlcat(traffic, "direct_uses = 1000000\n", sizeof(traffic));
		snprintf(more + strlen(more), sizeof(more) - strlen(more),
			 "[domain %s]\nregion = %s\n", domain, region);
	}
	snprintf(settings, sizeof(settings), vm_settings_format, traffic,
		 routes_drain_ms, more, routes_more_sections);
	snprintf(listen, sizeof(listen),
		 "lookup = 127.0.0.1:%d\nready = 127.0.0.1:%d\n"
		 "metrics = 127.0.0.1:%d\n",
		 LOOKUP_PORT(n), READY_PORT(n), METRICS_PORT(n));
	return fleet_start_vm(&vm);
}

int routes_wait_ready(int n, int timeout_ms)
{
	char url[80];

	snprintf(url, sizeof(url), "http://127.0.0.1:%d/api/readiness",
		 READY_PORT(n));
	return fleet_wait_text(url, "live", timeout_ms);
}

void routes_start_vm_with_store(int n, int store_port)
{
	routes_vm_pid[n] = routes_spawn_vm(n, store_port);
	assert_true(routes_wait_ready(n, 5000));
}

void routes_start_vm(int n)
{
	routes_start_vm_with_store(n, STORE_PORT);
}

int routes_setup(void **state)
{
	const char *base = getenv("ROUTES_PORT_BASE");

	(void)state;
	if (base)
		routes_port_base = atoi(base);
	fleet_start_store(STORE_PORT);
	routes_start_upstream("i-1", UPSTREAM_PORT(1));
	routes_start_upstream("i-2", UPSTREAM_PORT(2));
	routes_start_upstream("i-3", UPSTREAM_PORT(3));
	routes_put_manifest(3, "s");
	routes_put_upstream("i-1", "s", UPSTREAM_PORT(1), "ready", 1);
	routes_put_upstream("i-2", "s", UPSTREAM_PORT(2), "ready", 1);
	routes_put_upstream("i-3", "t", UPSTREAM_PORT(3), "ready", 1);
	/* A malformed entry, which VMs must ignore. */
	routes_put_object("servers/forged", "{\"service\":7}");
	routes_start_vm(1);
	routes_start_vm(2);
	return 0;
}

int routes_teardown(void **state)
{
	(void)state;
	harness_finish();
	return 0;
}

struct http_response routes_request_at(int n, const char *method,
				       const char *path)
{
	static int serial;
	char id[64];
	char url[160];
	const char *headers[] = {id, "X-Deadline-Remaining-Ms: 4000",
				 "X-Affinity-Key: 7", NULL};
	struct http_request req = {.method = method,
				   .url = url,
				   .host = "h.example",
				   .headers = headers};

	snprintf(id, sizeof(id), "X-Request-Id: r%d", ++serial);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", HTTP_PORT(n), path);
	return harness_send_request(&req);
}

struct http_response routes_request(const char *method, const char *path)
{
	return routes_request_at(1, method, path);
}

void routes_expect_complete(const struct http_response *resp)
{
	assert_int_equal(resp->status, 200);
	assert_int_equal(resp->has_server_stamp, 1);
	assert_string_equal(resp->body, "hello world\n");
}
