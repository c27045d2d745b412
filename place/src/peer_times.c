#include <primroselead/peer_times.h>

/* A VM is slow if its relays take longer than this part of the least time of
 * its region, in percent, and so much more. */
#define SLOW_PERCENT 140
#define SLOW_EXTRA_US 10000

/* Time in ms for which the times of a VM hold, and the least time of a region.
 */
#define PEER_SAMPLE_MS 10000
#define LEAST_SAMPLE_MS 30000

/* Weight of a new sample in an average is 1 / SMOOTHING_DIVISOR. */
#define SMOOTHING_DIVISOR 2

#define PERCENT 100

static int is_current(const struct place_peer_time *p, int64_t now_ms)
{
	return p->id && now_ms - p->sampled_ms < PEER_SAMPLE_MS;
}

/* Returns the entry of a VM; else the one whose sample is oldest. */
static struct place_peer_time *find_entry(struct place_peer_times *t,
					  uint64_t id)
{
	struct place_peer_time *oldest = &t->peer[0];

	for (int i = 0; i < PLACE_PEERS_MAX; i++) {
		if (t->peer[i].id == id)
			return &t->peer[i];
		if (t->peer[i].sampled_ms < oldest->sampled_ms)
			oldest = &t->peer[i];
	}
	return oldest;
}

void place_peer_times_record(struct place_peer_times *t, uint64_t id,
			     int region, int64_t us, int64_t now_ms)
{
	struct place_peer_time *p = find_entry(t, id);
	struct place_average *least = &t->least[region];

	if (p->id == id && is_current(p, now_ms))
		us = p->us + (us - p->us) / SMOOTHING_DIVISOR;
	*p = (struct place_peer_time){
		.id = id, .region = region, .us = us, .sampled_ms = now_ms};
	if (!least->us || us < least->us ||
	    now_ms - least->sampled_ms >= LEAST_SAMPLE_MS)
		*least = (struct place_average){.us = us, .sampled_ms = now_ms};
}

int place_peer_times_list_slow(const struct place_peer_times *t, int region,
			       int64_t now_ms, uint64_t id[PLACE_PEERS_MAX])
{
	int64_t limit_us =
		t->least[region].us * SLOW_PERCENT / PERCENT + SLOW_EXTRA_US;
	int n = 0;

	for (int i = 0; i < PLACE_PEERS_MAX; i++) {
		const struct place_peer_time *p = &t->peer[i];

		if (p->region == region && is_current(p, now_ms) &&
		    p->us > limit_us)
			id[n++] = p->id;
	}
	return n;
}
