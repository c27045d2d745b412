#include "soak.h"
#include <stdio.h>
#include <stdlib.h>

#define LINK_PORT(group, n) (PORT_BASE + 300 + 20 * (group) + (n))

int soak_store_port(int group)
{
	return group ? PORT_BASE + 10 : STORE_PORT;
}

int soak_link_admin_port(int group)
{
	return LINK_PORT(group, 19);
}

int soak_group(int vm)
{
	return vm % SOAK_GROUPS;
}

static void start_link(int group)
{
	char admin[32];
	char paths[200] = "--paths=";
	char url[80];
	const char *args[] = {admin, paths, NULL};
	size_t n = strlen(paths);

	snprintf(admin, sizeof(admin), "--admin=%d",
		 soak_link_admin_port(group));
	for (int i = 1; i <= SOAK_UPSTREAMS; i++)
		n += (size_t)snprintf(paths + n, sizeof(paths) - n, "%s%d:%d",
				      i > 1 ? "," : "", LINK_PORT(group, i),
				      UPSTREAM_PORT(i));
	harness_spawn("standin-link", args);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/admin/pass",
		 soak_link_admin_port(group));
	if (!fleet_wait_text(url, "done", 5000))
		abort();
}

void soak_put_upstream(struct soak *s, int n, const char *state)
{
	char instance[16];

	snprintf(instance, sizeof(instance), "i-%d", n);
	s->upstream_state[n] = state;
	for (int group = 0; group < SOAK_GROUPS; group++) {
		routes_use_store(soak_store_port(group));
		routes_put_upstream(instance, n <= SOAK_UPSTREAMS_S ? "s" : "t",
				    LINK_PORT(group, n), state,
				    ++s->entry_sequence);
	}
}

void soak_start_vm(struct soak *s, int vm)
{
	s->vm_pid[vm] = routes_spawn_vm(vm, soak_store_port(soak_group(vm)));
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
	s->manifest_version = 3;
	for (int group = 0; group < SOAK_GROUPS; group++) {
		start_link(group);
		fleet_start_store(soak_store_port(group));
		routes_use_store(soak_store_port(group));
		routes_put_manifest(s->manifest_version, "s");
	}
	for (int i = 1; i <= SOAK_UPSTREAMS; i++)
		soak_put_upstream(s, i, "ready");
	for (int vm = 1; vm <= s->options.vms; vm++)
		soak_start_vm(s, vm);
	for (int vm = 1; vm <= s->options.vms; vm++)
		if (!routes_wait_ready(vm, 10000))
			abort();
}
