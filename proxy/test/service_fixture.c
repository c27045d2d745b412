#include "service_fixture.h"
#include "port.h"
#include <apr_general.h>
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <primroselead/proxy.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define SELF_ID 1
#define CAPACITY 100

#define SETTINGS                                                               \
	"[vm]\nname = vm1\nregion = n\ndomain = n-a\n"                         \
	"[listen]\nhttp = 127.0.0.1:%d\nrpc = 127.0.0.1:%d\n"                  \
	"[store]\naddress = 127.0.0.1:1\n"

#define SERVICE                                                                \
	"[service]\nname = h\nretry_budget = 100\ndeadline = 8000\n"           \
	"[never_twice a]\nmethod = POST\npath = /once*\n"                      \
	"[region n]\ncapacity = 100\n"                                         \
	"[upstream u]\nregion = n\ndomain = n-a\naddress = 127.0.0.1:%d\n"     \
	"slots = 50\n"

static apr_pool_t *pool;
static struct prl_settings settings;
static struct prl_faults faults;
static struct prl_error err;
static struct proxy proxy;
static struct loop control_loop;
static struct mailbox mailbox[3];
static struct config_builder builder;
static pthread_t control_thread;
static char stop_request;
static int stopped;
static atomic_int verdict = CLAIM_GRANTED;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
/* Lower halves of the keys of released claims; protected by the lock. */
static GHashTable *released;

static void die(const char *what)
{
	prl_faults_print(&faults, stderr);
	fprintf(stderr, "%s: %s\n", what, err.text);
	abort();
}

static gpointer low_half(struct prl_hash128 key)
{
	return (gpointer)(uintptr_t)key.low;
}

int service_claim_released(const char *key)
{
	char full[256];
	int n = snprintf(full, sizeof(full), "h\n%s", key);
	int found;

	pthread_mutex_lock(&lock);
	found = g_hash_table_contains(released,
				      low_half(prl_hash128(full, (size_t)n)));
	pthread_mutex_unlock(&lock);
	return found;
}

static void receive_claim(void *ctx, void *item)
{
	struct proxy_claim *c = item;

	(void)ctx;
	if (item == &stop_request) {
		stopped = 1;
		loop_stop(&control_loop);
		return;
	}
	if (c->handle && !stopped) {
		c->result.verdict = (enum claim_verdict)atomic_load(&verdict);
		proxy_deliver_claim(c);
		return;
	}
	if (c->record.status == CLAIM_RELEASED) {
		pthread_mutex_lock(&lock);
		g_hash_table_add(released, low_half(c->record.key));
		pthread_mutex_unlock(&lock);
	}
	g_free(c);
}

static void free_news(void *ctx, void *item)
{
	(void)ctx;
	g_free(item);
}

/* A shortage is sent as a number. */
static void ignore(void *ctx, void *item)
{
	(void)ctx;
	(void)item;
}

static void *run_control(void *ctx)
{
	(void)ctx;
	loop_run(&control_loop);
	return NULL;
}

static void read_settings(int port)
{
	char text[1024];
	int n = snprintf(text, sizeof(text), SETTINGS, port, port_find_free());

	if (config_settings_parse(text, (size_t)n, &settings, pool, &faults,
				  &err))
		die("settings");
	settings.traffic.threads = 1;
}

static void put_in_force(int server_port)
{
	struct steer_shift_progress progress = {0};
	struct spread_object o = {.key = "steer/services/h", .version = 1};
	struct steer_vm vm = {.id = SELF_ID};
	char text[1024];
	struct steer_view *view;
	int semaphore;

	o.len = (size_t)snprintf(text, sizeof(text), SERVICE, server_port);
	o.value = text;
	config_builder_init(&builder);
	if (config_region_index(&builder, "n") != 0 ||
	    config_build_service(&builder, &o, &progress, &err))
		die("service");
	semaphore =
		config_find_service(&builder, "h")->region[0].semaphore_index;
	limit_semaphore_resize(&proxy.semaphore[semaphore], CAPACITY);
	proxy.lease_until_ms = PRL_NEVER;
	view = config_build_view(&builder, &vm, 1, SELF_ID, 1);
	if (!view)
		die("view");
	proxy_set_view(&proxy, view);
	config_view_release(view);
	usleep(50000);
}

void service_answer_claims(int answer)
{
	atomic_store(&verdict, answer);
}

void service_spend_retries(void)
{
	int i = config_find_service(&builder, "h")->stats_index;

	limit_ratio_reset(&proxy.service[i].retry_limit);
}

int service_start(int server_port)
{
	struct fleet_bounds bounds;
	int port = port_find_free();

	apr_initialize();
	log_init("vm1");
	apr_pool_create(&pool, NULL);
	released = g_hash_table_new(NULL, NULL);
	read_settings(port);
	if (loop_init(&control_loop, &err) ||
	    mailbox_init(&mailbox[0], &control_loop, receive_claim, NULL,
			 &err) ||
	    mailbox_init(&mailbox[1], &control_loop, ignore, NULL, &err) ||
	    mailbox_init(&mailbox[2], &control_loop, free_news, NULL, &err))
		die("mailboxes");
	fleet_bounds_init(&bounds);
	if (proxy_init(&proxy, &settings, &bounds, 0, &mailbox[0], &mailbox[1],
		       &mailbox[2], pool, &err) ||
	    proxy_start(&proxy, pool, &err) ||
	    pthread_create(&control_thread, NULL, run_control, NULL))
		die("proxy");
	put_in_force(server_port);
	return port;
}

void service_stop(void)
{
	mailbox_send(&mailbox[0], &stop_request);
	pthread_join(control_thread, NULL);
	proxy_stop(&proxy);
	proxy_finish(&proxy);
	for (int i = 0; i < 3; i++)
		mailbox_finish(&mailbox[i], &control_loop);
	loop_finish(&control_loop);
	config_builder_finish(&builder);
	g_hash_table_destroy(released);
	apr_pool_destroy(pool);
}
