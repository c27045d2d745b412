#include "status.h"
#include "control.h"
#include <jansson.h>
#include <string.h>

/*
 * Shortest interval between status updates, in milliseconds. While nobody
 * requests the status, the interval is longer by the second value for each
 * member, since the cost of an update grows with the fleet.
 */
#define STATUS_INTERVAL_MS 200
#define STATUS_IDLE_PER_MEMBER_MS 2

/* Time in ms for which a limit is listed after its last use. */
#define LIMIT_LISTED_MS 10000

static json_t *members(const struct control *c)
{
	json_t *list = json_array();

	for (int i = 0; i < c->members.npeer; i++) {
		const struct member_vm *vm = &c->members.peer[i].vm;

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "name",
				  vm->name, "region", vm->region, "state",
				  member_state_name(vm->state), "domain",
				  vm->domain, "http", vm->http, "incarnation",
				  (json_int_t)vm->incarnation));
	}
	return list;
}

static json_t *upstreams(const struct control *c, const struct steer_service *s)
{
	static const char *const states[] = {"active", "leaving", "gone"};
	json_t *list = json_array();

	for (int i = 0; i < s->nupstream; i++) {
		const struct steer_upstream *u = &s->upstream[i];
		const struct proxy_upstream_stats *stats =
			&c->proxy.upstream[u->stats_index];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:i, s:i, s:I, s:i}",
				  "address", u->address, "region",
				  c->builder.region[u->region], "state",
				  states[u->state], "slots", u->slots,
				  "outstanding",
				  atomic_load(&stats->outstanding),
				  "latency_us",
				  (json_int_t)atomic_load(&stats->latency_us),
				  "failures_permille",
				  atomic_load(&stats->failure_permille)));
	}
	return list;
}

static json_t *regions(const struct control *c, const struct steer_service *s)
{
	json_t *list = json_array();

	for (int r = 0; r < c->builder.nregion; r++) {
		const struct steer_service_region *p = &s->region[r];
		const struct limit_semaphore *semaphore =
			&c->proxy.semaphore[p->semaphore_index];

		if (p->capacity <= 0)
			continue;
		json_array_append_new(
			list,
			json_pack(
				"{s:s, s:i, s:i, s:i, s:I}", "region",
				c->builder.region[r], "capacity", p->capacity,
				"held", (int)limit_semaphore_size(semaphore),
				"used", (int)limit_semaphore_in_use(semaphore),
				"refused",
				(json_int_t)atomic_load(&semaphore->refused)));
	}
	return list;
}

static json_t *shift(const struct control *c, const struct steer_service *s)
{
	static const char *const directions[] = {"forward", "pause", "back"};
	const struct proxy_service_stats *stats =
		&c->proxy.service[s->stats_index];

	if (s->shift.from == STEER_NONE)
		return json_null();
	return json_pack(
		"{s:s, s:s, s:i, s:i, s:s, s:I, s:I}", "from",
		c->builder.region[s->shift.from], "to",
		c->builder.region[s->shift.to], "cap", s->shift.cap_permille,
		"share", s->shift.share_permille, "direction",
		directions[s->shift.direction], "moved",
		(json_int_t)atomic_load(&stats->shifted_total), "total",
		(json_int_t)atomic_load(&stats->shift_source_total));
}

static json_t *services(const struct control *c)
{
	json_t *list = json_array();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->builder.services);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		const struct steer_service *s = value;

		json_array_append_new(
			list,
			json_pack("{s:s, s:I, s:o, s:o, s:o}", "name", s->name,
				  "version", (json_int_t)s->version, "regions",
				  regions(c, s), "upstreams", upstreams(c, s),
				  "shift", shift(c, s)));
	}
	return list;
}

/* With the manifest as source, the followers of the registry call the store. */
static int is_store_up(const struct control *c)
{
	return control_follows_manifest(c) ? source_confirmed_ms(c) != 0
					   : c->sync.store_up;
}

/* Whether this VM reads the store, and the age of its copy; null with service
 * files as source. */
static json_t *reading(const struct control *c, int64_t now)
{
	int64_t confirmed_ms = source_confirmed_ms(c);

	if (!control_follows_manifest(c))
		return json_null();
	return json_pack("{s:s, s:b, s:I}", "role", readers_role_name(c),
			 "reads", c->readers.reading, "copy_age_ms",
			 (json_int_t)(confirmed_ms ? now - confirmed_ms : -1));
}

/* The manifest in force, and what of the newest one is not; null with service
 * files as source. */
static json_t *manifest(const struct control *c)
{
	const struct fleet_manifest *m = &c->objects.inventory.manifest;

	if (!control_follows_manifest(c))
		return json_null();
	return json_pack("{s:I, s:i, s:s, s:i, s:i}", "version",
			 (json_int_t)m->version, "left_out", m->nleft_out,
			 "problem", c->objects.manifest_problem, "workspaces",
			 m->nworkspace, "keys", c->objects.inventory.nkey);
}

/* Requests under which upstreams have ended. */
static json_t *quarantine(struct control *c)
{
	const struct quarantine *q = proxy_lock_quarantine(&c->proxy);
	json_t *list = json_array();

	for (int i = 0; i < q->nentry; i++) {
		const struct quarantine_entry *e = &q->entry[i];
		char name[QUARANTINE_NAME_MAX];

		if (!e->record.ncrash)
			continue;
		quarantine_name_format(&e->record.digest, name);
		json_array_append_new(
			list,
			json_pack("{s:s, s:b, s:i, s:i, s:b, s:s}", "digest",
				  name, "active", quarantine_is_active(e),
				  "ended", e->record.ncrash, "trials",
				  e->record.ntrial, "kept",
				  e->record.kept_era > 0, "about", e->about));
	}
	proxy_unlock_quarantine(&c->proxy);
	return list;
}

