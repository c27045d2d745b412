#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void log_service(const char *name, int64_t version, int share,
			const struct prl_error *err)
{
	char number[24];
	char permille[24];

	snprintf(number, sizeof(number), "%lld", (long long)version);
	snprintf(permille, sizeof(permille), "%d", share);
	log_event(LOG_LEVEL_AUDIT, "config", "service", name, "version", number,
		  "shift_permille", permille, "error",
		  err->code ? err->text : "", NULL);
}

static void build_service(struct control *c, const char *name)
{
	char key[STORE_KEY_MAX];
	const struct spread_object *o;
	const struct steer_service *s;
	struct steer_shift_progress progress;
	struct prl_error err = {0};

	snprintf(key, sizeof(key), STORE_PREFIX_SHIFT "%s", name);
	progress = config_progress_parse(spread_find(&c->sync.replica, key));
	snprintf(key, sizeof(key), STORE_PREFIX_SERVICE "%s", name);
	o = spread_find(&c->sync.replica, key);
	if (!o)
		return;
	config_build_service(&c->builder, o, &progress, &err);
	s = config_find_service(&c->builder, name);
	log_service(name, o->version, s ? s->shift.share_permille : 0, &err);
	c->view_outdated = 1;
}

static void build_all_services(struct control *c)
{
	GHashTableIter it;
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	void *name;

	g_hash_table_iter_init(&it, c->builder.services);
	while (g_hash_table_iter_next(&it, &name, NULL))
		g_ptr_array_add(names, g_strdup(name));
	for (guint i = 0; i < names->len; i++)
		build_service(c, g_ptr_array_index(names, i));
	g_ptr_array_free(names, TRUE);
}

static void apply_vm(struct control *c, const struct spread_object *o)
{
	if (vm_list_apply(c, o))
		build_all_services(c);
}

static void apply_platform_object(struct control *c,
				  const struct spread_object *o)
{
	struct objects_removal removal = source_removal(c, prl_now_ms());

	objects_apply(c, o, &removal);
}

void apply_object(struct control *c, const char *key)
{
	const struct spread_object *o = spread_find(&c->sync.replica, key);

	if (control_follows_manifest(c))
		apply_platform_object(c, o);
	else if (g_str_has_prefix(key, STORE_PREFIX_SERVICE))
		build_service(c, key + strlen(STORE_PREFIX_SERVICE));
	else if (g_str_has_prefix(key, STORE_PREFIX_SHIFT))
		build_service(c, key + strlen(STORE_PREFIX_SHIFT));
	else if (g_str_has_prefix(key, STORE_PREFIX_VM))
		apply_vm(c, o);
}

static enum steer_state entry_state(const struct control *c,
				    const struct member_vm *vm)
{
	int listed = GPOINTER_TO_INT(
		g_hash_table_lookup(c->builder.vm_state, vm->http));

	if (vm->state == MEMBER_DEAD)
		return STEER_GONE;
	if (vm->state == MEMBER_LEAVING || listed != STEER_ACTIVE)
		return STEER_LEAVING;
	return STEER_ACTIVE;
}

static void fill_vm(struct control *c, const struct member_vm *vm,
		    struct steer_vm *out)
{
	out->id = prl_hash_string(vm->name);
	out->region = config_region_index(&c->builder, vm->region);
	out->domain = config_domain_index(&c->builder, vm->domain);
	out->state = entry_state(c, vm);
	memcpy(out->address, vm->http, sizeof(out->address));
	/* Requests are relayed to the port of the RPC address, over TCP. */
	memcpy(out->relay_address, vm->rpc, sizeof(out->relay_address));
	reach_fill_vm(c, vm->name, out);
}

static struct steer_view *build_view(struct control *c,
				     const struct steer_vm *vm, int n)
{
	uint64_t self = prl_hash_string(c->settings->vm.name);

	if (control_follows_manifest(c))
		return inventory_build_view(&c->objects.inventory, &c->builder,
					    vm, n, self, prl_now_ms());
	return config_build_view(&c->builder, vm, n, self,
				 c->sync.replica.complete_revision);
}

/* Logs when what there is no index for changes in number. */
static void note_left_out(struct control *c, const struct steer_view *v)
{
	char n[LOG_NUMBER_MAX];
	char held[LOG_NUMBER_MAX];

	metrics_set(&c->proxy.control_metrics, METRIC_UPSTREAMS_LEFT_OUT,
		    (uint64_t)v->nleft_out);
	if (v->nleft_out == c->objects.nupstream_left_out)
		return;
	c->objects.nupstream_left_out = v->nleft_out;
	log_format_number(n, v->nleft_out);
	log_format_number(held, CONFIG_INDEXES_MAX);
	log_event(LOG_LEVEL_WARNING, "left_out", "number", n, "field",
		  "upstreams, services and workspaces", "held", held, NULL);
}

static void set_manifest_view(struct control *c, struct steer_view *v)
{
	note_left_out(c, v);
	health_set_view(c, v);
	reach_set_view(c, v);
	usage_set_view(c, v);
}

void apply_view(struct control *c)
{
	struct steer_vm *vm = g_new0(struct steer_vm, (gsize)c->members.npeer);
	struct steer_view *v;
	int n = 0;

	for (int i = 0; i < c->members.npeer; i++) {
		if (c->members.peer[i].vm.state == MEMBER_DEAD)
			continue;
		fill_vm(c, &c->members.peer[i].vm, &vm[n]);
		if (vm[n].region >= 0)
			n++;
	}
	v = build_view(c, vm, n);
	if (v) {
		proxy_set_view(&c->proxy, v);
		if (control_follows_manifest(c))
			set_manifest_view(c, v);
		config_view_release(v);
		c->view_outdated = 0;
	}
	g_free(vm);
}
