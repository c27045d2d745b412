#include "links.h"
#include "soak.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LINK_PORT(group, n) (PORT_BASE + 300 + 20 * (group) + (n))

/* Time of the first start of all upstreams, in ms of Unix time. */
#define FIRST_START_MS 1700000000000LL

/* Port at which a group reaches the store. */
#define STORE_LINK_PORT(group) LINK_PORT(group, 10)

int soak_link_admin_port(int group)
{
	return LINK_PORT(group, 19);
}

int soak_store_link_admin_port(int group)
{
	return LINK_PORT(group, 18);
}

int soak_group(int vm)
{
	return vm % SOAK_GROUPS;
}

static void spawn_link(int admin_port, const char *paths)
{
	char admin[32];
	char url[80];
	const char *args[] = {admin, paths, NULL};

	snprintf(admin, sizeof(admin), "--admin=%d", admin_port);
	harness_spawn("standin-link", args);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/pass",
		 admin_port);
	if (!fleet_wait_text(url, "done", 5000))
		abort();
}

static void start_links(int group)
{
	char paths[200] = "--paths=";
	size_t n = strlen(paths);

	for (int i = 1; i <= SOAK_UPSTREAMS; i++)
		n += (size_t)snprintf(paths + n, sizeof(paths) - n, "%s%d:%d",
				      i > 1 ? "," : "", LINK_PORT(group, i),
				      UPSTREAM_PORT(i));
	spawn_link(soak_link_admin_port(group), paths);
	snprintf(paths, sizeof(paths), "--paths=%d:%d", STORE_LINK_PORT(group),
		 STORE_PORT);
	spawn_link(soak_store_link_admin_port(group), paths);
}

void soak_write_upstream(struct soak *s, int n)
{
	char key[40];
	char text[400] = "";

	snprintf(key, sizeof(key), "servers/i-%d", n);
	s->entry_sequence++;
	if (s->upstream_state[n])
		snprintf(text, sizeof(text),
			 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
			 "\"zone\":\"norte-a\",\"version\":\"v1\","
			 "\"slots\":6,\"state\":\"%s\","
			 "\"cold_remaining_ms\":0,\"sequence\":%d,"
			 "\"born\":%lld}",
			 n <= SOAK_UPSTREAMS_S ? "s" : "t", LINK_PORT(0, n),
			 s->upstream_state[n], s->entry_sequence,
			 FIRST_START_MS + 1000LL * s->upstream_starts[n]);
	routes_put_object(key, text);
}

void soak_put_upstream(struct soak *s, int n, const char *state)
{
	s->upstream_state[n] = state;
	soak_write_upstream(s, n);
}

void soak_remove_upstream(struct soak *s, int n)
{
	s->upstream_state[n] = NULL;
	soak_write_upstream(s, n);
}

void soak_start_vm(struct soak *s, int vm)
{
	static char preload[600];
	static char links[60];
	static char sanitizer[400];
	static const char *const environment[] = {preload, links, sanitizer,
						  NULL};
	const char *options = getenv("ASAN_OPTIONS");
	int group = soak_group(vm);

	snprintf(preload, sizeof(preload), "LD_PRELOAD=%s", s->links_library);
	snprintf(links, sizeof(links), SOAK_LINKS_VARIABLE "=%d,%d,%d",
		 LINK_PORT(0, 1), SOAK_UPSTREAMS,
		 LINK_PORT(group, 1) - LINK_PORT(0, 1));
	/* ASan wants to be the first library, which the preloaded one is. */
	snprintf(sanitizer, sizeof(sanitizer),
		 "ASAN_OPTIONS=%s:verify_asan_link_order=0",
		 options ? options : "");
	harness_environment = environment;
	s->vm_pid[vm] = routes_spawn_vm(vm, STORE_LINK_PORT(group));
	harness_environment = NULL;
	s->vm_pid_now[vm] = s->vm_pid[vm];
	s->vm_state[vm] = SOAK_VM_UP;
}

void soak_start_fleet(struct soak *s)
{
	char instance[16];

	for (int i = 1; i <= SOAK_UPSTREAMS; i++) {
		snprintf(instance, sizeof(instance), "i-%d", i);
		routes_start_upstream(instance, UPSTREAM_PORT(i));
	}
	fleet_start_store(STORE_PORT);
	s->manifest_version = 3;
	routes_put_manifest(s->manifest_version, "s");
	for (int group = 0; group < SOAK_GROUPS; group++)
		start_links(group);
	for (int i = 1; i <= SOAK_UPSTREAMS; i++)
		soak_put_upstream(s, i, "ready");
	for (int vm = 1; vm <= s->options.vms; vm++)
		soak_start_vm(s, vm);
	for (int vm = 1; vm <= s->options.vms; vm++)
		if (!routes_wait_ready(vm, 10000))
			abort();
}
