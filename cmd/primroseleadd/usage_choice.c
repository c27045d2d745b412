/* Which VM adds up the use of shared limits, and how many VMs there are. */
#include "control.h"
#include <primroselead/hash.h>
#include <primroselead/log.h>
#include <string.h>

/* Time in ms without an answer after which the next VM is the aggregator, and
 * number of VMs that are tried. */
#define SILENCE_MS 1000
#define AGGREGATORS_MAX 8

/* Interval in ms at which the VMs are counted, and time for which one that has
 * disappeared still counts. */
#define COUNT_INTERVAL_MS 1000
#define COUNT_HOLD_MS 20000

/* Number of VMs */

static int count_vms(const struct control *c)
{
	int n = 1 + (int)g_hash_table_size(c->registry.vms);

	for (int i = 1; i < c->members.npeer; i++) {
		const struct member_vm *vm = &c->members.peer[i].vm;

		n += vm->state != MEMBER_DEAD &&
		     !g_hash_table_contains(c->registry.vms, vm->name);
	}
	return n;
}

/* A VM that is thought dead may only be out of reach, so the number
 * falls only after COUNT_HOLD_MS. */
void usage_update_vms(struct control *c, int64_t now)
{
	struct usage *u = &c->usage;

	if (now - u->vms_counted_ms < COUNT_INTERVAL_MS)
		return;
	u->vms_counted_ms = now;
	if (now - u->vms_period_ms >= COUNT_HOLD_MS) {
		u->vms_before = u->vms;
		u->vms = 0;
		u->vms_period_ms = now;
	}
	u->vms = MAX(u->vms, count_vms(c));
}

int usage_count_vms(const struct control *c)
{
	return MAX(MAX(c->usage.vms, c->usage.vms_before), 1);
}

/* Choice of the aggregator */

static void log_aggregator(const struct control *c, const char *reason)
{
	char rank[LOG_NUMBER_MAX];
	char vms[LOG_NUMBER_MAX];

	log_format_number(rank, c->usage.rank);
	log_format_number(vms, usage_count_vms(c));
	log_event(LOG_LEVEL_AUDIT, "aggregator", "address",
		  c->usage.aggregator[0] ? c->usage.aggregator : "this VM",
		  "reason", reason, "rank", rank, "vms", vms, NULL);
}

static const char *address_of_rank(const struct control *c, int rank, int *n)
{
	int peer[AGGREGATORS_MAX];

	*n = member_rank(&c->members, NULL, prl_hash_string("usage"), peer,
			 AGGREGATORS_MAX);
	if (!*n || !peer[rank % *n])
		return "";
	return c->members.peer[peer[rank % *n]].vm.rpc;
}

void usage_choose(struct control *c, int rank, const char *reason, int64_t now)
{
	struct usage *u = &c->usage;
	char before[PRL_ADDRESS_MAX];
	int n;

	g_strlcpy(before, u->aggregator, sizeof(before));
	g_strlcpy(u->aggregator, address_of_rank(c, rank, &n),
		  sizeof(u->aggregator));
	u->rank = n ? rank % n : 0;
	if (u->chosen_ms && !strcmp(before, u->aggregator))
		return;
	u->chosen_ms = now;
	u->answered_ms = 0;
	u->next_return_ms = now + USAGE_RETURN_INTERVAL_MS;
	log_aggregator(c, reason);
}

void usage_update_choice(struct control *c, int64_t now)
{
	struct usage *u = &c->usage;

	if (!u->chosen_ms || u->members_seen != c->members.usable_changes) {
		u->members_seen = c->members.usable_changes;
		usage_choose(c, 0, "members", now);
	} else if (now - MAX(u->heard_ms, u->chosen_ms) > SILENCE_MS) {
		u->chosen_ms = now;
		usage_choose(c, u->rank + 1, "silence", now);
	}
}

const char *usage_first_address(const struct control *c)
{
	int n;

	return address_of_rank(c, 0, &n);
}
