#include "upstream.h"
#include <primroselead/clock.h>
#include <primroselead/hash.h>

/* Maximum number of upstreams considered in one choice. */
#define CANDIDATES_MAX 256

/* Attempts to reserve a slot when other threads take the last one first. */
#define CHOICES_MAX 4

/* Exponential moving averages: the weight of a new sample is 1 in this many. */
#define EWMA_DIVISOR 8

#define PERMILLE 1000

struct proxy_upstream_stats *upstream_stats(const struct proxy_request *r,
					    const struct steer_upstream *u)
{
	return &r->thread->proxy->upstream[u->stats_index];
}

struct proxy_service_stats *
upstream_service_stats(const struct proxy_request *r)
{
	return &r->thread->proxy->service[r->service->stats_index];
}

/* Copies the statistics for one choice; sets first_seen_ms if it is not set
 * yet. */
static void read_load(struct proxy_upstream_stats *stats, int64_t now,
		      struct steer_upstream_load *out)
{
	int64_t first_seen_ms = atomic_load(&stats->first_seen_ms);

	if (!first_seen_ms) {
		atomic_store(&stats->first_seen_ms, now);
		first_seen_ms = now;
	}
	out->outstanding = atomic_load(&stats->outstanding);
	out->reported_running = atomic_load(&stats->reported_running);
	out->reported_ms = atomic_load(&stats->reported_ms);
	out->latency_us = atomic_load(&stats->latency_us);
	out->failure_permille = atomic_load(&stats->failure_permille);
	out->first_seen_ms = first_seen_ms;
}

/* Returns the index of the first candidate. Where a region has more upstreams
 * than one choice considers, each VM considers a contiguous range of them; the
 * ranges of the VMs are spread evenly over the region. */
static int first_candidate(const struct proxy_request *r, int n)
{
	const struct steer_view *v = r->view;
	int64_t beyond = n - CANDIDATES_MAX;

	if (beyond <= 0 || v->self_region_nactive < 2)
		return 0;
	return (int)(beyond * v->self_rank / (v->self_region_nactive - 1));
}

static int choose_upstream(struct proxy_request *r)
{
	const struct steer_service_region *region =
		&r->service->region[r->region];
	struct steer_upstream_load load[CANDIDATES_MAX];
	int quota[CANDIDATES_MAX];
	int64_t now = prl_now_ms();
	int first;
	int i;
	struct steer_pick_input p = {
		.upstream = r->service->upstream + region->first_upstream,
		.load = load,
		.n = region->nupstream,
		.lb_policy = r->service->lb_policy,
		.warmup_ms = r->service->warmup_ms,
		.now_ms = now,
		.excluded = STEER_NONE,
	};

	first = first_candidate(r, p.n);
	p.upstream += first;
	if (p.n > CANDIDATES_MAX)
		p.n = CANDIDATES_MAX;
	for (i = 0; i < p.n; i++) {
		read_load(upstream_stats(r, &p.upstream[i]), now, &load[i]);
		if (&p.upstream[i] == r->failed_upstream && p.n > 1)
			p.excluded = i;
	}
	if (r->region == r->thread->proxy->region &&
	    r->view->self_region_nactive &&
	    region->nupstream <= CANDIDATES_MAX) {
		steer_divide_slots(p.upstream, p.n, r->view->self_rank,
				   r->view->self_region_nactive, quota);
		p.quota = quota;
	}
	r->thread->random_state =
		prl_hash_combine(r->thread->random_state, (uint64_t)now);
	p.random = r->thread->random_state;
	i = steer_pick_upstream(&p);
	return i == STEER_NONE ? STEER_NONE : i + first;
}

/* Acquires a slot of the upstream at this index of the region. Returns 0 if
 * another thread has taken the last one since the choice. */
static int take_slot(struct proxy_request *r, int i)
{
	const struct steer_service_region *region =
		&r->service->region[r->region];
	const struct steer_upstream *u =
		&r->service->upstream[region->first_upstream + i];
	struct proxy_upstream_stats *stats = upstream_stats(r, u);

	if (atomic_fetch_add(&stats->outstanding, 1) >= u->slots) {
		atomic_fetch_sub(&stats->outstanding, 1);
		return 0;
	}
	r->upstream = u;
	return 1;
}

int upstream_reserve(struct proxy_request *r)
{
	for (int k = 0; k < CHOICES_MAX; k++) {
		int i = choose_upstream(r);

		if (i == STEER_NONE)
			return 0;
		if (take_slot(r, i))
			return 1;
	}
	return 0;
}

static int64_t smooth(int64_t average, int64_t sample)
{
	return average ? average + (sample - average) / EWMA_DIVISOR : sample;
}

void upstream_record_result(struct proxy_request *r, int failed)
{
	struct proxy_upstream_stats *stats = upstream_stats(r, r->upstream);
	struct proxy_service_stats *s = upstream_service_stats(r);
	int64_t us = prl_now_us() - r->attempt_started_us;
	int failure_permille = atomic_load(&stats->failure_permille);

	failure_permille +=
		((failed ? PERMILLE : 0) - failure_permille) / EWMA_DIVISOR;
	atomic_store(&stats->failure_permille, failure_permille);
	if (failed)
		return;
	atomic_store(&stats->latency_us,
		     smooth(atomic_load(&stats->latency_us), us));
	atomic_store(&s->latency_us[r->region],
		     smooth(atomic_load(&s->latency_us[r->region]), us));
	limit_ratio_deposit(&s->retry_limit, r->service->retry_percent * 10);
	metrics_record_latency(&r->thread->metrics, METRIC_UPSTREAM_TIME, us);
}

void upstream_release(struct proxy_request *r)
{
	if (!r->upstream)
		return;
	atomic_fetch_sub(&upstream_stats(r, r->upstream)->outstanding, 1);
	r->upstream = NULL;
}
