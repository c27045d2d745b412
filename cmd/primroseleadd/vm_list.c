/* Applies the platform's list of VMs. */
#include "vm_list.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/log.h>
#include <stdio.h>
#include <string.h>

/*
 * Safety margin in milliseconds before a destroyed VM's capacity is reclaimed,
 * on top of the term of a loan, the lease and the longest request deadline.
 */
#define RECLAIM_MARGIN_MS 2000

void vm_list_init(struct control *c)
{
	c->vm_list.destroyed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c->vm_list.http =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static int64_t longest_deadline_ms(const struct control *c)
{
	GHashTableIter it;
	int64_t longest = 0;
	void *s;

	g_hash_table_iter_init(&it, c->builder.services);
	while (g_hash_table_iter_next(&it, NULL, &s))
		if (((struct steer_service *)s)->deadline_ms > longest)
			longest = ((struct steer_service *)s)->deadline_ms;
	return longest;
}

static void note_destroyed(struct control *c, const char *name)
{
	int64_t *at;

	if (g_hash_table_contains(c->vm_list.destroyed, name))
		return;
	at = g_new(int64_t, 1);
	*at = prl_now_ms() + GRANT_LOAN_TERM_MS + c->settings->control.lease +
	      longest_deadline_ms(c) + RECLAIM_MARGIN_MS;
	g_hash_table_insert(c->vm_list.destroyed, g_strdup(name), at);
	member_remove(&c->members, name);
}

/*
 * A removed entry has no address, so the last known one is remembered by name.
 */
static void remember_address(struct control *c, struct config_vm *vm)
{
	const char *http = g_hash_table_lookup(c->vm_list.http, vm->name);

	if (vm->http[0])
		g_hash_table_replace(c->vm_list.http, g_strdup(vm->name),
				     g_strdup(vm->http));
	else if (http)
		snprintf(vm->http, sizeof(vm->http), "%s", http);
}

int vm_list_apply(struct control *c, const struct spread_object *o)
{
	static const char *const states[] = {"live", "leaving", "gone"};
	struct prl_error err = {0};
	struct config_vm vm;

	if (config_vm_parse(o, &vm, &err)) {
		log_event(LOG_LEVEL_WARNING, "vm_list", "error", err.text,
			  NULL);
		return 0;
	}
	if (!c->vm_list.has_entries && vm.is_entry)
		c->vm_list.has_entries = 1;
	remember_address(c, &vm);
	log_event(LOG_LEVEL_AUDIT, "vm_list", "name", vm.name, "state",
		  states[vm.state], "http", vm.http, NULL);
	if (!strcmp(vm.name, c->settings->vm.name))
		c->vm_list.this_is_destroyed = vm.state == STEER_GONE;
	else if (vm.state == STEER_GONE)
		note_destroyed(c, vm.name);
	else
		g_hash_table_remove(c->vm_list.destroyed, vm.name);
	c->view_outdated = 1;
	return config_set_vm_state(&c->builder, &vm);
}

void vm_list_finish(struct control *c)
{
	g_hash_table_destroy(c->vm_list.destroyed);
	g_hash_table_destroy(c->vm_list.http);
}
