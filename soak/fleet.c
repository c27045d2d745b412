#include "soak.h"
#include <primroselead/clock.h>
#include <stdio.h>
#include <stdlib.h>

#define LINK_PORT(group, n) (PORT_BASE + 300 + 20 * (group) + (n))

/* Time of the first start of all upstreams, in ms of Unix time. */
#define FIRST_START_MS 1700000000000LL

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

void soak_write_upstream(struct soak *s, int n)
{
	char key[40];
	char text[400] = "";

	snprintf(key, sizeof(key), "servers/i-%d", n);
	g_rec_mutex_lock(&s->entries_lock);
	s->entry_sequence++;
	for (int group = 0; group < SOAK_GROUPS; group++) {
		if (s->upstream_state[n])
			snprintf(text, sizeof(text),
				 "{\"service\":\"%s\",\"address\":"
				 "\"127.0.0.1:%d\",\"zone\":\"norte-a\","
				 "\"version\":\"v1\",\"slots\":6,"
				 "\"state\":\"%s\",\"cold_remaining_ms\":0,"
				 "\"sequence\":%d,\"born\":%lld}",
				 n <= SOAK_UPSTREAMS_S ? "s" : "t",
				 LINK_PORT(group, n), s->upstream_state[n],
				 s->entry_sequence,
				 FIRST_START_MS +
					 1000LL * s->upstream_starts[n]);
		routes_use_store(soak_store_port(group));
		routes_put_object(key, text);
	}
	g_rec_mutex_unlock(&s->entries_lock);
}

void soak_put_upstream(struct soak *s, int n, const char *state)
{
	g_rec_mutex_lock(&s->entries_lock);
	s->upstream_state[n] = state;
	soak_write_upstream(s, n);
	g_rec_mutex_unlock(&s->entries_lock);
}

void soak_remove_upstream(struct soak *s, int n)
{
	soak_put_upstream(s, n, NULL);
}

void soak_start_vm(struct soak *s, int vm)
{
	s->vm_pid[vm] = routes_spawn_vm(vm, soak_store_port(soak_group(vm)));
	s->vm_pid_now[vm] = s->vm_pid[vm];
	s->vm_started_ms[vm] = prl_now_ms();
	s->vm_state[vm] = SOAK_VM_UP;
}

void soak_start_fleet(struct soak *s)
{
	char instance[16];

	for (int i = 1; i <= SOAK_UPSTREAMS; i++) {
		snprintf(instance, sizeof(instance), "i-%d", i);
		routes_start_returning_upstream(instance, UPSTREAM_PORT(i),
						SOAK_AWAY_MS);
	}
	s->manifest_version = 3;
	s->is_key_given = 1;
	for (int group = 0; group < SOAK_GROUPS; group++) {
		start_link(group);
		fleet_start_store(soak_store_port(group));
		soak_write_manifest(s, group);
	}
	for (int i = 1; i <= SOAK_UPSTREAMS; i++)
		soak_put_upstream(s, i, "ready");
	for (int vm = 1; vm <= s->options.vms; vm++)
		soak_start_vm(s, vm);
	for (int vm = 1; vm <= s->options.vms; vm++)
		if (!routes_wait_ready(vm, 10000))
			abort();
}
