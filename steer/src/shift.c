#include <primroselead/steer.h>

/* A destination this much slower than the origin holds the shift, since its
 * caches are still cold; in percent. */
#define COLD_LATENCY_PERCENT 200

/* A destination loaded above this share takes no further step, in percent. */
#define FULL_PERCENT 85

static int clamp(int share, int cap)
{
	if (share < 0)
		return 0;
	return share < cap ? share : cap;
}

int steer_share(const struct steer_shift *shift,
		const struct steer_progress *progress)
{
	if (shift->from == STEER_NONE || progress->plan != shift->plan)
		return 0;
	return clamp(progress->share, shift->cap);
}

static int target(const struct steer_step *s, int share)
{
	switch (s->shift.direction) {
	case STEER_FORWARD:
		return clamp(share + s->shift.step, s->shift.cap);
	case STEER_PAUSE:
		return share;
	case STEER_BACK:
		return clamp(share - s->shift.step, s->shift.cap);
	}
	return share;
}

static int held_back(const struct steer_step *s)
{
	return s->latency_percent > COLD_LATENCY_PERCENT ||
	       s->load_percent > FULL_PERCENT;
}

int steer_step(const struct steer_step *s, struct steer_progress *next)
{
	int share = steer_share(&s->shift, &s->progress);
	int foreign = s->progress.plan != s->shift.plan;

	if (s->shift.from == STEER_NONE)
		return 0;
	next->plan = s->shift.plan;
	next->share = target(s, share);
	/* A lowered cap and a new plan are written down without a wait. */
	if (!foreign && share < s->progress.share) {
		next->share = share;
		return 1;
	}
	if (s->now_ms < s->seen_ms + s->shift.pace_ms)
		return 0;
	if (next->share > share && held_back(s))
		return 0;
	return foreign || next->share != share;
}
