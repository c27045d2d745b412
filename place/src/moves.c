/* Holds what runs in other regions to the shares. */
#include <primroselead/place.h>
#include <string.h>

/* Length of a bucket in ms: together they are the users' window of 2 s. */
#define BUCKET_MS 500

/* Requests in the window below which their shares say nothing. */
#define WINDOW_LEAST 20

/* Requests beyond the bound: an object may keep its region by as many. */
#define SPARE 3

#define THOUSAND 1000

static void turn(struct place_move_window *m, int64_t now_ms)
{
	int64_t steps = (now_ms - m->bucket_start_ms) / BUCKET_MS;

	if (steps <= 0)
		return;
	m->bucket_start_ms += steps * BUCKET_MS;
	if (steps > PLACE_MOVE_BUCKETS)
		steps = PLACE_MOVE_BUCKETS;
	memmove(m->bucket + steps, m->bucket,
		sizeof(m->bucket[0]) * (size_t)(PLACE_MOVE_BUCKETS - steps));
	memset(m->bucket, 0, sizeof(m->bucket[0]) * (size_t)steps);
}

int place_move_window_allows(struct place_move_window *m, int64_t permille,
			     int64_t now_ms)
{
	int64_t away = 1;
	int64_t stayed = 0;
	int64_t total;

	turn(m, now_ms);
	for (int i = 0; i < PLACE_MOVE_BUCKETS; i++) {
		away += m->bucket[i].remote;
		stayed += m->bucket[i].local;
	}
	total = away + stayed;
	/* Where the own region serves nothing there is no share to keep. */
	return !stayed || total < WINDOW_LEAST ||
	       away * THOUSAND <= total * permille + (int64_t)SPARE * THOUSAND;
}

void place_move_window_count(struct place_move_window *m, int away,
			     int64_t now_ms)
{
	turn(m, now_ms);
	if (away)
		m->bucket[0].remote++;
	else
		m->bucket[0].local++;
}
