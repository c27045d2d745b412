/* Keeps the requests placed in other regions close to the shares. */
#include <primroselead/place.h>
#include <string.h>

/* Length of a bucket in ms. All buckets together make up 2 s, the window of the
 * platform's bound on moves to other regions. */
#define BUCKET_MS 500

/* Requests in the window below which their ratio is not significant. */
#define WINDOW_REQUESTS_MIN 20

/* Requests in other regions that are allowed beyond the bound: as many as a
 * region may be ahead of its share (LEAD_MAX_REQUESTS in shares.c). */
#define SLACK_REQUESTS 3

#define THOUSAND 1000

static void advance_window(struct place_move_window *w, int64_t now_ms)
{
	int64_t steps = (now_ms - w->bucket_start_ms) / BUCKET_MS;

	if (steps <= 0)
		return;
	w->bucket_start_ms += steps * BUCKET_MS;
	if (steps > PLACE_MOVE_BUCKETS)
		steps = PLACE_MOVE_BUCKETS;
	memmove(w->bucket + steps, w->bucket,
		sizeof(w->bucket[0]) * (size_t)(PLACE_MOVE_BUCKETS - steps));
	memset(w->bucket, 0, sizeof(w->bucket[0]) * (size_t)steps);
}

int place_move_window_allows(struct place_move_window *w, int64_t permille,
			     int64_t now_ms)
{
	int64_t remote = 1;
	int64_t local = 0;
	int64_t total;

	advance_window(w, now_ms);
	for (int i = 0; i < PLACE_MOVE_BUCKETS; i++) {
		remote += w->bucket[i].remote;
		local += w->bucket[i].local;
	}
	total = remote + local;
	/* Without local requests the own region is down: no ratio to keep. */
	return !local || total < WINDOW_REQUESTS_MIN ||
	       remote * THOUSAND <=
		       total * permille + (int64_t)SLACK_REQUESTS * THOUSAND;
}

void place_move_window_count(struct place_move_window *w, int remote,
			     int64_t now_ms)
{
	advance_window(w, now_ms);
	if (remote)
		w->bucket[0].remote++;
	else
		w->bucket[0].local++;
}
