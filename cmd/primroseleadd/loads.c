#include "loads.h"
#include "control.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>
#include <string.h>
#include <sys/param.h>

/* Interval of the reports, in ms. */
#define REPORT_INTERVAL_MS 100

/* Age above which a load is not passed on or taken in, in ms. */
#define AGE_MAX_MS 2000

/* Bounds of plausible figures. */
#define REQUESTS_MAX 100000
#define SLOWNESS_MAX_PERCENT 10000
#define INFLIGHT_MAX_MILLI 1000000000000

/* Random draws of a VM, among all, before all are looked at. */
#define DRAWS_MAX 64

void loads_init(struct control *c)
{
	spread_turns_init(&c->loads.turns, control_random());
}

static int is_usable_in(const struct member_peer *p, const char *region)
{
	return member_is_usable(p) && !strcmp(p->vm.region, region);
}

/* Returns the number of usable VMs of this VM's region but for itself. */
static int count_receivers(const struct control *c)
{
	int n = 0;

	for (int i = 1; i < c->members.npeer; i++)
		n += is_usable_in(&c->members.peer[i], c->settings->vm.region);
	return n;
}

static void report_to_region(struct control *c, const struct spread_turn *turn,
			     struct wire_load *load, int n)
{
	struct wire_args args = {.proc = WIRE_LOADS};
	int k = 0;

	args.u.loads.load.load_val = load;
	args.u.loads.load.load_len = (u_int)n;
	for (int i = 1; i < c->members.npeer; i++) {
		const struct member_peer *p = &c->members.peer[i];

		if (!is_usable_in(p, c->settings->vm.region))
			continue;
		if (k++ % turn->step == turn->first)
			wire_notify(&c->wire, p->vm.rpc, &args, NULL);
	}
}

/* Returns 1 if the upstream told its load after "since_ms". */
static int fill_load(const struct control *c, const struct steer_upstream *u,
		     int64_t since_ms, int64_t now, struct wire_load *out)
{
	struct proxy_load told;

	if (!proxy_get_own_load(&c->proxy, u->stats_index, &told) ||
	    told.told_ms <= since_ms || now - told.told_ms > AGE_MAX_MS)
		return 0;
	*out = (struct wire_load){
		.upstream = u->id,
		.running = told.running,
		.waiting = told.waiting,
		.slowness_percent = told.slowness_percent,
		.age_ms = (int)(now - told.told_ms),
	};
	return 1;
}

/* Returns the requests at the upstreams of this VM's region, in thousandths. */
static int64_t sum_own_region(const struct control *c,
			      const struct steer_service *s, int64_t now)
{
	const struct steer_service_region *sr = &s->region[c->proxy.region];
	int64_t sum = 0;

	for (int i = 0; i < sr->nupstream; i++) {
		const struct steer_upstream *u =
			&s->upstream[sr->first_upstream + i];

		sum += proxy_told_inflight_milli(&c->proxy, u->stats_index,
						 now);
	}
	return sum;
}

/* Returns a usable VM of the region at random, or null. Looks at all VMs. */
static const struct member_peer *choose_of_all(const struct control *c,
					       const char *region)
{
	const struct member_peer *chosen = NULL;
	uint64_t random = control_random();
	uint64_t n = 0;

	for (int i = 1; i < c->members.npeer; i++) {
		const struct member_peer *p = &c->members.peer[i];

		if (!is_usable_in(p, region))
			continue;
		n++;
		if (prl_hash_combine(random, n) % n == 0)
			chosen = p;
	}
	return chosen;
}

/* Returns a usable VM of the region at random, or null. */
static const struct member_peer *choose_vm(const struct control *c,
					   const char *region)
{
	uint64_t random = control_random();
	int nother = c->members.npeer - 1;

	for (uint64_t i = 0; nother > 0 && i < DRAWS_MAX; i++) {
		uint64_t draw = prl_hash_combine(random, i) % (uint64_t)nother;
		const struct member_peer *p = &c->members.peer[1 + draw];

		if (is_usable_in(p, region))
			return p;
	}
	return choose_of_all(c, region);
}

static void send_totals(struct control *c, const struct wire_args *args)
{
	const struct steer_view *v = c->reach.view;

	for (int i = 0; i < v->nregion; i++) {
		const struct member_peer *p =
			choose_vm(c, c->builder.region[i]);

		if (i != c->proxy.region && p)
			wire_notify(&c->wire, p->vm.rpc, args, NULL);
	}
}

