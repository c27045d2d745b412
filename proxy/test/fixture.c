#include "fixture.h"
#include "port.h"
#include <apr_general.h>
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/inventory.h>
#include <primroselead/log.h>
#include <primroselead/proxy.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SELF_ID 1

/* Other VMs, all at the scripted server: more than the proxy avoids at a time
 * after they failed. */
#define PEERS (2 * PROXY_AVOIDED_MAX)

#define SETTINGS                                                               \
	"[vm]\nname = vm1\nregion = n\ndomain = n-a\n"                         \
	"[listen]\nhttp = 127.0.0.1:%d\nrpc = 127.0.0.1:%d\n"                  \
	"[store]\naddress = 127.0.0.1:1\n"                                     \
	"[steering]\nsource = manifest\n"                                      \
	"[domain n-a]\nregion = n\n"

static apr_pool_t *pool;
static struct prl_settings settings;
static struct prl_error err;
static struct proxy proxy;
static struct loop control_loop;
static struct mailbox mailbox[3];
static struct config_builder builder;
static struct inventory inv;
static struct steer_view *last_view;
static int relay_port;
static int peer_port;

static void die(const char *what)
{
	fprintf(stderr, "%s: %s\n", what, err.text);
	abort();
}

static void read_settings(int port)
{
	static struct prl_faults faults;
	char text[1024];
	int n = snprintf(text, sizeof(text), SETTINGS, port, relay_port);

	if (!config_settings_parse(text, (size_t)n, &settings, pool, &faults,
				   &err))
		return;
	prl_faults_print(&faults, stderr);
	die("settings");
}

static void set_route(struct fleet_route *route, const char *name,
		      enum fleet_request_kind kind)
{
	route->name = strdup(name);
	route->host = strdup("h");
	route->prefix = g_strdup_printf("/%s/", name);
	route->policy = (struct fleet_policy){.kind = kind,
					      .timeout_ms = 2000,
					      .latency_objective_ms = 500,
					      .attempts_max = 3};
	route->nsplit = 1;
	route->split = calloc(1, sizeof(*route->split));
	route->split[0].weight_milli = 1000;
	route->split[0].service = strdup("s");
}

static void set_home(struct fleet_route *route, const char *region)
{
	route->allowed_region = calloc(1, sizeof(*route->allowed_region));
	route->allowed_region[0] = strdup(region);
	route->nallowed_region = 1;
}

static void install_manifest(struct fleet_workspace *workspace, int nworkspace)
{
	struct fleet_manifest m = {.version = inv.manifest.version + 1,
				   .nroute = 4,
				   .nservice = 1,
				   .has_workspaces = workspace != NULL,
				   .workspace = workspace,
				   .nworkspace = nworkspace};

	m.route = calloc(4, sizeof(*m.route));
	m.service = calloc(1, sizeof(*m.service));
	m.service[0].name = strdup("s");
	m.service[0].connections_max = 1000;
	set_route(&m.route[0], "safe", FLEET_SAFE);
	set_route(&m.route[1], "once", FLEET_UNSAFE);
	set_route(&m.route[2], "open", FLEET_SAFE);
	m.route[2].is_public = 1;
	set_route(&m.route[3], "near", FLEET_SAFE);
	set_home(&m.route[3], "n");
	if (inventory_install_manifest(&inv, &m, &err))
		die("manifest");
}

/* Both are at the same address: a restarted upstream may be listed beside its
 * earlier start. */
static void add_upstreams(int port)
{
	for (int i = 1; i <= 2; i++) {
		struct fleet_upstream u = {
			.slots = 6, .started_ms = i, .sequence = 1};

		snprintf(u.instance, sizeof(u.instance), "i-%d", i);
		strcpy(u.service, "s");
		strcpy(u.domain, "n-a");
		snprintf(u.address, sizeof(u.address), "127.0.0.1:%d", port);
		if (inventory_update_upstream(&inv, &u, prl_now_ms(), &err))
			die("upstream");
	}
	inv.list_complete = 1;
}

static void free_item(void *ctx, void *item)
{
	(void)ctx;
	g_free(item);
}

void fixture_set_hop(enum fixture_hop hop)
{
	struct steer_vm vm[1 + PEERS] = {{.id = SELF_ID}};
	struct steer_view *view;

	vm[0].isolated_from_all = hop == FIXTURE_PEER;
	for (int i = 1; i <= PEERS; i++) {
		vm[i].id = SELF_ID + (uint64_t)i;
		snprintf(vm[i].relay_address, sizeof(vm[i].relay_address),
			 "127.0.0.1:%d", peer_port);
	}
	view = inventory_build_view(&inv, &builder, vm, 1 + PEERS, SELF_ID,
				    prl_now_ms());
	if (!view)
		die("view");
	proxy_set_view(&proxy, view);
	if (last_view)
		config_view_release(last_view);
	last_view = view;
	usleep(50000);
}

