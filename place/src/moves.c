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

static void turn(struct place_moves *m, int64_t now_ms)
{
	int64_t steps = (now_ms - m->began_ms) / BUCKET_MS;

	if (steps <= 0)
		return;
	m->began_ms += steps * BUCKET_MS;
	if (steps > PLACE_MOVE_BUCKETS)
		steps = PLACE_MOVE_BUCKETS;
	memmove(m->placed + steps, m->placed,
		sizeof(m->placed[0]) * (size_t)(PLACE_MOVE_BUCKETS - steps));
	memset(m->placed, 0, sizeof(m->placed[0]) * (size_t)steps);
}

int place_moves_allow(struct place_moves *m, int64_t permille, int64_t now_ms)
{
	int64_t away = 1;
	int64_t stayed = 0;
	int64_t total;

	turn(m, now_ms);
	for (int i = 0; i < PLACE_MOVE_BUCKETS; i++) {
		away += m->placed[i].away;
		stayed += m->placed[i].stayed;
	}
	total = away + stayed;
	/* Where the own region serves nothing there is no share to keep. */
	return !stayed || total < WINDOW_LEAST ||
	       away * THOUSAND <= total * permille + (int64_t)SPARE * THOUSAND;
}

void place_moves_count(struct place_moves *m, int away, int64_t now_ms)
{
	turn(m, now_ms);
	if (away)
		m->placed[0].away++;
	else
		m->placed[0].stayed++;
}