static void report_totals(struct control *c, int64_t now)
{
	const struct steer_view *v = c->reach.view;
	struct wire_region_load load[WIRE_REGION_LOADS_MAX];
	struct wire_args args = {.proc = WIRE_REGION_LOADS};
	int n = MIN(v->nservice, WIRE_REGION_LOADS_MAX);

	for (int i = 0; i < n; i++)
		load[i] = (struct wire_region_load){
			.service = prl_hash_string(v->service[i]->name),
			.inflight_milli = sum_own_region(c, v->service[i], now),
		};
	args.u.region_loads.region = (char *)c->settings->vm.region;
	args.u.region_loads.load.load_val = load;
	args.u.region_loads.load.load_len = (u_int)n;
	send_totals(c, &args);
}

/* Adds a load, if need be in place of the oldest. Returns the new number. */
static int add_load(struct wire_load *load, int n,
		    const struct wire_load *added)
{
	int oldest = 0;

	if (n < WIRE_LOADS_MAX) {
		load[n] = *added;
		return n + 1;
	}
	for (int i = 1; i < n; i++)
		if (load[i].age_ms > load[oldest].age_ms)
			oldest = i;
	if (added->age_ms < load[oldest].age_ms)
		load[oldest] = *added;
	return n;
}

/* Fills the newest loads that were told after "since_ms". Returns their number.
 */
static int fill_loads(const struct control *c, int64_t since_ms, int64_t now,
		      struct wire_load load[WIRE_LOADS_MAX])
{
	const struct steer_view *v = c->reach.view;
	struct wire_load told;
	int n = 0;

	for (int i = 0; i < v->nservice; i++) {
		const struct steer_service *s = v->service[i];

		for (int k = 0; k < s->nupstream; k++)
			if (fill_load(c, &s->upstream[k], since_ms, now, &told))
				n = add_load(load, n, &told);
	}
	return n;
}

void loads_tick(struct control *c, int64_t now)
{
	struct wire_load load[WIRE_LOADS_MAX];
	struct spread_turn turn;
	int n;

	if (!c->reach.view || now < c->loads.next_report_ms)
		return;
	c->loads.next_report_ms = now + REPORT_INTERVAL_MS;
	if (spread_next_turn(&c->loads.turns, count_receivers(c), now, &turn)) {
		n = fill_loads(c, turn.since_ms, now, load);
		if (n)
			report_to_region(c, &turn, load, n);
	}
	report_totals(c, now);
}

static const struct steer_upstream *find_upstream(const struct steer_view *v,
						  uint64_t id)
{
	for (int i = 0; v && i < v->nservice; i++) {
		const struct steer_service *s = v->service[i];

		for (int k = 0; k < s->nupstream; k++)
			if (s->upstream[k].id == id)
				return &s->upstream[k];
	}
	return NULL;
}

static int is_plausible(const struct wire_load *load)
{
	return load->running >= 0 && load->running <= REQUESTS_MAX &&
	       load->waiting >= 0 && load->waiting <= REQUESTS_MAX &&
	       load->slowness_percent >= -1 &&
	       load->slowness_percent <= SLOWNESS_MAX_PERCENT &&
	       load->age_ms >= 0 && load->age_ms <= AGE_MAX_MS;
}

void loads_handle_remote(struct control *c, const struct wire_load_list *list)
{
	int64_t now = prl_now_ms();

	for (u_int i = 0; i < list->load.load_len; i++) {
		const struct wire_load *load = &list->load.load_val[i];
		const struct steer_upstream *u =
			find_upstream(c->reach.view, load->upstream);

		if (!u || !is_plausible(load))
			continue;
		proxy_set_peer_load(
			&c->proxy, u->stats_index,
			&(struct proxy_load){
				.running = load->running,
				.waiting = load->waiting,
				.slowness_percent = load->slowness_percent,
				.told_ms = now - load->age_ms,
			});
	}
}

static const struct steer_service *find_service(const struct steer_view *v,
						uint64_t hash)
{
	for (int i = 0; v && i < v->nservice; i++)
		if (prl_hash_string(v->service[i]->name) == hash)
			return v->service[i];
	return NULL;
}

void loads_handle_region(struct control *c,
			 const struct wire_region_loads *list)
{
	int region = config_region_find(&c->builder, list->region);

	if (region < 0 || region == c->proxy.region)
		return;
	for (u_int i = 0; i < list->load.load_len; i++) {
		const struct wire_region_load *load = &list->load.load_val[i];
		const struct steer_service *s =
			find_service(c->reach.view, load->service);

		if (s && load->inflight_milli >= 0 &&
		    load->inflight_milli <= INFLIGHT_MAX_MILLI)
			proxy_set_region_load(&c->proxy, s->stats_index, region,
					      load->inflight_milli,
					      prl_now_ms());
	}
}