static void build_inventory(int server_port)
{
	inventory_init(&inv);
	config_builder_init(&builder);
	inventory_set_domain_region(&inv, "n-a", "n");
	config_region_index(&builder, "n");
	config_region_index(&builder, "s");
	install_manifest(NULL, 0);
	add_upstreams(server_port);
}

int fixture_start(int server_port)
{
	struct fleet_bounds bounds;
	int port = port_find_free();

	apr_initialize();
	log_init("vm1");
	apr_pool_create(&pool, NULL);
	peer_port = server_port;
	relay_port = port_find_free();
	read_settings(port);
	build_inventory(server_port);
	if (loop_init(&control_loop, &err))
		die("loop");
	for (int i = 0; i < 3; i++)
		if (mailbox_init(&mailbox[i], &control_loop, free_item, NULL,
				 &err))
			die("mailbox");
	fleet_bounds_init(&bounds);
	bounds.retry_extra = 1000000;
	if (proxy_init(&proxy, &settings, &bounds, 0, &mailbox[0], &mailbox[1],
		       &mailbox[2], pool, &err) ||
	    proxy_start(&proxy, pool, &err))
		die("proxy");
	fixture_set_hop(FIXTURE_UPSTREAM);
	return port;
}

static void set_workspace(struct fleet_workspace *w, const char *name,
			  const char *key, const char *home)
{
	w->name = strdup(name);
	w->nkey = 1;
	w->key = calloc(1, sizeof(*w->key));
	w->key[0] = prl_digest(key, strlen(key));
	w->priority = -1;
	if (!home)
		return;
	w->allowed_region = calloc(1, sizeof(*w->allowed_region));
	w->allowed_region[0] = strdup(home);
	w->nallowed_region = 1;
}

void fixture_set_workspaces(const char *key_of_alpha)
{
	struct fleet_workspace *w = calloc(4, sizeof(*w));

	set_workspace(&w[0], "alpha", key_of_alpha, NULL);
	set_workspace(&w[1], "beta", "key-of-beta", "n");
	set_workspace(&w[2], "homeless", "key-of-homeless", "nowhere");
	set_workspace(&w[3], "remote", "key-of-remote", "s");
	install_manifest(w, 4);
	fixture_set_hop(FIXTURE_UPSTREAM);
}

int fixture_relay_port(void)
{
	return relay_port;
}

int fixture_is_idle(void)
{
	return !atomic_load(&proxy.open_requests);
}

void fixture_add_outstanding(int n)
{
	const struct steer_service *s = last_view->service[0];

	for (int i = 0; i < s->nupstream; i++)
		atomic_fetch_add(
			&proxy.upstream[s->upstream[i].stats_index].outstanding,
			n);
}

int fixture_counter(enum metric which)
{
	uint64_t sum = 0;

	for (int i = 0; i < proxy.nthread; i++)
		sum += atomic_load(&proxy.thread[i].metrics.counter[which]);
	return (int)sum;
}

int64_t fixture_slowest_upstream_us(void)
{
	int slowest = -1;

	for (int t = 0; t < proxy.nthread; t++)
		for (int i = slowest + 1; i < METRIC_BUCKETS; i++)
			if (atomic_load(
				    &proxy.thread[t]
					     .metrics
					     .bucket[METRIC_UPSTREAM_TIME][i]))
				slowest = i;
	return slowest < 0 ? 0 : metrics_bucket_bound_us(slowest);
}

int64_t fixture_retry_deposits(void)
{
	int64_t n = 0;

	for (int i = 0; i < CONFIG_INDEXES_MAX; i++)
		n += shared_limit_usage(&proxy.service[i].retry_budget)
			     .deposits;
	return n;
}

void fixture_set_end_if_signalled(int64_t end_ms)
{
	atomic_store(&proxy.end_if_signalled_ms, end_ms);
}

void fixture_end_requests(void)
{
	proxy_end_requests(&proxy);
}

void fixture_stop(void)
{
	proxy_stop(&proxy);
	proxy_finish(&proxy);
	config_view_release(last_view);
	last_view = NULL;
	for (int i = 0; i < 3; i++)
		mailbox_finish(&mailbox[i], &control_loop);
	loop_finish(&control_loop);
	inventory_finish(&inv);
	config_builder_finish(&builder);
	apr_pool_destroy(pool);
}
