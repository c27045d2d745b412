#include "loads.h"
#include <sys/param.h>

/* Layout of proxy_shared_load.packed: bits of a count, and greatest value. */
#define COUNT_BITS 20
#define COUNT_MAX ((1 << COUNT_BITS) - 1)

#define MILLI 1000

/* Slowness is kept plus one, so that -1 is 0. */
static uint64_t pack(const struct proxy_load *load)
{
	return (uint64_t)MIN(load->running, COUNT_MAX) |
	       (uint64_t)MIN(load->waiting, COUNT_MAX) << COUNT_BITS |
	       (uint64_t)MIN(load->slowness_percent + 1, COUNT_MAX)
		       << 2 * COUNT_BITS;
}

static void unpack(uint64_t packed, struct proxy_load *out)
{
	out->running = (int)(packed & COUNT_MAX);
	out->waiting = (int)(packed >> COUNT_BITS & COUNT_MAX);
	out->slowness_percent = (int)(packed >> 2 * COUNT_BITS & COUNT_MAX) - 1;
}

static void store(struct proxy_shared_load *to, const struct proxy_load *load)
{
	atomic_store(&to->packed, pack(load));
	atomic_store(&to->told_ms, load->told_ms);
}

static void load_shared(const struct proxy_shared_load *from,
			struct proxy_load *out)
{
	out->told_ms = atomic_load(&from->told_ms);
	unpack(atomic_load(&from->packed), out);
}

int proxy_get_own_load(const struct proxy *p, int stats_index,
		       struct proxy_load *out)
{
	load_shared(&p->upstream[stats_index].own_load, out);
	return out->told_ms > 0;
}

void proxy_set_peer_load(struct proxy *p, int stats_index,
			 const struct proxy_load *load)
{
	struct proxy_shared_load *to = &p->upstream[stats_index].peer_load;

	if (load->told_ms > atomic_load(&to->told_ms))
		store(to, load);
}

static int64_t decayed_milli(const struct proxy_shared_load *from, int64_t now)
{
	struct proxy_load load;

	load_shared(from, &load);
	return place_decay((load.running + load.waiting) * MILLI,
			   now - load.told_ms);
}

int64_t proxy_told_inflight_milli(const struct proxy *p, int stats_index,
				  int64_t now_ms)
{
	const struct proxy_upstream_stats *u = &p->upstream[stats_index];

	if (atomic_load(&u->own_load.told_ms) >
	    atomic_load(&u->peer_load.told_ms))
		return decayed_milli(&u->own_load, now_ms);
	return decayed_milli(&u->peer_load, now_ms);
}

void proxy_set_region_load(struct proxy *p, int service_index, int region,
			   int64_t inflight_milli, int64_t now_ms)
{
	struct proxy_service_stats *s = &p->service[service_index];

	atomic_store(&s->region_inflight_milli[region], inflight_milli);
	atomic_store(&s->region_told_ms[region], now_ms);
}

static int count_outstanding(const struct proxy_thread *t, int stats_index)
{
	return atomic_load(&t->proxy->upstream[stats_index].outstanding);
}

static void record_slowness(struct proxy_thread *t, int stats_index,
			    const struct proxy_load *load)
{
	if (load->slowness_percent >= 0)
		place_record_slowness(&t->placement_stats[stats_index],
				      load->slowness_percent, load->told_ms);
}

void loads_record_own(struct proxy_thread *t, int stats_index,
		      const struct proxy_load *load)
{
	place_record_load(&t->placement_stats[stats_index], load->running,
			  load->waiting, count_outstanding(t, stats_index),
			  load->told_ms);
	record_slowness(t, stats_index, load);
	store(&t->proxy->upstream[stats_index].own_load, load);
}

static void read_one(struct proxy_thread *t, int i,
		     const struct proxy_shared_load *from)
{
	struct place_upstream_stats *u = &t->placement_stats[i];
	struct proxy_load load;

	if (atomic_load(&from->told_ms) <= u->report.reported_ms)
		return;
	load_shared(from, &load);
	place_record_load(u, load.running, load.waiting,
			  count_outstanding(t, i), load.told_ms);
	record_slowness(t, i, &load);
}

static void read_regions(struct proxy_thread *t, int service_index)
{
	const struct proxy_service_stats *from =
		&t->proxy->service[service_index];
	struct place_service_state *to = &t->placement_state[service_index];

	for (int r = 0; r < STEER_REGIONS_MAX; r++) {
		to->told[r].told_ms = atomic_load(&from->region_told_ms[r]);
		to->told[r].inflight_milli =
			atomic_load(&from->region_inflight_milli[r]);
	}
}

void loads_read_peers(struct proxy_thread *t, const struct steer_service *s)
{
	for (int i = 0; i < s->nupstream; i++) {
		int index = s->upstream[i].stats_index;

		read_one(t, index, &t->proxy->upstream[index].own_load);
		read_one(t, index, &t->proxy->upstream[index].peer_load);
	}
	read_regions(t, s->stats_index);
}