#define PPM_PER_MILLE 1000

/* Limits in use that are listed at most. */
#define LIMITS_LISTED_MAX 32

/* Requests for a service by the region that they came to, in thousandths of a
 * request per second; null for a quota. */
static json_t *demand_of_regions(const struct control *c,
				 const struct usage_follower *f)
{
	json_t *demand;

	if (f->service_index == STEER_NONE)
		return json_null();
	demand = json_object();
	for (int r = 0; r < c->builder.nregion; r++)
		json_object_set_new(demand, c->builder.region[r],
				    json_integer(atomic_load(
					    &c->proxy.service[f->service_index]
						     .region_demand_milli[r])));
	return demand;
}

/* Shares of the regions in this VM's requests for a service, in permille; null
 * for a quota. */
static json_t *shares_of_regions(const struct control *c,
				 const struct usage_follower *f)
{
	json_t *shares;
	int64_t ppm;

	if (f->service_index == STEER_NONE)
		return json_null();
	shares = json_object();
	for (int r = 0; r < c->builder.nregion; r++) {
		ppm = atomic_load(&c->proxy.service[f->service_index]
					   .region_share_ppm[r]);
		json_object_set_new(shares, c->builder.region[r],
				    json_integer(ppm / PPM_PER_MILLE));
	}
	return shares;
}

static json_t *limits_in_use(const struct control *c, int64_t now)
{
	json_t *list = json_array();
	GHashTableIter it;
	void *value;

	g_hash_table_iter_init(&it, c->usage.followers);
	while (g_hash_table_iter_next(&it, NULL, &value) &&
	       json_array_size(list) < LIMITS_LISTED_MAX) {
		const struct usage_follower *f = value;

		if (now - f->active_ms > LIMIT_LISTED_MS)
			continue;
		json_array_append_new(
			list,
			json_pack(
				"{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:o, s:o}",
				"name", f->name, "type",
				f->service_index == STEER_NONE ? "quota"
							       : "retries",
				"state",
				f->follower.mode == LIMIT_FOLLOWING
					? "common"
					: "own part",
				"credit_milli",
				(json_int_t)shared_limit_credit(f->limit),
				"growth_milli",
				(json_int_t)atomic_load(
					&f->limit->growth_milli),
				"taken",
				(json_int_t)atomic_load(&f->limit->taken),
				"refused",
				(json_int_t)atomic_load(&f->limit->refused),
				"region_demand_milli", demand_of_regions(c, f),
				"region_share_permille",
				shares_of_regions(c, f)));
	}
	return list;
}

/* Limits that all VMs share; null with service files as source. */
static json_t *shared_limits(const struct control *c, int64_t now)
{
	const struct usage *u = &c->usage;

	if (!control_follows_manifest(c))
		return json_null();
	return json_pack(
		"{s:s, s:I, s:i, s:i, s:o}", "aggregator",
		u->aggregator[0] ? u->aggregator : "this VM", "age_ms",
		(json_int_t)(u->answered_ms ? now - u->answered_ms : -1), "vms",
		usage_count_vms(c), "heard_permille", u->heard_permille,
		"limits", limits_in_use(c, now));
}

static json_int_t sum_over_threads(const struct control *c, enum metric which)
{
	uint64_t sum = 0;

	for (int i = 0; i < c->proxy.nthread; i++)
		sum += atomic_load(&c->proxy.thread[i].metrics.counter[which]);
	return (json_int_t)sum;
}

/* Routed requests that wait at this VM for an upstream, by whether they can
 * still meet their objective, and what became of those that have waited. */
static json_t *queue(const struct control *c)
{
	return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I}", "timely",
			 sum_over_threads(c, METRIC_QUEUE_TIMELY), "late",
			 sum_over_threads(c, METRIC_QUEUE_LATE), "queued",
			 sum_over_threads(c, METRIC_REQUESTS_QUEUED), "started",
			 sum_over_threads(c, METRIC_QUEUE_STARTED), "ended",
			 sum_over_threads(c, METRIC_QUEUE_ENDED), "replaced",
			 sum_over_threads(c, METRIC_QUEUE_REPLACED));
}

static void publish(struct control *c, int64_t now)
{
	const char *state = c->leaving_since_ms ? "leaving"
			    : !c->sync.ready	? "starting"
			    : c->unconfirmed	? "unconfirmed"
						: "live";
	json_t *root = json_pack(
		"{s:s, s:s, s:s, s:s, s:I, s:I, s:s, s:o, s:o, s:o, s:o, s:o, "
		"s:o, s:o}",
		"vm", c->settings->vm.name, "state", state, "region",
		c->settings->vm.region, "domain", c->settings->vm.domain,
		"revision", (json_int_t)c->sync.replica.complete_revision,
		"uptime_ms", (json_int_t)(now - c->started_ms), "store",
		is_store_up(c) ? "up" : "not seen", "store_reading",
		reading(c, now), "members", members(c), "services", services(c),
		"quarantine", quarantine(c), "manifest", manifest(c),
		"shared_limits", shared_limits(c, now), "queue", queue(c));
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	if (text)
		proxy_set_status(&c->proxy, text);
}

void status_tick(struct control *c, int64_t now)
{
	int wanted = now >= c->status.due_ms &&
		     atomic_exchange(&c->proxy.status_requested, 0);

	if (!wanted && now < c->status.idle_due_ms)
		return;
	publish(c, now);
	c->status.due_ms = now + STATUS_INTERVAL_MS;
	c->status.idle_due_ms =
		now + STATUS_INTERVAL_MS +
		(int64_t)c->members.npeer * STATUS_IDLE_PER_MEMBER_MS;
}
